"""A gateway's relay between HTTP connections in memory: real bytes from runners and to clients."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import h11
from features.support import platform_adapter_path  # noqa: F401
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransportWithDisconnection
from twisted.python.failure import Failure

from platform_adapter.headers import PlatformHeaders
from rainsail.budget.client_budget import ClientBudget
from rainsail.cluster.messages import RunnerRecord, RunnerState
from rainsail.cluster.registry import RunnerRegistry
from rainsail.http.client import OutgoingRequest
from rainsail.http.exchange import Exchange
from rainsail.http.pool import ConnectionPool, PoolSettings
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.mechanisms import Mechanisms
from rainsail.relay.context import make_context
from rainsail.relay.run import RelayRun
from rainsail.relay.settings import RelaySettings
from rainsail.relay.table import RoutingTable
from rainsail.simulation.clock import VirtualClock

HOST = "a.example"
PATH = "/a/1"
SERVICE = "model"
HEAD_END = b"\r\n\r\n"
LATER_S = 0.3
"""How long a runner that falls silent keeps its connection open."""
LIMIT_S = 12.0
"""Longer than the time-out of the route."""


class MemoryTransport(StringTransportWithDisconnection):
    """Accepts the socket options that the product sets; a close is noticed at once."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option."""

    def abortConnection(self) -> None:
        """Close at once, and record that it was by a reset."""
        self.is_reset = True
        self.loseConnection()

    is_reset = False

    def loseConnection(self) -> None:
        """Close once; closing again does nothing."""
        if self.connected:
            super().loseConnection()

    def loseWriteConnection(self) -> None:
        """Close: all has been written."""
        self.loseConnection()


