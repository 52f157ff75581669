"""A pool of persistent connections to servers, each used by one request at a time."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from rainsail.http.answer_end import begins_like_answer
from rainsail.http.client import AnswerListener, ClientConnection, OutgoingRequest
from rainsail.http.close_notice import note_close
from rainsail.http.idle_limit import IdleLimit
from rainsail.http.parsing_queue import ParsingQueue
from rainsail.http.reachability import HeldProbe, Reachability, hold_address, probe_address
from rainsail.http.unframed_answer import UnframedAnswer
from rainsail.http.unframed_end import CloseNotice, Closing, OtherConnections
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.wire.address import parse_address

MILLISECONDS_PER_S = 1000
KEEP_ALIVE_SHARE = 0.7
"""Share of the server's idle time-out after which a connection is no longer reused."""
KEPT_CLOSINGS = 8
"""Closes by one server that are kept to judge the ends of its unframed answers by."""


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Time-outs of the connections to servers."""

    connect_timeout_s: float = 1.0
    user_timeout_s: float = 3.0
    idle_s: float = 6.0
    """The idle time-out of a connection, unless the server announces a shorter one."""


@dataclass(slots=True)
class _Idle:
    connection: ClientConnection
    since_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class _Reuse:
    """When a connection was last reused, and how long it had been idle before."""

    at_s: float
    idle_for_s: float


class UnsentListener(AnswerListener, Protocol):
    """An answer listener that is also notified if the request could not be sent."""

    def request_unsent(self, reason: str) -> None:
        """No connection could be opened; the request certainly has not run.

        The reason is that of ``Reachability.REFUSED`` where no process listens at the address.
        """
        ...


class Call:
    """One request: waiting for its connection, or sent."""

    def __init__(self, listener: UnsentListener) -> None:
        self.listener = listener
        self.sent = False
        self._connection: ClientConnection | None = None
        self._cancelled = False
        self._is_paused = False

    def cancel(self) -> None:
        """Reset the request's connection; the listener gets no more callbacks."""
        self._cancelled = True
        if self._connection is not None:
            self._connection.abort()

    def set_paused(self, is_paused: bool) -> None:
        """Pause or continue the reading of the answer."""
        self._is_paused = is_paused
        connection = self._connection
        if connection is None or self._cancelled:
            return
        if is_paused:
            connection.pause_reading()
        else:
            connection.resume_reading()

    @property
    def cancelled(self) -> bool:
        """Tell whether the call was cancelled."""
        return self._cancelled

    def run_on(self, connection: ClientConnection, request: OutgoingRequest) -> None:
        """Send on an open connection."""
        self._connection = connection
        self.sent = True
        if self._is_paused:
            connection.pause_reading()
        connection.send(request, self.listener)


@dataclass(slots=True)
class _Server:
    idle: list[_Idle] = field(default_factory=list)
    open_count: int = 0
    connections: set[ClientConnection] = field(default_factory=set)
    """Those that were established, until they are closed."""
    closings: deque[tuple[Closing, CloseNotice]] = field(
        default_factory=lambda: deque(maxlen=KEPT_CLOSINGS)
    )
    """The last connections that the server closed, with what that tells of its process."""


