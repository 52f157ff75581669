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
        self._on_result(_reach_of(reason))


class _HeldConnection(Protocol):
    transport: Any

    def __init__(self, probe: "HeldProbe") -> None:
        self._probe = probe

    def connectionMade(self) -> None:
        self._probe.connected(self)

    def connectionLost(self, reason: Failure = None) -> None:  # type: ignore[assignment]
        self._probe.is_open = False


class HeldProbe(ClientFactory):
    """Opens a connection and holds it until ``close``, so that its loss tells something too."""

    noisy = False

    def __init__(self, on_result: Callable[[Reachability], None]) -> None:
        """``on_result`` is called once, unless the probe is closed before."""
        self._on_result = on_result
        self._connection: _HeldConnection | None = None
        self._is_closed = False
        self.is_open = False
        """The connection was established, and the other side has not ended it."""

    def buildProtocol(self, addr: Any) -> Any:
        """Return the connection."""
        return _HeldConnection(self)

    def connected(self, connection: _HeldConnection) -> None:
        """Report that the connection was established."""
        self._connection = connection
        if self._is_closed:
            connection.transport.loseConnection()
            return
        self.is_open = True
        self._on_result(Reachability.OPEN)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Report a refusal, or any other failure as silence."""
        if not self._is_closed:
            self._on_result(_reach_of(reason))

    def close(self) -> None:
        """Close the connection, or drop it once it is established."""
        self._is_closed = True
        if self.is_open and self._connection is not None:
            self._connection.transport.loseConnection()


def _reach_of(failure: Failure) -> Reachability:
    refused = failure.check(ConnectionRefusedError) is not None
    return Reachability.REFUSED if refused else Reachability.SILENT


def probe_address(
    reactor: Any, address: str, timeout_s: float, on_result: Callable[[Reachability], None]
) -> None:
    """Open a connection to ``IP:PORT``, close it, and report the result once."""
    place = parse_address(address)
    reactor.connectTCP(place.host, place.port, _Probe(on_result), timeout_s)


def hold_address(
    reactor: Any, address: str, timeout_s: float, on_result: Callable[[Reachability], None]
) -> HeldProbe:
    """Open a connection to ``IP:PORT``, report the result once, and hold the connection."""
    place = parse_address(address)
    probe = HeldProbe(on_result)
    reactor.connectTCP(place.host, place.port, probe, timeout_s)
    return probe
