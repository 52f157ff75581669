"""Ends a client's stream whose run has ended: as complete, as flawed, or after a delay.

A stream whose beginning is not confirmed yet has its end held by ``held_end``.
"""

from collections.abc import Callable

from rainsail.relay.attempt import Attempt
from rainsail.relay.client_answer import ClientAnswer
from rainsail.relay.context import RelayContext
from rainsail.relay.held_end import HeldEnd, max_end_hold_s
from rainsail.relay.recorder import RequestRecorder
from rainsail.relay.sender import RequestSender


class StreamEnding:
    """Ends the stream of one request.

    ``complete`` is called once the stream may be told as complete, ``flawed`` with the reason why
    it may not.
    """

    def __init__(
        self,
        context: RelayContext,
        answer: ClientAnswer,
        recorder: RequestRecorder,
        sender: RequestSender,
        complete: Callable[[Attempt], None],
        flawed: Callable[[Attempt, str], None],
    ) -> None:
        self._context = context
        self._answer = answer
        self._recorder = recorder
        self._sender = sender
        self._complete = complete
        self._flawed = flawed
        self._held_end: HeldEnd | None = None
        self._held: Attempt | None = None
        """The run whose end is held."""

    def run_ended(self, attempt: Attempt, time_left_s: float, was_checked: bool) -> None:
        """End a stream all of whose events were written, ``time_left_s`` before its deadline.

        ``was_checked``: other runs were asked about its end, so that it took longer than its slot
        was held.
        """
        if not was_checked:
            self._recorder.streamed(self._sender.service, self._answer.first_s)
        unconfirmed = self._answer.unconfirmed
        since_last_event_s = self._context.clock.seconds() - self._answer.last_sent_s
        left_s = time_left_s - self._context.settings.min_time_left_s
        max_hold_s = max_end_hold_s(self._sender.route, since_last_event_s, left_s)
        if unconfirmed is None:
            self._complete(attempt)
        elif max_hold_s > 0:
            self._sender.stop_timeout()
            self._sender.attempt = None
            self._recorder.end_held(attempt, max_hold_s)
            self._held = attempt
            context = self._context
            self._held_end = HeldEnd(
                context.clock,
                context.beginnings,
                unconfirmed,
                max_hold_s,
                lambda: self._end_unconfirmed(attempt),
            )
        else:
            self._end_unconfirmed(attempt)

    def release(self) -> None:
        """End a stream whose end is held, as far as its beginning is known by now."""
        held = self._held
        self.cancel()
        if held is not None:
            self._end_unconfirmed(held)

    def _end_unconfirmed(self, attempt: Attempt) -> None:
        """End a stream whose end can't be held, or no longer, as complete or as flawed."""
        self._held = None
        flaw = self._answer.check_held_end(attempt)
        if flaw is None:
            self._complete(attempt)
        else:
            self._flawed(attempt, flaw)

    def cancel(self) -> None:
        """Stop waiting: the request is over."""
        self._held = None
        if self._held_end is not None:
            self._held_end.cancel()
