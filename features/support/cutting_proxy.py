"""A proxy in front of an engine that cuts its answers, over real sockets on loopback."""

from dataclasses import dataclass
from typing import Any

from features.support.reactor_thread import in_reactor, reactor
from twisted.internet.protocol import Factory, Protocol
from twisted.protocols.portforward import ProxyFactory, ProxyServer

from rainsail.benchmarks.child import LOOPBACK

HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH = b"content-length:"
SILENT_S = 0.02
WAYS_TO_CLOSE = ("in order", "by reset", "its sending side only", "after a silence")


@dataclass(frozen=True)
class Cut:
    """What is sent in the place of an engine's answer, and how the connection ends then."""

    data: bytes
    how: str


class CuttingProxy:
    """Forwards connections to a port; requests whose line begins with ``path`` get ``cut``."""

    def __init__(self, port: int | None = None) -> None:
        """``port`` None: there is nothing to forward to."""
        self._sink = None
        if port is None:
            sink = Factory.forProtocol(Protocol)
            self._sink = in_reactor(lambda: reactor.listenTCP(0, sink, interface=LOOPBACK))
            port = self._sink.getHost().port
        self.cut: Cut | None = None
        self.later: Cut | None = None
        """What the requests after the first one get that was cut; None for the same."""
        self.path = b""
        self.answered = 0
        """Requests that were answered with a cut."""
        self.kept = 0
        """Those of them that came on a connection which had carried a whole answer."""
        factory = _Factory(LOOPBACK, port)
        factory.proxy = self
        self._port = in_reactor(lambda: reactor.listenTCP(0, factory, interface=LOOPBACK))

    @property
    def address(self) -> str:
        """The base URL of the engine behind the proxy."""
        return f"http://{LOOPBACK}:{self._port.getHost().port}"

    def close(self) -> None:
        """Stop listening."""
        in_reactor(self._port.stopListening)
        if self._sink is not None:
            in_reactor(self._sink.stopListening)

    def take_cut(self) -> Cut:
        """Return what the next request gets."""
        cut = self.cut
        assert cut is not None
        self.cut = self.later or cut
        return cut


class _Connection(ProxyServer):
    """One connection of a client: whole requests are looked at before they are forwarded."""

    def __init__(self) -> None:
        self._received = b""
        self._has_forwarded = False
        self._is_cut = False

    def dataReceived(self, data: bytes) -> None:
        """Forward a whole request, or answer it with the cut."""
        if self._is_cut:
            return
        self._received += data
        if not _is_whole(self._received):
            return
        request, self._received = self._received, b""
        factory: Any = self.factory
        proxy: CuttingProxy = factory.proxy
        if proxy.cut is None or not request.startswith(proxy.path):
            self._has_forwarded = True
            super().dataReceived(request)
            return
        self._is_cut = True
        proxy.answered += 1
        proxy.kept += self._has_forwarded
        self._send(proxy.take_cut())

    def _send(self, cut: Cut) -> None:
        transport: Any = self.transport
        transport.write(cut.data)
        if cut.how == "in order":
            transport.loseConnection()
        elif cut.how == "its sending side only":
            transport.loseWriteConnection()
        elif cut.how == "by reset":
            reactor.callLater(SILENT_S, transport.abortConnection)
        else:
            reactor.callLater(SILENT_S, transport.loseConnection)


class _Factory(ProxyFactory):
    """Makes the connections of one proxy."""

    protocol = _Connection
    noisy = False
    proxy: CuttingProxy


def _is_whole(data: bytes) -> bool:
    head, end, body = data.partition(HEAD_END)
    if not end:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(CONTENT_LENGTH):
            return len(body) >= int(line.removeprefix(CONTENT_LENGTH))
    return True
