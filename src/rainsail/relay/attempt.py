"""One attempt: a relayed request sent to one runner."""

from typing import Protocol

from rainsail.budget.runner_answer import UNCOUNTED_BYTES, RunnerAnswer
from rainsail.cluster.messages import RunnerRecord
from rainsail.http.client import CONNECTION_ENDS, AnswerHead
from rainsail.http.pool import Call
from rainsail.quarantine.run_times import RunTimes
from rainsail.relay.context import RelayContext
from rainsail.relay.continuation import (
    CLOSED_BEFORE_BODY,
    CLOSED_EARLY,
    CUT_BY_LENGTH,
    FOREIGN_ANSWER,
    NO_ROOM,
    OVERLONG_EVENT,
    AttemptEnd,
    HeadKind,
    judge_body,
    judge_head,
    may_end_body,
)
from rainsail.relay.events import Event, EventStream
from rainsail.relay.protocol import AnswerVerdict

ENDED = "ended"
"""The logged end of an attempt whose answer has come to the end that its framing states."""
MAX_PARTIAL_BYTES = 256
"""So much of an event that broke off is kept to read its number."""


class AttemptOwner(Protocol):
    """Receives the callbacks of an attempt; one of the last five ends it.

    The owner may cancel the attempt in any of them.
    """

    def head_received(self, attempt: "Attempt") -> None:
        """The head of the runner's answer has arrived: a stream or another body follows."""
        ...

    def events_received(self, attempt: "Attempt", events: list[Event]) -> None:
        """Complete events of a stream have arrived."""
        ...

    def body_received(self, attempt: "Attempt") -> None:
        """More of an answer that is not a stream has been buffered."""
        ...

    def stream_ended(self, attempt: "Attempt") -> None:
        """The stream has ended without an error."""
        ...

    def answer_received(self, attempt: "Attempt") -> None:
        """A complete answer that is not a stream has been buffered."""
        ...

    def runner_refused(self, attempt: "Attempt") -> None:
        """The runner has not run the request and will not."""
        ...

    def runner_unreachable(self, attempt: "Attempt", reason: str) -> None:
        """No connection could be opened, so the request was not sent."""
        ...

    def answer_interrupted(self, attempt: "Attempt", reason: str) -> None:
        """The answer was interrupted or invalid; the request may have run."""
        ...


