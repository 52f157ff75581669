"""Probes whether an address accepts connections."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from rainsail.wire.address import parse_address


class Reachability(StrEnum):
    """Results of trying to open a connection."""

    OPEN = "open"
    REFUSED = "refused"
    """The machine is up, but no process listens at the port."""
    SILENT = "silent"
    """The attempt timed out, or the network reported no route."""


class _CloseOnConnect(Protocol):
    transport: Any

    def connectionMade(self) -> None:
        self.transport.loseConnection()


class _Probe(ClientFactory):
    protocol = _CloseOnConnect
    noisy = False

    def __init__(self, on_result: Callable[[Reachability], None]) -> None:
        self._on_result = on_result

    def buildProtocol(self, addr: Any) -> Any:
        """Report that the connection was established."""
        self._on_result(Reachability.OPEN)
        return super().buildProtocol(addr)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Report a refusal, or any other failure as silence."""
        refused = reason.check(ConnectionRefusedError) is not None
        self._on_result(Reachability.REFUSED if refused else Reachability.SILENT)


def probe_address(
    reactor: Any, address: str, timeout_s: float, on_result: Callable[[Reachability], None]
) -> None:
    """Open a connection to ``IP:PORT``, close it, and report the result once."""
    place = parse_address(address)
    reactor.connectTCP(place.host, place.port, _Probe(on_result), timeout_s)