class RunnerConnection:
    """A runner's end of one connection; ``request`` is the one that it has not answered."""

    def __init__(self, factory: Any, address: str) -> None:
        self.address = address
        self.protocol = factory.buildProtocol(None)
        self.transport = MemoryTransport()
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)

    @property
    def is_asked(self) -> bool:
        """Tell whether a request has arrived that is not answered yet."""
        return bool(self.transport.connected and self.transport.value())

    def field(self, name: bytes) -> str:
        """Return a field of the request."""
        lines = self.transport.value().partition(HEAD_END)[0].split(b"\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in lines[1:])
        return fields.get(name.lower(), b"").decode()

    def send(self, data: bytes) -> None:
        """Send bytes; the request counts as answered."""
        self.transport.clear()
        if data and self.transport.connected:
            self.protocol.dataReceived(data)

    def close(self, by_reset: bool) -> None:
        """End the connection from the runner's side."""
        if self.transport.connected:
            self.transport.connected = False
            reason = ConnectionLost() if by_reset else ConnectionDone()
            self.protocol.connectionLost(Failure(reason))


class MemoryReactor:
    """Establishes every connection at once, in memory."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self.connections: list[RunnerConnection] = []

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> None:
        """Connect in the next turn."""
        self._clock.callLater(0, self._connect, f"{host}:{port}", factory)

    def _connect(self, address: str, factory: Any) -> None:
        self.connections.append(RunnerConnection(factory, address))

    def asked(self) -> list[RunnerConnection]:
        """Return the connections on which a runner owes an answer."""
        return [each for each in self.connections if each.is_asked]


@dataclass(frozen=True)
class ReceivedAnswer:
    """What a client has of one answer; ``status`` is 0 before the end of its head."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    is_whole: bool


class WireClient:
    """A client's connection to the gateway."""

    def __init__(self, server: HttpServer) -> None:
        self.transport = MemoryTransport()
        self._server = server.buildProtocol(None)
        self.transport.protocol = self._server
        assert self._server is not None
        self._server.makeConnection(self.transport)
        self._methods: list[bytes] = []

    def send(self, *requests: str, method: bytes = b"POST") -> None:
        """Send requests with these ids, all in one read."""
        data = b""
        for request in requests:
            self._methods.append(method)
            data += (
                b"%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\nbody"
                % (method, PATH.encode(), HOST.encode(), request.encode())
            )
        self._server.dataReceived(data)

    def answers(self) -> list[ReceivedAnswer]:
        """Return the answers as a client reads them that trusts the framing alone."""
        received = []
        rest = self.transport.value()
        for method in self._methods:
            answer, rest = self._read_one(method, rest)
            received.append(answer)
        assert not rest, rest
        return received

    def _read_one(self, method: bytes, data: bytes) -> tuple[ReceivedAnswer, bytes]:
        reader = h11.Connection(h11.CLIENT)
        reader.send(h11.Request(method=method, target="/", headers=[("Host", "a")]))
        reader.send(h11.EndOfMessage())
        if data:
            reader.receive_data(data)
        if not self.transport.connected and not self.transport.is_reset:
            reader.receive_data(b"")
        status, headers, body = 0, (), b""
        try:
            while True:
                event = reader.next_event()
                if isinstance(event, h11.Response):
                    status, headers = event.status_code, tuple(event.headers)
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return ReceivedAnswer(status, headers, body, True), reader.trailing_data[0]
                else:
                    return ReceivedAnswer(status, headers, body, False), b""
        except h11.RemoteProtocolError:
            return ReceivedAnswer(status, headers, body, False), b""


@dataclass
class RelayedConnections:
    """A relay with runners of one service behind connections in memory, in virtual time."""

    table: RoutingTable
    runners: int = 2
    clock: VirtualClock = field(default_factory=VirtualClock)
    runs: list[RelayRun] = field(default_factory=list)
    """All requests in the order of their arrival."""
    ended: list[RelayRun] = field(default_factory=list)
    make_reactor: Callable[[VirtualClock], Any] = MemoryReactor

    def __post_init__(self) -> None:
        self.reactor = self.make_reactor(self.clock)
        self.pool = ConnectionPool(self.reactor, self.clock, PoolSettings())
        registry = RunnerRegistry()
        self.protocol = PlatformHeaders()
        budget = ClientBudget(self.clock.seconds)
        self.context = make_context(
            "zone-1",
            self.clock,
            registry,
            self.pool,
            self.protocol,
            random.Random(1),
            RelaySettings(mechanisms=Mechanisms(admission=True)),
            budget=budget,
        )
        self.context.table = self.table
        for number in range(1, self.runners + 1):
            registry.take((_record(number),))
        self.server = HttpServer(self._handle, self.clock, HttpLimits(), budget)

    def _handle(self, exchange: Exchange) -> None:
        facts = self.protocol.describe(exchange.request)
        route = self.table.match(facts.host, facts.path)
        assert route is not None
        run = RelayRun(self.context, exchange, facts, route, self.ended.append)
        self.runs.append(run)
        run.start()

    def client(self) -> WireClient:
        """Connect a client."""
        return WireClient(self.server)

    def turn(self) -> None:
        """Run what is due now."""
        self.clock.advance(0)

    def keep_connections(self) -> None:
        """Have each runner answer one request as a whole, on a connection that is kept."""
        for number in range(1, self.runners + 1):
            head = (b"Host", HOST.encode())
            listener = _NoListener()
            self.pool.send(_address(number), OutgoingRequest(b"GET", b"/", (head,), b""), listener)
            self.turn()
            (asked,) = self.reactor.asked()
            asked.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            assert listener.is_whole

    def next_asked(self) -> RunnerConnection | None:
        """Run until a runner has a request to answer; None if none gets one any more."""
        until_s = self.clock.seconds() + LIMIT_S
        while not self.reactor.asked():
            if not self.clock.run_next(until_s):
                return None
        return self.reactor.asked()[0]

    def close_later(self, connection: RunnerConnection, how: str) -> None:
        """Have the runner end its connection: in order, by reset, or silent first."""
        if how == "silent, then in order":
            self.clock.advance(LATER_S)
        connection.close(by_reset=how == "by reset")
        self.turn()


class _NoListener:
    """Takes one whole answer."""

    is_whole = False

    def answer_begun(self, head: Any) -> None:
        """Nothing to do."""

    def answer_data(self, data: bytes) -> None:
        """Nothing to do."""

    def answer_ended(self) -> None:
        """Record the end."""
        self.is_whole = True


def _address(number: int) -> str:
    return f"10.0.0.{number}:80"


def _record(number: int) -> RunnerRecord:
    return RunnerRecord(
        f"runner-{number}", SERVICE, _address(number), "zone-1", 4, RunnerState("ready"), 0.0, 1
    )
