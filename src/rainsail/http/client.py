"""HTTP/1.1 client connections, with one request at a time on each.

The callbacks distinguish whether a request can have been sent at all, and whether an answer was
complete at its end.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any
from typing import Protocol as TypingProtocol

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from rainsail.http.answer_end import AnswerEnd, contradiction
from rainsail.http.chunk_hold import LINE_END_BYTES, MAX_HELD_BYTES, ChunkHold
from rainsail.http.connection_owner import ClientConnectionOwner, UnframedAnswerEnd
from rainsail.http.headers import (
    HeaderFields,
    header_value,
    holds_status_line,
    keep_alive_s,
)
from rainsail.http.line_share import share_of
from rainsail.http.parsing_queue import EVENTS_AT_ONCE, ParsingQueue
from rainsail.http.part_writer import PartWriter
from rainsail.http.statuses import STATUSES_WITHOUT_BODY, invalid_status, is_final_status
from rainsail.http.unframed_end import Closing
from rainsail.runtime.sockets import limit_unread_bytes, set_user_timeout, unread_bytes

MAX_HEAD_BYTES = 64 * 1024
JOINED_BYTES = 64 * 1024
"""A request with a body up to this size is written at once, which copies the body."""
SLOW_READ_BYTES = 16 * 1024
"""How much is read at once of an answer to a slow client."""
PEEKED_BYTES = 64
"""How much is looked at behind the end of an answer of what has arrived and was not read yet."""
MAX_INTERIM_ANSWERS = 32
"""Interim answers (1xx) before one answer; with more the answer is invalid."""
TOO_MANY_INTERIM = "too many interim answers"
STATUS_LINE_INSIDE = "a status line inside the head"
DOUBTFUL_END = "the end of the answer is contradicted"
EVENT_STREAM = b"text/event-stream"
HEAD_METHOD = b"HEAD"
CONNECTION_CLOSED = "connection closed"
CONNECTION_RESET = "connection reset"
PROCESS_ENDED = "the server's process has ended"
"""An unframed answer ended in order, and so did the process, so that a part may be missing."""
CONNECTION_ENDS = frozenset((CONNECTION_CLOSED, CONNECTION_RESET, PROCESS_ENDED))
"""Failure reasons for the end of the connection, as opposed to invalid data."""


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A complete request as sent to a server."""

    method: bytes
    target: bytes
    headers: HeaderFields
    body: bytes


class Framing(StrEnum):
    """What marks the end of an answer."""

    CHUNKED = "chunked"
    LENGTH = "length"
    HEAD = "head"
    """The end of its head: no body follows, whatever length the head states."""
    CLOSE = "close"
    """Only the close of the connection, so a crashed server looks like one that has finished."""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an answer."""

    status: int
    headers: HeaderFields
    is_to_head: bool = False
    """Whether it answers a ``HEAD`` request."""

    @property
    def framing(self) -> Framing:
        """What marks the end of the answer."""
        if self.is_to_head or self.status in STATUSES_WITHOUT_BODY:
            return Framing.HEAD
        if header_value(self.headers, b"transfer-encoding") is not None:
            return Framing.CHUNKED
        if header_value(self.headers, b"content-length") is not None:
            return Framing.LENGTH
        return Framing.CLOSE

    @property
    def has_lines(self) -> bool:
        """Tell whether the work for the body grows with its lines: it is a stream of events."""
        content_type = header_value(self.headers, b"content-type")
        return content_type is not None and content_type.lower().startswith(EVENT_STREAM)


class AnswerListener(TypingProtocol):
    """Receives one answer; ``answer_ended`` or ``answer_failed`` is the last callback."""

    def answer_begun(self, head: AnswerHead) -> None:
        """The head has arrived."""
        ...

    def answer_data(self, data: bytes) -> None:
        """A piece of the body has arrived."""
        ...

    def answer_ended(self) -> None:
        """The answer is complete; behind an unframed one the server's process was found alive."""
        ...

    def answer_failed(self, reason: str) -> None:
        """The connection ended, or the data was not valid HTTP; the request may have run."""
        ...


