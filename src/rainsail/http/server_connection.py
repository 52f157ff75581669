"""One client's connection to the HTTP/1.1 server.

Reads one complete request at a time and passes it to the handler; a pipelined request waits until
the answer has ended. Meanwhile the connection keeps reading, so that a client's disconnect is
noticed at once. What it holds counts against the budget of all clients, and it gives way to others
when the budget asks it to.

An answer without a length to an HTTP/1.0 client ends with the orderly close of its connection.
Until such an answer has been sent, any other close is a reset, including the kernel's when the
process ends.
"""

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import h11
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from rainsail.budget.client_budget import NO_CONNECTION, NO_ROOM
from rainsail.budget.eviction import PROTECTED_S, Rank, Standing, slow_standing
from rainsail.budget.memory import HeldKind
from rainsail.budget.progress import ProgressMeter
from rainsail.http.answer_flow import AnswerFlow
from rainsail.http.exchange import HttpRequest
from rainsail.http.headers import HeaderFields, header_value
from rainsail.http.parsing_queue import EVENTS_AT_ONCE
from rainsail.http.refused_sender import RefusedSender
from rainsail.http.request_body import Refusal, RequestBody
from rainsail.http.server_exchange import ServerExchange
from rainsail.http.statuses import REASONS, STATUS_BAD_REQUEST, STATUS_TIMEOUT
from rainsail.runtime.clock import Timer
from rainsail.runtime.sockets import (
    FIRST_REQUEST_S,
    UNREAD_BYTES,
    close_if_nothing_unread,
    close_in_order,
    close_now,
    has_unread_bytes,
    limit_unread_bytes,
    reset_at_close,
    set_user_timeout,
    unread_for_s,
    unsent_bytes,
)

if TYPE_CHECKING:
    from rainsail.http.server import HttpServer

MAX_PIPELINED_BYTES = 256 * 1024
"""Bytes that a client may send ahead while it is being answered; with more it is reset."""
UNCOUNTED_BYTES = 4 * 1024
"""A partial head, or bytes sent ahead, up to this size are covered by the connection."""
REFUSED_PROTECTED_S = 0.2
"""A refused client is not closed for another one until its refusal had this time to arrive."""

TOO_SLOW = "too slow"
INVALID = "invalid request"
SENT_AHEAD = "sent ahead"
TAKES_NOTHING = "takes nothing"


