"""The HTTP/1.1 server.

Each connection reads one complete request at a time and passes it to the handler; a pipelined
request waits until the answer has ended. Meanwhile the connection keeps reading, so that a client's
disconnect is noticed at once.

An answer without a length to an HTTP/1.0 client ends with the orderly close of its connection.
Until such an answer has been sent, any other close is a reset, including the kernel's when the
process ends.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from rainsail.http.exchange import Handler, HttpRequest
from rainsail.http.headers import HeaderFields, header_value
from rainsail.http.server_exchange import ServerExchange
from rainsail.runtime.clock import Clock, Timer
from rainsail.runtime.sockets import (
    FIRST_REQUEST_S,
    close_if_nothing_unread,
    close_in_order,
    reset_at_close,
    set_user_timeout,
)

STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
REASONS = {
    200: b"OK",
    202: b"Accepted",
    307: b"Temporary Redirect",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
MAX_PIPELINED_BYTES = 256 * 1024
"""Bytes that a client may send ahead while it is being answered; with more it is reset."""


@dataclass(slots=True)
class HttpLimits:
    """Limits on a client's data and times; they may change while the server runs."""

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 16 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    user_timeout_s: float = 5.0


class HttpServer(Factory):
    """Accepts connections and counts the requests in progress."""

    noisy = False

    def __init__(self, handler: Handler, clock: Clock, limits: HttpLimits) -> None:
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.draining = False
        self.connections: set[ServerConnection] = set()
        self.requests_under_way = 0
        self._on_drained: Callable[[], None] | None = None

    def buildProtocol(self, addr: Any) -> "ServerConnection":
        """Return the protocol of an accepted connection."""
        return ServerConnection(self)

    def drain(self) -> None:
        """Send ``Connection: close`` with every answer that begins from now on.

        Clients whose answers began before may send another request; ``close_idle`` closes their
        connections.
        """
        self.draining = True

    def close_idle(self) -> None:
        """Close the connections without a request in progress or an expected first request."""
        for connection in list(self.connections):
            if not connection.awaits_first_request:
                connection.close_if_idle()

    def abort_unframed(self) -> None:
        """Reset the connections whose answers an orderly close would make look complete."""
        for connection in list(self.connections):
            connection.abort_unframed()

    def when_drained(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` once no connection is left, so that every answer has been flushed."""
        self._on_drained = listener
        self.check_drained()

    def check_drained(self) -> None:
        """Call the listener if the last connection has closed."""
        if not self.connections and self._on_drained is not None:
            listener, self._on_drained = self._on_drained, None
            listener()


@implementer(IHalfCloseableProtocol)
class ServerConnection(Protocol):
    """One client's connection."""

    transport: Any

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._limits = server.limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.max_header_bytes
        )
        self._head: h11.Request | None = None
        self._received_s = 0.0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._exchange: ServerExchange | None = None
        self._pipelined: deque[bytes] = deque()
        self._pipelined_bytes = 0
        self._timer: Timer | None = None
        self._lost = False
        self._opened_s = server.clock.seconds()
        self._has_carried_request = False
        self._ends_by_close = False
        """An answer that ends with the close of the connection was not sent completely yet."""

    # --- Twisted's callbacks -------------------------------------------------------------

    def connectionMade(self) -> None:
        """Wait for a request."""
        self._server.connections.add(self)
        self.transport.setTcpNoDelay(True)
        set_user_timeout(self.transport, self._limits.user_timeout_s)
        self._arm(self._limits.idle_timeout_s, self.close_if_idle)

    def dataReceived(self, data: bytes) -> None:
        """Parse data of a request, or buffer it while an answer is in progress."""
        if self._lost:
            return
        if self._exchange is not None:
            self._buffer_pipelined(data)
            return
        self._feed(data)

    def readConnectionLost(self) -> None:
        """Treat a client that has ended its sending side as gone, since a close looks the same."""
        if self._exchange is not None:
            self.abort()
        elif not self._ends_by_close:
            self._lost = True
            self._disarm()
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Close in an orderly way: an answer that ends with the close was sent completely."""
        self._ends_by_close = False
        close_in_order(self.transport)
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = None) -> None:  # type: ignore[assignment]
        """Notify the exchange that the client has disconnected."""
        self._lost = True
        self._disarm()
        self._server.connections.discard(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.connection_lost()
            self._server.requests_under_way -= 1
        self._server.check_drained()

    # --- reading -------------------------------------------------------------------------

    def _buffer_pipelined(self, data: bytes) -> None:
        self._pipelined.append(data)
        self._pipelined_bytes += len(data)
        if self._pipelined_bytes > MAX_PIPELINED_BYTES:
            self.abort()

    def _feed(self, data: bytes) -> None:
        begins = self._head is None and self._http.their_state is h11.IDLE
        try:
            self._http.receive_data(data)
            if begins:
                self._arm(self._limits.header_timeout_s, self._too_slow)
            self._take_events()
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)

    def _take_events(self) -> None:
        while self._exchange is None and not self._lost:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._take_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch()
            elif isinstance(event, h11.ConnectionClosed):
                self.transport.loseConnection()
                return

    def _take_head(self, head: h11.Request) -> None:
        self._head = head
        self._received_s = self._server.clock.seconds()
        self._body = []
        self._body_bytes = 0
        self._arm(self._limits.idle_timeout_s, self._too_slow)
        if self._http.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self._http.send(informational))

    def _take_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.max_body_bytes:
            self._refuse(STATUS_TOO_LARGE)
            return
        self._body.append(bytes(data))

    def _too_slow(self) -> None:
        self._refuse(STATUS_TIMEOUT)

    def _refuse(self, status: int) -> None:
        """Answer a request that could not be read, and close the connection."""
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = h11.Response(
                status_code=status,
                reason=REASONS.get(status, b""),
                headers=[(b"Content-Length", b"0"), (b"Connection", b"close")],
            )
            self.transport.write(self._http.send(head))
        self._lost = True
        self.transport.loseConnection()

    # --- answering -----------------------------------------------------------------------

    def _dispatch(self) -> None:
        head = self._head
        assert head is not None
        self._disarm()
        request = HttpRequest(
            bytes(head.method),
            bytes(head.target),
            tuple(head.headers.raw_items()),
            b"".join(self._body),
            self._received_s,
        )
        self._head = None
        self._body = []
        self._has_carried_request = True
        exchange = ServerExchange(self, request)
        self._exchange = exchange
        self._server.requests_under_way += 1
        self._server.handler(exchange)

    def send_head(self, status: int, headers: HeaderFields) -> None:
        """Send an answer's head."""
        fields = list(headers)
        if self._server.draining:
            fields.append((b"Connection", b"close"))
        reason = REASONS.get(status, b"")
        head = h11.Response(status_code=status, reason=reason, headers=fields)
        if self._has_no_framing(fields):
            self._ends_by_close = True
            reset_at_close(self.transport)
        self.transport.write(self._http.send(head))

    def _has_no_framing(self, fields: list[tuple[bytes, bytes]]) -> bool:
        """Tell whether an answer has no length and can't be chunked, as in HTTP/1.0."""
        version = self._http.their_http_version or b"1.0"
        return version < b"1.1" and header_value(fields, b"content-length") is None

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body."""
        sent = self._http.send(h11.Data(data=data))
        if sent:
            self.transport.write(sent)

    def send_end(self) -> None:
        """End the answer, and process the next request or close."""
        sent = self._http.send(h11.EndOfMessage())
        if sent:
            self.transport.write(sent)
        self._exchange = None
        self._server.requests_under_way -= 1
        if self._ends_by_close:
            self._lost = True
            self.transport.loseWriteConnection()
            return
        if self._http.our_state is h11.MUST_CLOSE:
            self._lost = True
            self.transport.loseConnection()
            return
        self._http.start_next_cycle()
        self._arm(self._limits.idle_timeout_s, self.close_if_idle)
        self._server.clock.callLater(0, self._process_pipelined)

    def _process_pipelined(self) -> None:
        if self._lost or self._exchange is not None:
            return
        pipelined, self._pipelined = b"".join(self._pipelined), deque()
        self._pipelined_bytes = 0
        if pipelined:
            self._feed(pipelined)
        elif self._http.trailing_data[0]:
            self._take_events()

    def abort(self) -> None:
        """Reset the connection."""
        self._lost = True
        self.transport.abortConnection()

    def abort_unframed(self) -> None:
        """Reset the connection if an orderly close would make its answer look complete."""
        if self._ends_by_close:
            self.abort()

    def close_if_idle(self) -> None:
        """Close unless a request has begun or is unread in the socket."""
        if self._lost or self._has_request():
            return
        if close_if_nothing_unread(self.transport, self.transport.loseConnection):
            self._lost = True

    @property
    def awaits_first_request(self) -> bool:
        """Tell whether the connection is so new that its first request may be in transit."""
        age_s = self._server.clock.seconds() - self._opened_s
        return not self._has_carried_request and age_s < FIRST_REQUEST_S

    def _has_request(self) -> bool:
        """Tell whether bytes of an unanswered request have been read."""
        if self._exchange is not None or self._head is not None:
            return True
        return bool(self._pipelined or self._http.trailing_data[0])

    # --- timers --------------------------------------------------------------------------

    def _arm(self, delay_s: float, call: Callable[[], None]) -> None:
        self._disarm()
        self._timer = self._server.clock.callLater(delay_s, call)

    def _disarm(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