class Attempt:
    """Implements ``rainsail.http.pool.UnsentListener``."""

    def __init__(
        self,
        owner: AttemptOwner,
        context: RelayContext,
        record: RunnerRecord,
        request: str,
        idle_timeout_s: float,
    ) -> None:
        self.record = record
        self.head: AnswerHead | None = None
        self.verdict: AnswerVerdict | None = None
        self.body = bytearray()
        """What has been buffered of an answer that is not a stream."""
        self.body_bytes = 0
        """The size of what has arrived of that answer."""
        self.has_room = True
        """Whether there is room to buffer more of that answer."""
        self._held: RunnerAnswer | None = None
        """Counts what is held of the answer, once that is worth counting."""
        self.stream: EventStream | None = None
        self.call: Call | None = None
        self.version = context.registry.version_at_start(record)
        """The software version of the runner's process, as far as it is known."""
        self.deadline_left_s: float | None = None
        """The time that the runner was told is left for the request, if the client states one."""
        self.after_event: int | None = None
        """The event that the runner was asked to resume after, if any."""
        self.last_number: int | None = None
        """The number of the last event that this run has sent."""
        self.partial = b""
        """The received part of an event within which the answer broke off."""
        self.connection_ended = False
        """The answer was interrupted by the end of the connection, as when a runner crashes."""
        self.event_count = 0
        """How many events of a stream have arrived, comments included."""
        self.end_reason = ""
        """How the attempt ended, for the log; empty while it is under way or if it was cancelled.
        """
        self._owner = owner
        self._context = context
        self._request = request
        self._over = False
        self._is_paused = False
        self.times = RunTimes(context.clock.seconds())
        context.loads.sent(record.runner, self.times.sent_s, idle_timeout_s)

    @property
    def failed(self) -> bool:
        """Tell whether the runner answered with an error status."""
        if self.head is None or self.verdict is None:
            return False
        return judge_body(self.head.status, self.verdict) != AttemptEnd.ANSWERED

    @property
    def body_end(self) -> AttemptEnd:
        """The result of the attempt once its answer, which is not a stream, is complete."""
        assert self.head is not None and self.verdict is not None
        return judge_body(self.head.status, self.verdict)

    @property
    def is_stream(self) -> bool:
        """Tell whether the runner answers with a stream of events."""
        return self.stream is not None

    @property
    def proves_survival(self) -> bool:
        """Tell whether the complete answer proves that the runner survived the request.

        The pool reports the end of an unframed answer only if the runner's process survived it.
        """
        return self.head is not None and not self.failed

    @property
    def summary(self) -> str:
        """Return the answer's status and framing for the log; ``none`` before its head."""
        return "none" if self.head is None else f"{self.head.status} {self.head.framing}"

    # --- UnsentListener ------------------------------------------------------------------

    def answer_begun(self, head: AnswerHead) -> None:
        """Classify the answer by its head."""
        context = self._context
        self.head = head
        context.loads.received(self.record.runner, context.clock.seconds())
        self.verdict = verdict = context.protocol.judge(head, self._request)
        if verdict.load is not None and verdict.belongs:
            context.loads.take_report(self.record.runner, verdict.load, context.clock.seconds())
        kind = judge_head(head, verdict)
        if kind == HeadKind.FOREIGN:
            self._fail(FOREIGN_ANSWER)
        elif kind == HeadKind.NOT_RUN:
            if self._end():
                self._owner.runner_refused(self)
        else:
            if kind == HeadKind.EVENTS:
                self.stream = EventStream(head.framing)
            self._owner.head_received(self)

    def answer_data(self, data: bytes) -> None:
        """Buffer the body, or pass complete events on."""
        if self._over:
            return
        now = self._context.clock.seconds()
        self._context.loads.received(self.record.runner, now)
        self.times.output(now)
        if self.stream is not None:
            self._take_events(self.stream, data)
            return
        self.body += data
        self.body_bytes += len(data)
        self.has_room = self._hold(len(self.body))
        if self._over:
            return
        self._owner.body_received(self)

    def _take_events(self, stream: EventStream, data: bytes) -> None:
        events = stream.feed(data)
        self._count(events)
        has_room = self._hold(stream.pending_bytes)
        if events and not self._over:
            self._owner.events_received(self, events)
        if stream.is_overlong:
            self._fail(OVERLONG_EVENT)
        elif not has_room:
            self._fail(NO_ROOM)

    def _count(self, events: list[Event]) -> None:
        self.event_count += len(events)
        for event in events:
            if event.number is not None:
                self.last_number = event.number

    def _hold(self, amount: int) -> bool:
        """Count what is held of the answer; return False if there is no room for it."""
        if self._held is None:
            if amount <= UNCOUNTED_BYTES:
                return True
            self._held = RunnerAnswer(self._context.budget, self._give_way, self.is_stream)
            self._held.is_paused = self._is_paused
        return self._held.hold(amount)

    def _give_way(self) -> None:
        self._fail(NO_ROOM)

    def answer_ended(self) -> None:
        """The answer has ended without an error, which a truncated one may do too."""
        if not self._end():
            return
        assert self.head is not None
        self.end_reason = ENDED
        if self.stream is None:
            if may_end_body(self.head, self.body_bytes):
                self._owner.answer_received(self)
            else:
                self._closed_early(CLOSED_BEFORE_BODY)
        elif self.stream.is_cut_by_length:
            self.end_reason = CUT_BY_LENGTH
            self._owner.answer_interrupted(self, CUT_BY_LENGTH)
        elif self.stream.may_end_here or self._has_nothing_to_resume:
            self._owner.stream_ended(self)
        else:
            self.partial = self.stream.rest[:MAX_PARTIAL_BYTES]
            self._closed_early(CLOSED_EARLY)

    @property
    def _has_nothing_to_resume(self) -> bool:
        """Tell whether the runner was asked to resume a stream and has ended without an event."""
        assert self.stream is not None
        return self.after_event is not None and self.stream.is_empty

    def _closed_early(self, reason: str) -> None:
        self.connection_ended = True
        self.end_reason = reason
        self._owner.answer_interrupted(self, reason)

    def answer_failed(self, reason: str) -> None:
        """The answer was interrupted."""
        self.connection_ended = reason in CONNECTION_ENDS
        self._fail(reason)

    def request_unsent(self, reason: str) -> None:
        """No connection could be opened; nothing was sent."""
        if self._end():
            self.end_reason = reason
            self._owner.runner_unreachable(self, reason)

    # --- called by the owner -------------------------------------------------------------

    def take_last_events(self) -> list[Event]:
        """Take the event that a framed end completes without a blank line, if there is one."""
        assert self.stream is not None
        events = self.stream.last_events()
        for event in events:
            self.last_number = self.last_number if event.number is None else event.number
        return events

    def take_body(self) -> bytes:
        """Take what has been buffered of an answer that is not a stream."""
        body, self.body = bytes(self.body), bytearray()
        self._hold(0)
        return body

    def set_paused(self, is_paused: bool) -> None:
        """Pause or continue the reading of the answer; a paused runner does not count as silent."""
        if self._over or self.call is None or is_paused == self._is_paused:
            return
        self._is_paused = is_paused
        if self._held is not None:
            self._held.is_paused = is_paused
        self._context.loads.set_paused(self.record.runner, is_paused, self._context.clock.seconds())
        self.call.set_paused(is_paused)

    def cancel(self) -> None:
        """Close the connection; the owner gets no more callbacks."""
        if not self._end():
            return
        self._drop_held()
        if self.call is not None:
            self.call.cancel()

    def _fail(self, reason: str) -> None:
        if not self._end():
            return
        self.end_reason = reason
        self._drop_held()
        if self.call is not None:
            self.call.cancel()
        self._owner.answer_interrupted(self, reason)

    def _drop_held(self) -> None:
        """Drop what has been buffered: objects that refer to each other keep the attempt longer."""
        self.body = bytearray()
        if self.stream is not None:
            self.partial = self.stream.rest[:MAX_PARTIAL_BYTES]
            self.stream.drop_pending()

    def _end(self) -> bool:
        """Mark the attempt as ended; return False if it had ended already."""
        if self._over:
            return False
        self._over = True
        if self._held is not None:
            self._held.close()
        if self._is_paused:
            self._context.loads.set_paused(self.record.runner, False, self._context.clock.seconds())
        self._context.loads.ended(self.record.runner, self._context.clock.seconds())
        return True
