"""Dialling and listening on TCP, with TLS where options are given.

Uses the reactor directly. Importing ``twisted.internet.endpoints`` also imports resolvers,
processes and standard streams, which takes every daemon as long as importing its own modules.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.python.failure import Failure

from rainsail.wire.address import PeerAddress

BACKLOG = 512
"""Connections that may wait to be accepted: after a power loss a whole fleet connects at once."""


class Dial(ClientFactory):
    """One attempt to connect; calls ``failed`` when no connection is made."""

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
        """Report that the attempt timed out or was refused."""
        self._failed(reason)


def dial(
    reactor: Any, address: PeerAddress, attempt: Dial, timeout_s: float, tls_options: Any
) -> None:
    """Start an attempt to connect."""
    if tls_options is None:
        reactor.connectTCP(address.host, address.port, attempt, timeout_s)
    else:
        reactor.connectSSL(address.host, address.port, attempt, tls_options, timeout_s)


def listen(reactor: Any, address: PeerAddress, factory: Factory, tls_options: Any) -> Any:
    """Return the listening port; raises the reactor's error when it can't be bound."""
    if tls_options is None:
        return reactor.listenTCP(address.port, factory, BACKLOG, address.host)
    return reactor.listenSSL(address.port, factory, tls_options, BACKLOG, address.host)
