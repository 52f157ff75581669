"""Writes the answer that a client gets, which may be put together from several runners.

Owns how much of the answer has left. Relies on the HTTP server's exchange to send it.
"""

from enum import StrEnum

from rainsail.http.client import Framing
from rainsail.http.exchange import Exchange
from rainsail.relay.attempt import Attempt
from rainsail.relay.continuation import ClientHas
from rainsail.relay.events import Event, is_part_of_stream, leaves_hole
from rainsail.relay.protocol import RelayProtocol
from rainsail.relay.stream_beginnings import StreamBeginning, StreamBeginnings, StreamSource
from rainsail.runtime.clock import Clock

CONTENT_LENGTH = b"content-length"


class AnswerState(StrEnum):
    """How far an answer is."""

    NOTHING_SENT = "nothing_sent"
    BEGUN = "begun"
    OVER = "over"


class ClientAnswer:
    """Writes one answer; the head is that of the runner that began it.

    ``first_s`` is when its first byte left, in seconds since the request came; ``last_event`` the
    number of the last event that the client has, from an earlier answer at first.
    """

    def __init__(
        self,
        exchange: Exchange,
        protocol: RelayProtocol,
        clock: Clock,
        beginnings: StreamBeginnings,
        route: str,
        last_event: int | None,
    ) -> None:
        """``route`` is the name of the route by which the request came."""
        self._exchange = exchange
        self._protocol = protocol
        self._clock = clock
        self._beginnings = beginnings
        self._route = route
        self.state = AnswerState.NOTHING_SENT
        self.first_s: float | None = None
        self.last_event = last_event
        self._begun_by: Attempt | None = None
        self._has_unnumbered = False
        """Some data without a number has left."""
        self._continues_earlier = last_event is not None
        """The client has the beginning of the stream from an earlier answer."""
        self._beginning: StreamBeginning | None = None
        """How the events that have left begin; None before the first."""

    @property
    def begun(self) -> bool:
        """Tell whether some of the answer has left, and not yet all."""
        return self.state == AnswerState.BEGUN

    @property
    def client_has(self) -> ClientHas:
        """How much of the answer has left, and so whether another runner can continue it."""
        if not self.begun or self._begun_by is None:
            return ClientHas.NOTHING
        if self._begun_by.is_stream and self.last_event is not None:
            return ClientHas.NUMBERED_EVENTS
        return ClientHas.OTHER_BYTES

    def may_include(self, attempt: Attempt) -> bool:
        """Tell whether a runner's answer can be this one, or a part of it.

        The bytes of one that can't do not belong here, and its end is not the end of this one.
        """
        begun_by = self._begun_by
        if begun_by is None or begun_by is attempt:
            return True
        return begun_by.is_stream and attempt.is_stream

    def write_events(self, attempt: Attempt, events: list[Event]) -> bool:
        """Write the events that the client doesn't have yet, at once.

        False when one is missing before the next: that one and those behind it are not written.
        ``has_beginning`` then tells whether it is the first one that is missing.
        """
        taken: list[bytes] = []
        whole = self._begins_well(attempt, events) and self._take_new(events, taken)
        if taken:
            self._begin(attempt)
            self._exchange.write(b"".join(taken))
        return whole

    def _take_new(self, events: list[Event], taken: list[bytes]) -> bool:
        for event in events:
            number = event.number
            spoilt_before = self._has_unnumbered and number is not None
            if spoilt_before or leaves_hole(event, self.last_event):
                return False
            if number is None:
                self._has_unnumbered = self._has_unnumbered or bool(event.data)
            else:
                if self.last_event is not None and number <= self.last_event:
                    continue
                self.last_event = number
            taken.append(event.raw)
        return True

    @property
    def has_beginning(self) -> bool:
        """Tell whether the client has the first event, as far as is known."""
        return self._continues_earlier or self._beginning is not None

    def _begins_well(self, attempt: Attempt, events: list[Event]) -> bool:
        """Judge the first event of the whole stream by what other streams began with."""
        if self.has_beginning:
            return True
        first = next(filter(is_part_of_stream, events), None)
        if first is None:
            return True
        beginning = StreamBeginning(self._source_of(attempt), first.number)
        is_lost = self._beginnings.is_lost(beginning)
        self._beginnings.observe(beginning)
        if not is_lost:
            self._beginning = beginning
        return not is_lost

    def _source_of(self, attempt: Attempt) -> StreamSource:
        return StreamSource(attempt.record.service, self._route)

    def lacks_beginning(self, attempt: Attempt) -> bool:
        """Tell, at the end of a stream, whether its first events never came.

        Streams that were seen since its first event may have told so only now. One that ends
        without any event is judged here.
        """
        if self._continues_earlier:
            return False
        if self._beginning is not None:
            return self._beginnings.is_lost(self._beginning)
        empty = StreamBeginning(self._source_of(attempt), None)
        is_lost = self._beginnings.is_lost(empty)
        self._beginnings.observe(empty)
        return is_lost

    def write_body(self, attempt: Attempt) -> None:
        """Write what has been gathered of a body."""
        self._begin(attempt)
        body, attempt.body = attempt.body, []
        self._exchange.write(b"".join(body))

    def end_stream(self, attempt: Attempt) -> None:
        """End a stream as complete."""
        self._begin(attempt)
        self.end()

    def end(self) -> None:
        """End an answer as complete."""
        self.state = AnswerState.OVER
        self._exchange.end()

    def pass_on(self, attempt: Attempt) -> None:
        """Answer with a whole answer of a runner, of which nothing was written yet."""
        assert attempt.head is not None
        self._note_first()
        self.state = AnswerState.OVER
        headers = self._protocol.answer_headers(attempt.head)
        self._exchange.answer(attempt.head.status, headers, b"".join(attempt.body))

    def refuse(self, status: int, retry_after_s: float | None) -> None:
        """Answer without a body, in our own name; an answer that has begun can only be cut."""
        if self.begun:
            self.abort()
            return
        self.state = AnswerState.OVER
        self._exchange.answer(status, self._protocol.refusal_headers(retry_after_s), b"")

    def abort(self) -> None:
        """Break the answer off, so that it doesn't look complete."""
        self.state = AnswerState.OVER
        self._exchange.abort()

    def close(self) -> None:
        """Write no more: the client has left."""
        self.state = AnswerState.OVER

    def _begin(self, attempt: Attempt) -> None:
        if self.state != AnswerState.NOTHING_SENT:
            return
        assert attempt.head is not None
        self.state = AnswerState.BEGUN
        self._begun_by = attempt
        self._note_first()
        headers = self._protocol.answer_headers(attempt.head)
        if attempt.head.framing != Framing.LENGTH or attempt.is_stream:
            headers = tuple(each for each in headers if each[0].lower() != CONTENT_LENGTH)
        self._exchange.begin(attempt.head.status, headers)

    def _note_first(self) -> None:
        self.first_s = self._clock.seconds() - self._exchange.request.received_s