@implementer(IHalfCloseableProtocol)
class ServerConnection(Protocol):
    """Implements ``rainsail.budget.eviction.Claimant`` as well."""

    transport: Any

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._clock = server.clock
        self._limits = server.limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.max_header_bytes
        )
        self._head: h11.Request | None = None
        self._begun_s: float | None = None
        """When the first byte of the request that is arriving had arrived; None without one."""
        self._read_s = 0.0
        """When the bytes that were read last had arrived."""
        self._body: RequestBody | None = None
        self._head_bytes = 0
        self._exchange: ServerExchange | None = None
        self._flow: AnswerFlow | None = None
        self._refused: RefusedSender | None = None
        """Set once the client was refused; what it sends is dropped."""
        self._pipelined: deque[bytes] = deque()
        self._pipelined_bytes = 0
        self._is_flushing = False
        """The next request waits until the client has taken the answers before it."""
        self._is_parsing_later = False
        """Received data waits in the server's parsing queue; nothing is read meanwhile."""
        self._timer: Timer | None = None
        self._lost = False
        self._opened_s = server.clock.seconds()
        self._meter = ProgressMeter(self._opened_s)
        """Progress of the request that is arriving, or how long the connection has been idle."""
        self._has_carried_request = False
        self._ends_by_close = False
        """An answer that ends with the close of the connection was not sent completely yet."""
        self._holding = server.budget.open(self)

    # --- Twisted's callbacks -------------------------------------------------------------

    def connectionMade(self) -> None:
        """Wait for a request."""
        self._server.connections.add(self)
        self.transport.setTcpNoDelay(True)
        set_user_timeout(self.transport, self._limits.user_timeout_s)
        self._arm(self._limits.idle_timeout_s, self.close_if_idle)

    def dataReceived(self, data: bytes) -> None:
        """Parse data of a request, or buffer it while an answer is in progress."""
        if self._refused is not None:
            self._refused.drop(len(data))
            return
        if self._lost:
            return
        self._read_s = self._clock.seconds()
        if self._begun_s is None:
            self._read_s -= unread_for_s(self.transport)
            self._begun_s = self._read_s
        if self._exchange is None and not self._is_flushing:
            self._feed(data)
            return
        self._buffer_pipelined(data)
        if self._is_flushing:
            self._process_pipelined()

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
        if self._refused is not None:
            return
        self._ends_by_close = False
        close_in_order(self.transport)
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = None) -> None:  # type: ignore[assignment]
        """Notify the exchange that the client has disconnected."""
        self._lost = True
        self._disarm()
        if self._refused is not None:
            self._refused.stop()
        if self._flow is not None:
            self._flow.close()
        self._pipelined.clear()
        self._body = None
        self._server.connections.discard(self)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.connection_lost()
            self._server.requests_under_way -= 1
        self._server.budget.close(self, self._holding)
        self._server.check_drained()

    # --- reading -------------------------------------------------------------------------

    def _buffer_pipelined(self, data: bytes) -> None:
        self._pipelined.append(data)
        self._count_ahead(len(data))

    def _count_ahead(self, count: int) -> None:
        """Count bytes that were sent before the answer in progress has ended."""
        self._pipelined_bytes += count
        if self._pipelined_bytes <= UNCOUNTED_BYTES:
            return
        is_over = self._pipelined_bytes > MAX_PIPELINED_BYTES
        if is_over or not self._holding.grow_to(HeldKind.AHEAD, self._pipelined_bytes):
            self._server.budget.refused(SENT_AHEAD, 0, self._holding.held_bytes)
            self.abort()

    def _feed(self, data: bytes) -> None:
        begins = self._head is None and self._http.their_state is h11.IDLE
        if begins and not self._head_bytes:
            self._meter = ProgressMeter(self._clock.seconds())
        if self._receive(data):
            if begins:
                self._arm(self._limits.header_timeout_s, self._too_slow)
            self._parse(EVENTS_AT_ONCE)
            self._count_head()

    def _receive(self, data: bytes) -> bool:
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._refuse_invalid(error)
            return False
        return True

    def _count_head(self) -> None:
        """Count the received part of a head that is not complete."""
        before = self._head_bytes
        is_partial = self._head is None and self._exchange is None and not self._lost
        self._head_bytes = len(self._http.trailing_data[0]) if is_partial else 0
        if self._head_bytes <= before:
            return
        self._meter.add(self._head_bytes - before, self._clock.seconds())
        if self._head_bytes > UNCOUNTED_BYTES:
            fits = self._holding.grow_to(HeldKind.HEAD, self._head_bytes)
            if not fits:
                self._refuse(Refusal(STATUS_TIMEOUT, NO_ROOM))

    def _parse(self, max_events: int) -> None:
        """Parse what was received; leave the rest of very small pieces to later turns."""
        if self._parse_events(max_events):
            self._is_parsing_later = True
            self._holding.set(HeldKind.UNREAD, UNREAD_BYTES)
            limit_unread_bytes(self.transport)
            self.transport.pauseProducing()
            self._server.parsing.add(self)

    def parse_some(self, max_events: int) -> bool:
        """Parse up to ``max_events``; return whether there is more to parse now."""
        if self._lost or self._refused is not None:
            return False
        if self._parse_events(max_events):
            return True
        self._is_parsing_later = False
        self._holding.set(HeldKind.UNREAD, 0)
        if not self._lost:
            self.transport.resumeProducing()
        return False

    def _parse_events(self, max_events: int) -> bool:
        """Parse up to ``max_events``; return whether there may be more to parse now."""
        try:
            for _ in range(max_events):
                if self._exchange is not None or self._lost:
                    return False
                if not self._take_event(self._http.next_event()):
                    return False
        except h11.RemoteProtocolError as error:
            self._refuse_invalid(error)
            return False
        return self._exchange is None and not self._lost

    def _take_event(self, event: Any) -> bool:
        """Handle an event; return whether to look for the next one."""
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Request):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            self._take_body(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()
        elif isinstance(event, h11.ConnectionClosed):
            self.transport.loseConnection()
            return False
        return True

    def _take_head(self, head: h11.Request) -> None:
        self._head = head
        self._holding.set(HeldKind.HEAD, 0)
        self._meter = ProgressMeter(self._clock.seconds())
        length = _body_length(head)
        body = RequestBody(self._holding, self._limits.max_body_bytes, length, self._meter)
        self._body = body
        refusal = body.admit()
        if refusal is not None:
            self._refuse(refusal)
            return
        self._arm(self._limits.idle_timeout_s, self._too_slow)
        if self._http.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self._http.send(informational))

    def _take_body(self, data: bytes | bytearray) -> None:
        assert self._body is not None
        refusal = self._body.add(data, self._clock.seconds())
        if refusal is not None:
            self._refuse(refusal)

    def _too_slow(self) -> None:
        if self._is_parsing_later:
            # The client is not slow: what it has sent waits for its turn here.
            self._arm(self._limits.header_timeout_s, self._too_slow)
            return
        self._refuse(Refusal(STATUS_TIMEOUT, TOO_SLOW))

    # --- refusing ------------------------------------------------------------------------

    def _refuse_invalid(self, error: h11.RemoteProtocolError) -> None:
        self._refuse(Refusal(error.error_status_hint or STATUS_BAD_REQUEST, INVALID))

    def _refuse(self, refusal: Refusal) -> None:
        """Answer a request that is not read on; drop what its client still sends, then close."""
        self._server.budget.refused(refusal.reason, refusal.status, self._holding.held_bytes)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            fields = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            if refusal.retry_after_s is not None:
                fields.append((b"Retry-After", f"{refusal.retry_after_s:g}".encode()))
            head = h11.Response(
                status_code=refusal.status, reason=REASONS.get(refusal.status, b""), headers=fields
            )
            self.transport.write(self._http.send(head))
        self._disarm()
        self._head, self._body = None, None
        self._lost = True
        self._give_back()
        self._drop_rest()

    def _give_back(self) -> None:
        for kind in (HeldKind.HEAD, HeldKind.BODY, HeldKind.UNREAD):
            self._holding.set(kind, 0)

    def _drop_rest(self) -> None:
        """Read and drop what the client still sends, so that the refusal is not reset."""
        if not hasattr(self.transport, "loseWriteConnection"):
            self.transport.loseConnection()
            return
        self._refused = RefusedSender(self._clock, self._close_refused)
        self._http = h11.Connection(h11.SERVER)
        if self._is_parsing_later:
            self._is_parsing_later = False
            self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def _close_refused(self) -> None:
        is_stuck = bool(unsent_bytes(self.transport))
        if is_stuck or not close_if_nothing_unread(self.transport, self.transport.loseConnection):
            self.abort()

    # --- Claimant ------------------------------------------------------------------------

    @property
    def held_bytes(self) -> int:
        """The bytes that the connection would give back."""
        return self._holding.held_bytes

    def standing(self, now: float) -> Standing | None:
        """Return the connection's place among those that may give way to others."""
        if self._refused is not None:
            since_s = self._refused.since_s
            is_new = now - since_s < REFUSED_PROTECTED_S
            return None if is_new else Standing(Rank.REFUSED, 0.0, since_s)
        if self._is_parsing_later:
            return None
        if self._flow is not None and self._flow.meter is not None:
            return slow_standing(Rank.ANSWER, self.held_bytes, self._flow.meter, now)
        if self._exchange is not None:
            return None
        if self._head is not None or self._head_bytes:
            return slow_standing(Rank.BODY, self.held_bytes, self._meter, now)
        if now - self._meter.since_s < PROTECTED_S:
            return None
        return Standing(Rank.IDLE, 0.0, self._meter.since_s)

    def give_way(self, at_once: bool) -> None:
        """Give back what the connection holds, as others need it."""
        may_be_told = self._exchange is None and self._refused is None and not self._lost
        if at_once or not may_be_told:
            reason = NO_CONNECTION if at_once else NO_ROOM
            self._server.budget.refused(reason, 0, self._holding.held_bytes)
            self._lost = True
            close_now(self.transport)
        elif self._head is not None or self._head_bytes:
            self._refuse(Refusal(STATUS_TIMEOUT, NO_ROOM))
        else:
            self.close_if_idle()

    # --- answering -----------------------------------------------------------------------

    def _dispatch(self) -> None:
        head, body = self._head, self._body
        assert head is not None and body is not None
        self._disarm()
        request = self._request_of(head, body.finish())
        self._head, self._body = None, None
        is_next_begun = bool(self._pipelined or self._http.trailing_data[0])
        self._begun_s = self._read_s if is_next_begun else None
        self._has_carried_request = True
        exchange = ServerExchange(self, request)
        self._exchange = exchange
        self._server.requests_under_way += 1
        self._count_ahead(len(self._http.trailing_data[0]))
        if not self._lost:
            self._server.handler(exchange)

    def _request_of(self, head: h11.Request, body: bytes) -> HttpRequest:
        fields = tuple(head.headers.raw_items())
        assert self._begun_s is not None
        return HttpRequest(bytes(head.method), bytes(head.target), fields, body, self._begun_s)

    def send_head(self, status: int, headers: HeaderFields) -> None:
        """Send an answer's head."""
        fields = list(headers)
        if self._server.draining and not self._has_next_request():
            fields.append((b"Connection", b"close"))
        reason = REASONS.get(status, b"")
        head = h11.Response(status_code=status, reason=reason, headers=fields)
        if self._has_no_framing(fields):
            self._ends_by_close = True
            reset_at_close(self.transport)
        self._answer_flow().begin()
        self.transport.write(self._http.send(head))

    def _has_no_framing(self, fields: list[tuple[bytes, bytes]]) -> bool:
        """Tell whether an answer has no length and can't be chunked, as in HTTP/1.0."""
        version = self._http.their_http_version or b"1.0"
        return version < b"1.1" and header_value(fields, b"content-length") is None

    def _answer_flow(self) -> AnswerFlow:
        if self._flow is None:
            self._flow = AnswerFlow(
                self.transport,
                self._holding,
                self._clock,
                lambda: self._limits.stall_timeout_s,
                self._stalled,
            )
        return self._flow

    def _has_next_request(self) -> bool:
        """Tell whether bytes of a request behind the one under way have arrived."""
        has_read = bool(self._pipelined or self._http.trailing_data[0])
        return has_read or has_unread_bytes(self.transport)

    def watch_flow(self, paused: Callable[[bool], None]) -> None:
        """Call ``paused`` with True when the client reads too slowly, with False afterwards."""
        flow = self._answer_flow()
        flow.paused = paused
        if flow.is_paused:
            paused(True)

    def _stalled(self) -> None:
        self._server.budget.refused(TAKES_NOTHING, 0, self._holding.held_bytes)
        self.abort()

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body."""
        sent = self._http.send(h11.Data(data=data))
        if not sent:
            return
        self.transport.write(sent)
        if not self._answer_flow().written():
            self._server.budget.refused(NO_ROOM, 0, self._holding.held_bytes)
            self.abort()

    def send_end(self) -> None:
        """End the answer, and process the next request or close."""
        sent = self._http.send(h11.EndOfMessage())
        if sent:
            self.transport.write(sent)
        if self._exchange is not None:
            self._exchange.drop_body()
        self._exchange = None
        self._holding.set(HeldKind.REQUEST, 0)
        self._server.requests_under_way -= 1
        self._meter = ProgressMeter(self._clock.seconds())
        flow = self._answer_flow()
        flow.end()
        if self._lost:
            return
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
        self._clock.callLater(0, self._process_pipelined)

    def _process_pipelined(self) -> None:
        if self._lost or self._exchange is not None:
            return
        if self._flow is not None and not self._flow.has_drained():
            self._is_flushing = True
            self._flow.when_drained(self._process_pipelined)
            return
        self._is_flushing = False
        pipelined, self._pipelined = b"".join(self._pipelined), deque()
        self._pipelined_bytes = 0
        self._holding.set(HeldKind.AHEAD, 0)
        if pipelined:
            self._feed(pipelined)
        elif self._http.trailing_data[0]:
            self._parse(EVENTS_AT_ONCE)

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
    def arriving(self) -> HttpRequest | None:
        """The request whose body is arriving, without its body; None if there is none."""
        if self._head is None or self._lost:
            return None
        return self._request_of(self._head, b"")

    def end_request(self, refusal: Refusal) -> None:
        """End the request under way; refuse one of which only a part has arrived."""
        if self._exchange is not None:
            self._exchange.end_unfinished()
        elif self._has_request() and not self._lost:
            self._refuse(refusal)

    @property
    def awaits_first_request(self) -> bool:
        """Tell whether the connection is so new that its first request may be in transit."""
        age_s = self._clock.seconds() - self._opened_s
        return not self._has_carried_request and age_s < FIRST_REQUEST_S

    def _has_request(self) -> bool:
        """Tell whether bytes of an unanswered request have been read."""
        if self._exchange is not None or self._head is not None:
            return True
        return bool(self._pipelined or self._http.trailing_data[0])

    # --- timers --------------------------------------------------------------------------

    def _arm(self, delay_s: float, call: Callable[[], None]) -> None:
        self._disarm()
        self._timer = self._clock.callLater(delay_s, call)

    def _disarm(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


def _body_length(head: h11.Request) -> int | None:
    """Return the announced length of a request's body; None for a chunked one."""
    if header_value(head.headers, b"transfer-encoding") is not None:
        return None
    length = header_value(head.headers, b"content-length")
    return 0 if length is None else int(length)