class ConnectionPool:
    """Opens, reuses and closes connections, by server address."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        settings: PoolSettings,
        parsing: ParsingQueue | None = None,
    ) -> None:
        """The servers and pools of a process should share ``parsing``; by default it is created."""
        self._reactor = reactor
        self._parsing = parsing or ParsingQueue(clock)
        self._clock = clock
        self._settings = settings
        self._servers: dict[str, _Server] = {}
        self._address_of: dict[ClientConnection, str] = {}
        self._opened_s: dict[ClientConnection, float] = {}
        self._reuses: dict[ClientConnection, _Reuse] = {}
        self._idle_limit = IdleLimit()
        self._unframed_ends: set[UnframedAnswer] = set()
        """The unframed answers whose ends are being confirmed."""
        self.opened = 0
        self.answers_with_late_bytes = 0
        """Answers behind which bytes came, once they had been told, that begin no other answer."""

    def send(
        self,
        address: str,
        request: OutgoingRequest,
        listener: UnsentListener,
        fresh: bool = False,
        settled_s: float = 0.0,
    ) -> Call:
        """Send a request to ``IP:PORT``.

        ``fresh`` asks for a new connection, ``settled_s`` for one that has been open for so long,
        if there is one.
        """
        call = Call(listener)
        connection = None if fresh else self._take_idle(address, settled_s)
        if connection is None and not fresh and settled_s:
            connection = self._take_idle(address, 0.0)
        if connection is not None:
            call.run_on(connection, request)
            return call
        self._connect(address, request, call)
        return call

    def has_settled(self, address: str, settled_s: float) -> bool:
        """Tell whether a kept connection to a server has been open for ``settled_s``."""
        server = self._servers.get(address)
        now = self._clock.seconds()
        return server is not None and any(
            self._is_settled(each, settled_s, now) and not each.connection.closed
            for each in server.idle
        )

    def probe(self, address: str, on_result: Callable[[Reachability], None]) -> None:
        """Report whether an address accepts connections; the probe's connection is closed."""
        self.opened += 1
        probe_address(self._reactor, address, self._settings.connect_timeout_s, on_result)

    def hold(self, address: str, on_result: Callable[[Reachability], None]) -> HeldProbe:
        """Report whether an address accepts connections, and hold the one that was opened."""
        self.opened += 1
        return hold_address(self._reactor, address, self._settings.connect_timeout_s, on_result)

    def forget(self, address: str) -> None:
        """Close the idle connections to a server."""
        server = self._servers.get(address)
        if server is None:
            return
        idle, server.idle = server.idle, []
        for each in idle:
            each.connection.abort()

    def close_stale(self) -> None:
        """Close the connections whose idle time is over; to be called periodically."""
        now = self._clock.seconds()
        for server in self._servers.values():
            stale = [each for each in server.idle if each.until_s <= now]
            server.idle = [each for each in server.idle if each.until_s > now]
            for each in stale:
                each.connection.abort()

    def stop(self) -> None:
        """Close every idle connection; ends that are being confirmed are told as failed."""
        for answer in list(self._unframed_ends):
            answer.give_up()
        for address in list(self._servers):
            self.forget(address)

    # --- opening -------------------------------------------------------------------------

    def _is_settled(self, idle: _Idle, settled_s: float, now: float) -> bool:
        return idle.until_s > now and now - self._opened_s[idle.connection] >= settled_s

    def _take_idle(self, address: str, settled_s: float) -> ClientConnection | None:
        """Take the kept connection that was used last, of those open for ``settled_s``."""
        server = self._servers.get(address)
        now = self._clock.seconds()
        while server is not None and server.idle:
            place = len(server.idle) - 1
            if settled_s:
                settled = [
                    index
                    for index, each in enumerate(server.idle)
                    if self._is_settled(each, settled_s, now)
                ]
                if not settled:
                    return None
                place = settled[-1]
            each = server.idle.pop(place)
            idle_for_s = now - each.since_s
            usable = each.until_s > now and self._idle_limit.allows(idle_for_s, now)
            if usable and not each.connection.closed:
                self._reuses[each.connection] = _Reuse(now, idle_for_s)
                return each.connection
            each.connection.abort()
        return None

    def _connect(self, address: str, request: OutgoingRequest, call: Call) -> None:
        place = parse_address(address)
        server = self._servers.setdefault(address, _Server())
        server.open_count += 1
        self.opened += 1
        factory = _OneConnection(self, address, request, call)
        self._reactor.connectTCP(place.host, place.port, factory, self._settings.connect_timeout_s)

    def new_connection(self, address: str) -> ClientConnection:
        """Return the protocol for a connection that was established."""
        connection = ClientConnection(self, self._settings.user_timeout_s, self._parsing)
        connection.address = address
        self._address_of[connection] = address
        self._opened_s[connection] = self._clock.seconds()
        self._servers[address].connections.add(connection)
        return connection

    def connected(self, connection: ClientConnection, request: OutgoingRequest, call: Call) -> None:
        """Send on an established connection, unless the call was cancelled."""
        if call.cancelled:
            self.connection_idle(connection, None)
            return
        call.run_on(connection, request)

    def not_connected(self, failure: Failure, address: str, call: Call) -> None:
        """Report that the request was not sent."""
        self._servers[address].open_count -= 1
        if not call.cancelled:
            is_refused = failure.check(ConnectionRefusedError) is not None
            reason = Reachability.REFUSED.value if is_refused else failure.getErrorMessage()
            call.listener.request_unsent(reason)

    # --- ClientConnectionOwner ----------------------------------------------------------------

    def connection_idle(self, connection: ClientConnection, idle_s: float | None) -> None:
        """Keep a connection for the next request."""
        address = self._address_of.get(connection)
        if address is None:
            return
        max_idle_s = self._settings.idle_s
        if idle_s is not None:
            max_idle_s = min(max_idle_s, idle_s * KEEP_ALIVE_SHARE)
        now = self._clock.seconds()
        self._servers[address].idle.append(_Idle(connection, now, now + max_idle_s))

    def late_bytes(self, connection: ClientConnection, data: bytes) -> None:
        """Log bytes on an idle connection: the answer before them may have ended too early."""
        address = self._address_of.get(connection)
        if address is None:
            return
        now = self._clock.seconds()
        idle = self._servers[address].idle
        since_s = next((each.since_s for each in idle if each.connection is connection), now)
        begins_answer = begins_like_answer(data)
        self.answers_with_late_bytes += not begins_answer
        log = logger.bind(address=address, bytes=len(data), begins_answer=begins_answer)
        log = log.bind(idle_ms=round((now - since_s) * MILLISECONDS_PER_S))
        log.log("INFO" if begins_answer else "WARNING", "late_bytes")

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection; a reset right after its reuse limits the idle times."""
        address = self._address_of.pop(connection, None)
        reuse = self._reuses.pop(connection, None)
        self._opened_s.pop(connection, None)
        if address is None:
            return
        if reuse is not None and connection.lost_unanswered:
            now = self._clock.seconds()
            self._idle_limit.reset(reuse.idle_for_s, now - reuse.at_s, now)
        server = self._servers[address]
        server.open_count -= 1
        server.connections.discard(connection)
        if connection.closing != Closing.NOTHING:
            server.closings.append((connection.closing, note_close(self._clock)))
        server.idle = [each for each in server.idle if each.connection is not connection]

    def unframed_answer_begun(self, connection: ClientConnection) -> UnframedAnswer:
        """Return what confirms the end of an unframed answer."""
        # The connection may have closed before its head was parsed.
        return UnframedAnswer(self, self._clock, connection.address, connection)

    # --- ServerKnowledge ----------------------------------------------------------------------

    def other_connections(self, address: str, than: ClientConnection) -> OtherConnections:
        """Return what is known of the connections to an address other than ``than``."""
        server = self._servers[address]
        others = [
            each
            for each in server.connections
            if each is not than and not each.closed and not each.is_read_late
        ]
        opened_s = [self._opened_s[each] for each in others]
        return OtherConnections(
            len(others),
            sum(each.tells_by_close for each in others),
            min(opened_s, default=None),
            tuple(server.closings),
        )

    def unframed_end_begun(self, answer: UnframedAnswer) -> None:
        """Note an end that is being confirmed."""
        self._unframed_ends.add(answer)

    def unframed_end_over(self, answer: UnframedAnswer) -> None:
        """Forget an end that was confirmed or cancelled."""
        self._unframed_ends.discard(answer)


class _OneConnection(ClientFactory):
    """Opens one connection for one request.

    It lives as long as the connection, and drops the request once that was sent.
    """

    noisy = False

    def __init__(
        self, pool: ConnectionPool, address: str, request: OutgoingRequest, call: Call
    ) -> None:
        self._pool = pool
        self._address = address
        self._unsent: tuple[OutgoingRequest, Call] | None = (request, call)

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """Return the connection; the request is sent once it is established."""
        connection = self._pool.new_connection(self._address)
        connection.on_connected = lambda: self._connected(connection)
        return connection

    def _connected(self, connection: ClientConnection) -> None:
        unsent, self._unsent = self._unsent, None
        assert unsent is not None
        self._pool.connected(connection, *unsent)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Report the failure to the pool."""
        unsent, self._unsent = self._unsent, None
        assert unsent is not None
        self._pool.not_connected(reason, self._address, unsent[1])