class ClientConnection(Protocol):
    """One connection to a server."""

    transport: Any

    def __init__(
        self, owner: ClientConnectionOwner, user_timeout_s: float, parsing: ParsingQueue
    ) -> None:
        """``parsing`` is shared with the other connections of the process."""
        self._owner = owner
        self.address = ""
        """The server's address, ``IP:PORT``, set by the owner."""
        self._user_timeout_s = user_timeout_s
        self._parsing = parsing
        self._is_parsing_later = False
        """Received data waits in the parsing queue; nothing is read meanwhile."""
        self._head: AnswerHead | None = None
        """The head of the answer that is received, or of the last one."""
        self._body_bytes = 0
        """How much of the body of that answer has been parsed."""
        self._has_lines = False
        """The answer is passed on by shares of bounded numbers of lines."""
        self._hold = ChunkHold(is_holding=False)
        self._read_bytes = 0
        """The size of the last read."""
        self._unpassed = b""
        """Parsed data of the answer that waits for its turn, ahead of ``_waiting_event``."""
        self._waiting_event: Any = None
        self._is_paused = False
        """The answer is not read for now, as its receiver is too slow."""
        self._closed_in_order: bool | None = None
        """How the connection closed, while data that was received before waits for its turn."""
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._listener: AnswerListener | None = None
        self._is_head_request = False
        self._idle_s: float | None = None
        self._interim_answers = 0
        """Interim answers to the current request."""
        self.closed = False
        self.lost_unanswered = False
        """The server ended it before any byte of the answer to the current request."""
        self._unanswered = False
        self._has_received = False
        self._unframed: UnframedAnswerEnd | None = None
        """Set while an unframed answer is under way, and afterwards."""
        self.closing = Closing.NOTHING
        """What the close of the connection tells of the server's process, once it has closed."""
        self._was_parsed_later = False
        """Reading has stopped for a while, as received data waited in the parsing queue."""
        self._was_paused = False
        """Its buffers are small since then, so that it is not used for another request."""
        self._unwritten: PartWriter | None = None
        """The writer of a large request that may not have been passed on completely."""
        self.on_connected: Callable[[], None] = lambda: None

    def connectionMade(self) -> None:
        """Set the socket's options and call ``on_connected``."""
        self.transport.setTcpNoDelay(True)
        set_user_timeout(self.transport, self._user_timeout_s)
        on_connected, self.on_connected = self.on_connected, lambda: None
        on_connected()

    def send(self, request: OutgoingRequest, listener: AnswerListener) -> None:
        """Send a complete request; its answer goes to ``listener``."""
        self._listener = listener
        self._is_head_request = request.method == HEAD_METHOD
        self._idle_s = None
        self._interim_answers = 0
        self._unanswered = True
        self._was_parsed_later = False
        head = h11.Request(
            method=request.method, target=request.target, headers=list(request.headers)
        )
        parts = [self._http.send(head)]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        sent = [part for part in parts if part]
        if len(request.body) <= JOINED_BYTES:
            self.transport.write(b"".join(sent))
        else:
            self._unwritten = PartWriter(self.transport, sent)

    def dataReceived(self, data: bytes) -> None:
        """Parse data of an answer; data without a pending request ends the connection."""
        if self.closed:
            return
        self._unanswered = False
        self._has_received = True
        if self._listener is None:
            self._owner.late_bytes(self, data)
            self.abort()
            return
        self._read_bytes = len(data)
        self._hold.received(len(data))
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._fail(f"invalid HTTP response: {error}")
            return
        if not self._is_parsing_later and self._parse_events(EVENTS_AT_ONCE):
            self._is_parsing_later = True
            self._was_parsed_later = True
            self.transport.pauseProducing()
            self._parsing.add(self)

    def parse_some(self, max_events: int) -> bool:
        """Parse up to ``max_events``; return whether there is more to parse now."""
        if self._parse_events(max_events):
            return True
        self._is_parsing_later = False
        if self._closed_in_order is not None:
            self._take_close(self._closed_in_order)
        elif not self.closed and not self._is_paused:
            self.transport.resumeProducing()
        return False

    def connectionLost(self, reason: Failure = None) -> None:  # type: ignore[assignment]
        """End the answer: as complete only if it had no framing and the close was orderly."""
        already = self.closed
        self.closed = True
        self.lost_unanswered = self._unanswered and not already
        in_order = reason is not None and reason.check(ConnectionDone) is not None
        if not already:
            self.closing = self._judge_closing(in_order)
        if self._listener is not None and not already:
            if self._is_parsing_later:
                self._closed_in_order = in_order
            else:
                self._take_close(in_order)
        self._owner.connection_closed(self)

    def _judge_closing(self, in_order: bool) -> Closing:
        is_refusal = not in_order and not self._has_received
        if self._unframed is not None or self._is_parsing_later or is_refusal:
            return Closing.NOTHING
        return Closing.IDLE if self._listener is None else Closing.BROKEN_OFF

    def _take_close(self, in_order: bool) -> None:
        if in_order and self._listener is not None:
            if self._unframed is not None:
                self._listener = self._unframed.connection_closed(self._listener)
            self._http.receive_data(b"")
            self._parse_events(EVENTS_AT_ONCE, is_at_end=True)
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.answer_failed(CONNECTION_CLOSED if in_order else CONNECTION_RESET)

    def _parse_events(self, max_events: int, is_at_end: bool = False) -> bool:
        """Parse up to ``max_events``; return whether there may be more to parse now.

        Pieces of the body that follow each other are passed on together. With ``is_at_end`` the
        connection has closed, and its close tells how an incomplete answer has ended.
        """
        try:
            for _ in range(max_events):
                if self._listener is None:
                    return False
                if self._unpassed:
                    self._pass_on([self._unpassed])
                    return True
                event, self._waiting_event = self._waiting_event, None
                if event is None:
                    event = self._http.next_event()
                if isinstance(event, h11.Data):
                    self._take_data(event)
                    continue
                if not self._has_lines and self._fail_if_contradicted(event):
                    return False
                self._pass_on(self._hold.take())
                if self._unpassed:
                    self._waiting_event = event
                    return True
                if not self._take_event(event):
                    return False
        except h11.RemoteProtocolError as error:
            self._pass_on(self._hold.take_checked())
            if not is_at_end:
                self._fail(f"invalid HTTP response: {error}")
            return False
        self._pass_on(self._hold.take())
        return self._listener is not None

    def _take_data(self, event: h11.Data) -> None:
        self._body_bytes += len(event.data)
        unparsed = LINE_END_BYTES
        if event.chunk_end and self._hold.is_holding and self._read_bytes <= MAX_HELD_BYTES:
            # The parser copies what it has not parsed: of a large read, too much for each chunk.
            unparsed = len(self._http.trailing_data[0])
        self._hold.add(event.data, event.chunk_end, unparsed)

    def _pass_on(self, pieces: list[bytes]) -> None:
        """Pass pieces of the body on together; what is beyond a share of lines waits."""
        if not pieces or self._listener is None:
            return
        data = bytes(pieces[0] if len(pieces) == 1 else b"".join(pieces))
        size = share_of(data) if self._has_lines else len(data)
        self._unpassed = data[size:]
        self._listener.answer_data(data[:size])

    def _take_event(self, event: Any) -> bool:
        """Handle an event other than data; return whether to look for the next one."""
        if self._listener is None or event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Response):
            self._take_head(event)
        elif isinstance(event, h11.InformationalResponse):
            if self._fail_if_joined(event):
                return False
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                self._fail(TOO_MANY_INTERIM)
        elif isinstance(event, h11.EndOfMessage):
            self._take_end(event)
        return not isinstance(event, h11.ConnectionClosed)

    def _fail_if_joined(self, event: Any) -> bool:
        """Fail an answer whose head is the remains of another one, joined with its own."""
        is_joined = holds_status_line((event.reason, *(value for _, value in event.headers)))
        if is_joined:
            self._fail(f"invalid HTTP response: {STATUS_LINE_INSIDE}")
        return is_joined

    def _take_head(self, event: h11.Response) -> None:
        assert self._listener is not None
        if self._fail_if_joined(event):
            return
        if not is_final_status(event.status_code):
            self._fail(invalid_status(event.status_code))
            return
        fields = tuple(event.headers.raw_items())
        self._idle_s = keep_alive_s(fields)
        self._head = head = AnswerHead(event.status_code, fields, self._is_head_request)
        self._body_bytes = 0
        self._has_lines = head.has_lines
        self._hold = ChunkHold(head.has_lines and head.framing == Framing.CHUNKED)
        if head.framing == Framing.CLOSE:
            self._unframed = self._owner.unframed_answer_begun(self)
        self._listener.answer_begun(head)

    def _fail_if_contradicted(self, event: Any) -> bool:
        """Fail an answer whose end is contradicted; return whether this is such an end.

        The last piece of a body with a length completes it for whoever gets the length, so the end
        is judged before that piece is passed on. Events of a stream are complete by themselves.
        """
        if not isinstance(event, h11.EndOfMessage):
            return False
        flaw = contradiction(self._answer_end(event))
        if flaw:
            self._fail(f"{DOUBTFUL_END}: {flaw}")
        return bool(flaw)

    def _answer_end(self, event: h11.EndOfMessage) -> AnswerEnd:
        assert self._head is not None
        trailers = tuple(name for name, _ in event.headers)
        is_chunked = self._head.framing == Framing.CHUNKED
        size = self._body_bytes if is_chunked else None
        is_head_only = self._head.framing == Framing.HEAD
        return AnswerEnd(self._head.headers, trailers, self._surplus(), size, is_head_only)

    def _surplus(self) -> bytes:
        """Return what has been received behind the end of the answer, or its beginning."""
        unparsed, _ = self._http.trailing_data
        return unparsed + unread_bytes(self.transport, PEEKED_BYTES)

    def _take_end(self, event: h11.EndOfMessage) -> None:
        if self._has_lines and self._fail_if_contradicted(event):
            return
        listener, self._listener = self._listener, None
        assert listener is not None
        reusable = not self._surplus() and self._is_reusable()
        if reusable:
            self._http.start_next_cycle()
        listener.answer_ended()
        if self.closed:
            return
        if reusable:
            self._owner.connection_idle(self, self._idle_s)
        else:
            self.abort()

    def _is_reusable(self) -> bool:
        states = (self._http.our_state, self._http.their_state)
        is_unwritten = self._unwritten is not None and not self._unwritten.is_done
        if is_unwritten or self._was_paused:
            return False
        return states == (h11.DONE, h11.DONE) and not self.closed

    def _fail(self, reason: str) -> None:
        listener, self._listener = self._listener, None
        self.abort()
        if listener is not None:
            listener.answer_failed(reason)

    @property
    def tells_by_close(self) -> bool:
        """Tell whether its close would show that the server's process has ended.

        Not where it would be the end of an unframed answer, or that of a connection without room.
        """
        return self._unframed is None and self._has_received

    @property
    def is_read_late(self) -> bool:
        """Tell whether its close may be noticed late: it is not read at times."""
        return self._was_paused or self._was_parsed_later

    def pause_reading(self) -> None:
        """Read no more of the answer for now; its end, however it comes, is noticed afterwards."""
        if not self.closed:
            self._was_paused = True
            self._is_paused = True
            self.transport.bufferSize = SLOW_READ_BYTES
            limit_unread_bytes(self.transport)
            self.transport.pauseProducing()

    def resume_reading(self) -> None:
        """Read on."""
        self._is_paused = False
        if not self.closed and not self._is_parsing_later:
            self.transport.resumeProducing()

    def abort(self) -> None:
        """Reset the connection; the listener gets no more callbacks."""
        self._listener = None
        if self._unframed is not None:
            self._unframed.cancel()
        if not self.closed:
            self.closed = True
            if self.transport is not None:
                self.transport.abortConnection()
