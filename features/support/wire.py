"""Helpers of the wire features: real loopback sockets on a reactor that the steps iterate."""

import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from features.support.reactor_thread import APART
from hypothesis import HealthCheck, Phase, settings
from twisted.internet import reactor
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.protocols.basic import Int32StringReceiver

from rainsail.wire.address import PeerAddress
from rainsail.wire.codec import wire_record
from rainsail.wire.hello import ProcessRole, RoleOf
from rainsail.wire.messenger import Messenger
from rainsail.wire.settings import TlsSettings, WireSettings
from rainsail.wire.tcp import TcpTransport

_iterated = False
LIMIT_S = 20.0
"""Timeout of every wait; shorter times are not checked."""


@wire_record("Probe")
@dataclass(frozen=True, slots=True)
class Probe:
    """A message of the wire features."""

    text: str
    payload: bytes = b""


def start_reactor() -> None:
    """Make the reactor ready for ``reactor.iterate``; does nothing if it is already."""
    global _iterated
    if not _iterated:
        assert not reactor.running, APART
        _iterated = True
        reactor.startRunning(installSignalHandlers=False)


def wait_until(condition: Callable[[], Any], what: str = "condition") -> Any:
    """Iterate the reactor until ``condition`` returns a true value; return that value."""
    start_reactor()
    limit = time.monotonic() + LIMIT_S
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() > limit:
            raise AssertionError(f"not reached: {what}")
        reactor.iterate(0.005)


def wait_for(deferred: Deferred) -> Any:
    """Iterate the reactor until ``deferred`` has fired; return its result."""
    results: list[Any] = []
    deferred.addBoth(results.append)
    wait_until(lambda: results, "a deferred result")
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]


class Node:
    """A transport and a messenger that records every probe and echoes calls."""

    def __init__(
        self,
        name: str,
        peers: dict[str, PeerAddress] | None = None,
        tls: TlsSettings | None = None,
        settings: WireSettings = WireSettings(),
        fleet: str = "harbour",
        role_of: RoleOf | None = None,
    ) -> None:
        self.name = name
        self.transport = TcpTransport(
            name, peers or {}, reactor, tls, settings, fleet, None, role_of
        )
        self.messenger = Messenger(self.transport, reactor)
        self.received: list[tuple[str, Probe]] = []
        self.messenger.serve(Probe, self._take)
        self.port = 0

    def _take(self, source: str, probe: Probe) -> Probe:
        self.received.append((source, probe))
        return Probe(f"echo {probe.text}")

    def listen(self) -> PeerAddress:
        """Listen on a free loopback port; return the address."""
        result = wait_for(self.transport.listen_on("127.0.0.1", 0))
        self.port = result.ok
        return PeerAddress("127.0.0.1", self.port)

    def listen_again(self, port: int) -> bool:
        """Try to listen on a port that another node has left; tell whether it worked."""
        result = wait_for(self.transport.listen_on("127.0.0.1", port))
        self.port = port
        return result.is_ok()

    def stop(self) -> None:
        """Stop the transport."""
        wait_for(Deferred.fromCoroutine(self.transport.stop()))


def temporary_folder(context: Any) -> Path:
    """Return a folder that is deleted when the scenario ends."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


class RawPeer(Protocol):
    """A connection without a protocol: a step writes its bytes and reads what was received."""

    def __init__(self) -> None:
        self.closed = False
        self.received = b""

    def dataReceived(self, data: bytes) -> None:
        """Append the bytes that arrive."""
        self.received += data

    def connectionLost(self, reason: Any = None) -> None:
        """Record that the connection was closed."""
        self.closed = True


def connect_raw(address: PeerAddress) -> RawPeer:
    """Connect without sending anything."""
    peer = RawPeer()
    endpoint = TCP4ClientEndpoint(reactor, address.host, address.port)
    return wait_for(endpoint.connect(Factory.forProtocol(lambda: peer)))


def listen_raw(context: Any, on_frame: Callable[[Int32StringReceiver, bytes], None]) -> PeerAddress:
    """Listen on a free port; ``on_frame`` gets each arriving frame and its connection."""

    class FrameReader(Int32StringReceiver):
        MAX_LENGTH = 2**24

        def stringReceived(self, string: bytes) -> None:
            on_frame(self, string)

    port = reactor.listenTCP(0, Factory.forProtocol(FrameReader), interface="127.0.0.1")
    context.add_cleanup(lambda: wait_for(maybeDeferred(port.stopListening)))
    return PeerAddress("127.0.0.1", port.getHost().port)


def framed(data: bytes) -> bytes:
    """Return a frame as it is sent: length prefix, then data."""
    return len(data).to_bytes(4, "big") + data


def tls_settings(folder: Path, name: str) -> TlsSettings:
    """Return the settings of files that ``create_certificates`` made in ``folder``."""
    return TlsSettings(
        authority_file=folder / "authority.pem",
        certificate_file=folder / f"{name}.pem",
        private_key_file=folder / f"{name}.key",
    )


def role_by_name(name: str) -> ProcessRole:
    """Return the role of a process of the wire features, by the prefix of its name."""
    return ProcessRole.REPLICA if name.startswith("replica-") else ProcessRole.GATEWAY


def nodes_of(context):
    """Return the nodes of the scenario by name; all are stopped when it ends."""
    if not hasattr(context, "wire_nodes"):
        context.wire_nodes = {}
        context.add_cleanup(lambda: [node.stop() for node in context.wire_nodes.values()])
    return context.wire_nodes


def add_node(context, node):
    """Register a node, which is stopped when the scenario ends."""
    nodes_of(context)[node.name] = node
    return node


def derandomized(examples: int) -> settings:
    """Hypothesis settings of a step: the same examples in every run, no database on disk."""
    return settings(
        max_examples=examples,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
