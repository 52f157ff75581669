"""Has the end of a client's stream confirmed by another run, where the stream may be resumed.

``end_confirmation`` judges the ends. All events have been sent meanwhile; only the terminator is
held, as long as a client waits for it (``held_end``). An end that nobody could confirm by then
stands if its run had sent the last event. Without such an end the stream goes on like any that has
broken off.
"""

from collections.abc import Callable
from dataclasses import replace

from rainsail.http.client import Framing
from rainsail.relay.attempt import Attempt
from rainsail.relay.client_answer import ClientAnswer
from rainsail.relay.context import RelayContext
from rainsail.relay.continuation import MORE_EVENTS, SendAgain
from rainsail.relay.end_confirmation import (
    EndConfirmation,
    EndedRun,
    EndVerdict,
    shows_next_event,
)
from rainsail.relay.events import Event
from rainsail.relay.held_end import max_end_hold_s
from rainsail.relay.recorder import RequestRecorder
from rainsail.relay.sender import RequestSender
from rainsail.runtime.clock import Timer


class EndCheck:
    """Checks the end of one request's stream.

    ``timed_out`` is called when an end that stands alone can be held no longer.
    """

    def __init__(
        self,
        context: RelayContext,
        answer: ClientAnswer,
        recorder: RequestRecorder,
        sender: RequestSender,
        timed_out: Callable[[], None],
    ) -> None:
        self._context = context
        self._answer = answer
        self._recorder = recorder
        self._sender = sender
        self._timed_out = timed_out
        self._confirmation = EndConfirmation()
        self._stated: list[Attempt] = []
        """The runs whose ends are to be confirmed."""
        self._standing: Attempt | None = None
        """The run whose end completes the stream if no other run can tell."""
        self._timer: Timer | None = None
        self.has_asked = False
        """Another run was to be asked about an end."""

    @property
    def stands_alone(self) -> bool:
        """Tell whether the stream is complete if no other run can be asked."""
        return self._standing is not None

    def resume(self, how: SendAgain) -> SendAgain:
        """Choose the event after which the next run is asked to resume."""
        after_event = self._confirmation.resume_after(how.after_event)
        return replace(how, after_event=after_event)

    def may_include(self, attempt: Attempt) -> bool:
        """Tell whether an answer can confirm the end that is being checked, or go on behind it."""
        return attempt.is_stream or not self._stated

    # --- what runs bring -----------------------------------------------------------------

    def flaw_of(self, attempt: Attempt, events: list[Event]) -> str | None:
        """Check events before they are written; return the reason if they may not be used.

        A run that was asked to repeat the last event only confirms the end.
        """
        last_event = self._answer.last_event
        if last_event is None:
            return None
        new = [each.number for each in events if each.number is not None]
        new = [number for number in new if number > last_event]
        if not new:
            return None
        is_control = attempt.after_event is not None and attempt.after_event < last_event
        if is_control and self._stated:
            self._more_follow(last_event)
            return MORE_EVENTS
        if new[0] > last_event + 1:
            self._more_follow(last_event)
        return None

    def events_written(self) -> None:
        """Refute the earlier ends behind which the client has got more events."""
        last_event = self._answer.last_event
        if last_event is not None and self._stated:
            self._confirmation.received(last_event)
            if not self._confirmation.has_statements:
                self._refute(last_event)

    def broke_off(self, attempt: Attempt) -> None:
        """Take an answer that broke off: a part of an event shows that one follows."""
        last_event = self._answer.last_event
        if last_event is not None and shows_next_event(
            attempt.partial, attempt.last_number, attempt.after_event, last_event
        ):
            self._more_follow(last_event)

    def _more_follow(self, last_event: int) -> None:
        self._confirmation.more_follow(last_event)
        self._refute(last_event)

    def _refute(self, last_event: int) -> None:
        stated, self._stated = self._stated, []
        self.cancel()
        for attempt in stated:
            self._recorder.end_refuted(attempt, last_event)

    # --- the end of a run ----------------------------------------------------------------

    def run_ended(self, attempt: Attempt) -> EndVerdict:
        """Judge the end of a run, all of whose events were written."""
        assert attempt.head is not None
        last_event = self._answer.last_event
        is_framed = attempt.head.framing != Framing.CLOSE
        ended = EndedRun(attempt.record.runner, attempt.after_event, attempt.last_number, is_framed)
        verdict = self._confirmation.run_ended(ended, last_event)
        if verdict == EndVerdict.WRONG:
            self._recorder.end_refuted(attempt, last_event)
        elif verdict == EndVerdict.ASK:
            self._stated.append(attempt)
            if self._standing is None and self._confirmation.stands_alone:
                self._standing = attempt
        elif self._stated:
            self._accept(attempt)
        return verdict

    def _accept(self, confirmed_by: Attempt) -> None:
        stated, self._stated = self._stated, []
        self.cancel()
        for attempt in stated:
            self._recorder.answered(attempt)
        runners = ",".join(each.record.runner for each in (*stated, confirmed_by))
        self._recorder.end_accepted(self._answer.last_event, runners, is_confirmed=True)

    def hold(self, time_left_s: float) -> bool:
        """Hold the end while another run is asked; return False if a client won't wait for that.

        ``time_left_s`` is the time until the request's deadline. An end that does not stand alone
        holds nothing up.
        """
        self.has_asked = True
        if self._standing is None or self._timer is not None:
            return True
        context, route = self._context, self._sender.route
        since_last_event_s = context.clock.seconds() - self._answer.last_sent_s
        left_s = time_left_s - context.settings.min_time_left_s
        max_hold_s = max_end_hold_s(route, since_last_event_s, left_s)
        if max_hold_s <= 0:
            return False
        self._timer = context.clock.callLater(max_hold_s, self._timed_out)
        return True

    def take_standing(self) -> Attempt | None:
        """Return the run whose end stands although no other run confirms it, if there is one."""
        standing = self._standing
        self.cancel()
        if standing is not None:
            self._stated.clear()
            runners = standing.record.runner
            self._recorder.end_accepted(self._answer.last_event, runners, is_confirmed=False)
        return standing

    def cancel(self) -> None:
        """Stop the timer: the request is over, or its stream goes on."""
        self._standing = None
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()
