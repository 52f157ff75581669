"""Dialling and listening on TCP, with TLS where options are given.

Straight on the reactor: ``twisted.internet.endpoints`` brings resolvers, processes and standard
streams along, which costs every daemon's start as much as its own modules.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.python.failure import Failure

from rainsail.wire.address import PeerAddress

BACKLOG = 512
"""Connections that may wait to be accepted: a whole fleet comes at once after a loss of power."""


class Dial(ClientFactory):
    """One attempt to connect; tells ``failed`` when no connection came up."""

    noisy = False

    def __init__(
        self, make_protocol: Callable[[], Protocol], failed: Callable[[Failure], None]
    ) -> None:
        self._make_protocol = make_protocol
        self._failed = failed

    def buildProtocol(self, addr: Any) -> Protocol:
        """Return the protocol of the connection."""
        return self._make_protocol()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Nobody answered in time, or the other side refused."""
        self._failed(reason)


def dial(
    reactor: Any, address: PeerAddress, attempt: Dial, timeout_s: float, tls_options: Any
) -> None:
    """Begin to connect."""
    if tls_options is None:
        reactor.connectTCP(address.host, address.port, attempt, timeout_s)
    else:
        reactor.connectSSL(address.host, address.port, attempt, tls_options, timeout_s)


def listen(reactor: Any, address: PeerAddress, factory: Factory, tls_options: Any) -> Any:
    """Return the listening port; raises what the reactor raises when it can't be had."""
    if tls_options is None:
        return reactor.listenTCP(address.port, factory, BACKLOG, address.host)
    return reactor.listenSSL(address.port, factory, tls_options, BACKLOG, address.host)
