"""Writes a client's answer, which may be assembled from the streams of several runners.

Tracks how much of the answer has been sent. Relies on the HTTP server's exchange to send it.
"""

from collections.abc import Callable
from enum import StrEnum

from rainsail.http.client import Framing
from rainsail.http.exchange import Exchange
from rainsail.http.headers import HeaderFields
from rainsail.relay.attempt import Attempt
from rainsail.relay.continuation import (
    LOST_BEGINNING,
    MISSING_EVENT,
    UNCONFIRMED_BEGINNING,
    ClientHas,
)
from rainsail.relay.events import Event, first_event, is_part_of_stream, leaves_gap
from rainsail.relay.protocol import RelayProtocol
from rainsail.relay.stream_beginnings import (
    FirstEvent,
    StreamBeginning,
    StreamBeginnings,
    StreamSource,
)
from rainsail.runtime.clock import Clock

CONTENT_LENGTH = b"content-length"
STATUS_NO_CONTENT = 204


class AnswerState(StrEnum):
    """How far an answer has been sent."""

    NOTHING_SENT = "nothing_sent"
    BEGUN = "begun"
    OVER = "over"


class ClientAnswer:
    """Writes one answer; its head is that of the first runner whose answer was used.

    ``first_s`` is when the first byte was sent, in seconds since the request arrived.
    ``last_event`` is the number of the last event that the client has; initially it is the one that
    a resuming client states. ``last_sent_s`` is the clock time at which the last events were sent,
    initially that of the request's arrival.
    """

    def __init__(
        self,
        exchange: Exchange,
        protocol: RelayProtocol,
        clock: Clock,
        beginnings: StreamBeginnings,
        route: str,
        last_event: int | None,
        may_compare_runs: Callable[[], bool],
    ) -> None:
        """``route`` is the name of the request's route.

        ``may_compare_runs`` tells whether the current run may be dropped and repeated on another
        runner.
        """
        self._exchange = exchange
        self._protocol = protocol
        self._clock = clock
        self._beginnings = beginnings
        self._route = route
        self._may_compare_runs = may_compare_runs
        self.state = AnswerState.NOTHING_SENT
        self.first_s: float | None = None
        self.last_event = last_event
        self.last_sent_s = exchange.request.received_s
        self._begun_by: Attempt | None = None
        self._has_unnumbered = False
        """Some data without an event number has been sent."""
        self._continues_earlier = last_event is not None
        """The client resumes: it has the beginning of the stream from an earlier answer."""
        self._beginning: StreamBeginning | None = None
        """The first event sent to the client; None before that."""
        self._compared: set[FirstEvent] = set()
        """The first events of the runs that were dropped to be compared with another run."""

    @property
    def begun(self) -> bool:
        """Tell whether the answer has been sent in part."""
        return self.state == AnswerState.BEGUN

    @property
    def client_has(self) -> ClientHas:
        """What has been sent, which decides whether another runner can continue it."""
        if not self.begun or self._begun_by is None:
            return ClientHas.NOTHING
        if self._begun_by.is_stream and self.last_event is not None:
            return ClientHas.NUMBERED_EVENTS
        return ClientHas.OTHER_BYTES

    def may_include(self, attempt: Attempt) -> bool:
        """Tell whether a runner's answer can become this answer or continue it.

        Only a stream can continue a stream. The body of any other answer must not be appended, and
        its end is not the end of the client's answer.
        """
        begun_by = self._begun_by
        if begun_by is None or begun_by is attempt:
            return True
        return begun_by.is_stream and attempt.is_stream

    def write_events(self, attempt: Attempt, events: list[Event]) -> str | None:
        """Write the events that the client does not have yet, without buffering.

        Returns the reason if the run can't be used any more, otherwise None. The event that shows
        the flaw and those after it are not written.
        """
        flaw = self._check_first_event(attempt, events)
        if flaw is not None:
            return flaw
        taken: list[bytes] = []
        is_whole = self._take_new(events, taken)
        if taken:
            self._begin(attempt)
            self._exchange.write(b"".join(taken))
            self.last_sent_s = self._clock.seconds()
        return None if is_whole else MISSING_EVENT

    def _take_new(self, events: list[Event], taken: list[bytes]) -> bool:
        for event in events:
            number = event.number
            spoilt_before = self._has_unnumbered and number is not None
            if spoilt_before or leaves_gap(event, self.last_event):
                return False
            if number is None:
                self._has_unnumbered = self._has_unnumbered or bool(event.data)
            else:
                if self.last_event is not None and number <= self.last_event:
                    continue
                self.last_event = number
            taken.append(event.raw)
        return True

    def _check_first_event(self, attempt: Attempt, events: list[Event]) -> str | None:
        """Check the first event of the stream; return None if it is absent here or acceptable."""
        if self._continues_earlier or self._beginning is not None:
            return None
        first = next(filter(is_part_of_stream, events), None)
        if first is None:
            return None
        beginning = StreamBeginning(self._source_of(attempt), first_event(first))
        flaw = self._check_beginning(beginning)
        if flaw is None:
            self._beginning = beginning
        return flaw

    def _check_beginning(self, beginning: StreamBeginning) -> str | None:
        """Check a beginning against those of other streams, and record it."""
        is_lost = self._beginnings.is_lost(beginning)
        is_unusual = self._beginnings.is_unusual(beginning)
        self._beginnings.observe(beginning)
        if is_lost:
            return LOST_BEGINNING
        if is_unusual and self._beginnings.is_unusual(beginning):
            return self._compare_runs(beginning.first)
        return None

    def _compare_runs(self, first: FirstEvent) -> str | None:
        """Accept a beginning that another run of the request had too, else ask for such a run."""
        if first in self._compared or not self._may_compare_runs():
            return None
        self._compared.add(first)
        return UNCONFIRMED_BEGINNING

    def _source_of(self, attempt: Attempt) -> StreamSource:
        return StreamSource(attempt.record.service, self._route)

    def check_end(self, attempt: Attempt) -> str | None:
        """Return, at the end of a stream, why it is incomplete; None if it is complete.

        Streams observed since its first event may have shown that it lacks earlier ones. A stream
        that ends without any event is checked here for the first time.
        """
        if self._continues_earlier:
            return None
        if self._beginning is not None:
            return LOST_BEGINNING if self._beginnings.is_lost(self._beginning) else None
        beginning = StreamBeginning(self._source_of(attempt), None)
        flaw = self._check_beginning(beginning)
        if flaw is None:
            self._beginning = beginning
        return flaw

    def check_held_end(self, attempt: Attempt) -> str | None:
        """Check a stream whose end can't be held, or no longer; as ``check_end``.

        Also applies the weaker evidence of ``StreamBeginnings.is_probably_lost``.
        """
        flaw = self.check_end(attempt)
        if flaw is not None or self._beginning is None:
            return flaw
        is_lost = self._beginnings.is_probably_lost(self._beginning, self._compared)
        return LOST_BEGINNING if is_lost else None

    @property
    def unconfirmed(self) -> StreamBeginning | None:
        """The stream's beginning if it is not confirmed by other streams yet, else None.

        Streams without event numbers are never unconfirmed: a loss would not show in them.
        """
        if self._beginning is None or self._has_unnumbered:
            return None
        return self._beginning if self._beginnings.is_unusual(self._beginning) else None

    def write_body(self, attempt: Attempt) -> None:
        """Write what has been buffered of a body."""
        self._begin(attempt)
        self._exchange.write(attempt.take_body())

    def end_stream(self, attempt: Attempt) -> None:
        """End a stream as complete."""
        self._begin(attempt)
        self.end()

    def end(self) -> None:
        """End an answer as complete."""
        self.state = AnswerState.OVER
        self._exchange.end()

    def forward(self, attempt: Attempt) -> None:
        """Forward a runner's complete answer, of which nothing was written yet."""
        assert attempt.head is not None
        self._record_first_byte()
        self.state = AnswerState.OVER
        status, headers = attempt.head.status, self._protocol.answer_headers(attempt.head)
        if attempt.head.framing == Framing.HEAD:
            # A length is that of the body that is left out; only a 204 may not state one.
            fields = headers if status != STATUS_NO_CONTENT else _without_length(headers)
            self._exchange.begin(status, fields)
            self._exchange.end()
        else:
            self._exchange.answer(status, headers, attempt.take_body())

    def refuse(self, status: int, retry_after_s: float | None) -> None:
        """Answer with a status and no body; an answer that has begun is aborted instead."""
        if self.begun:
            self.abort()
            return
        self.state = AnswerState.OVER
        self._exchange.answer(status, self._protocol.refusal_headers(retry_after_s), b"")

    def abort(self) -> None:
        """Abort the answer, so that it does not look complete."""
        self.state = AnswerState.OVER
        self._exchange.abort()

    def close(self) -> None:
        """Stop writing: the client has disconnected."""
        self.state = AnswerState.OVER

    def _begin(self, attempt: Attempt) -> None:
        if self.state != AnswerState.NOTHING_SENT:
            return
        assert attempt.head is not None
        self.state = AnswerState.BEGUN
        self._begun_by = attempt
        self._record_first_byte()
        headers = self._protocol.answer_headers(attempt.head)
        if attempt.head.framing != Framing.LENGTH or attempt.is_stream:
            headers = _without_length(headers)
        self._exchange.begin(attempt.head.status, headers)

    def _record_first_byte(self) -> None:
        self.first_s = self._clock.seconds() - self._exchange.request.received_s


def _without_length(headers: HeaderFields) -> HeaderFields:
    return tuple(each for each in headers if each[0].lower() != CONTENT_LENGTH)
