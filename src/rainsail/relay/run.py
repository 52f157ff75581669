"""Runs one client's request: sends it, handles its attempts, and ends it with one answer.

``continuation`` decides what follows each attempt, ``sender`` sends, ``client_answer`` writes to
the client and ``recorder`` records what happened. This module connects them and owns the request's
deadline.
"""

from collections.abc import Callable
from typing import assert_never

from rainsail.http.exchange import Exchange
from rainsail.quarantine.guard import Fingerprints
from rainsail.relay.attempt import Attempt
from rainsail.relay.client_answer import ClientAnswer
from rainsail.relay.context import RelayContext
from rainsail.relay.continuation import (
    LOST_BEGINNING,
    MORE_EVENTS,
    SILENT,
    STOPPING,
    UNCONFIRMED_BEGINNING,
    Abort,
    AttemptEnd,
    ClientHas,
    Ending,
    Refuse,
    RequestOutcome,
    RequestProgress,
    SendAgain,
    SendTerms,
    decide_send,
    end_after_attempt,
    end_by_stop,
    forwards_answer,
    give_up,
    give_up_lost_stream,
    give_up_untried,
    give_up_without_runner,
    may_compare_runs,
    may_leave_silent_runner,
    refuse_over_quota,
    refuse_overloaded,
    time_out,
)
from rainsail.relay.end_check import EndCheck
from rainsail.relay.end_confirmation import EndVerdict
from rainsail.relay.events import Event
from rainsail.relay.protocol import RequestFacts
from rainsail.relay.recorder import RequestRecorder
from rainsail.relay.request_deadline import RequestDeadline
from rainsail.relay.request_origin import RequestOrigin
from rainsail.relay.resumption import NO_OTHER_RUNNER, UNKNOWN_ORIGIN, LostStream
from rainsail.relay.sender import RequestSender
from rainsail.relay.stream_ending import StreamEnding
from rainsail.relay.table import Route, RouteKind
from rainsail.routing.messages import Placement
from rainsail.tenancy.quota_decision import QuotaDecision
from rainsail.tenancy.tenants import ANONYMOUS, Identity

CLIENT_DISCONNECTED = "the client disconnected"
NO_RUNNER = "no runner takes the request now"
REQUEST_OVER = "the request ended before its trial was permitted"


class RelayRun:
    """Implements ``rainsail.relay.attempt.AttemptOwner``.

    ``outcome`` is how the request ended, None until then.
    """

    def __init__(
        self,
        context: RelayContext,
        exchange: Exchange,
        facts: RequestFacts,
        route: Route,
        ended: Callable[["RelayRun"], None],
        identity: Identity = ANONYMOUS,
    ) -> None:
        """``ended`` is called once, when the request is over."""
        request = exchange.request
        self.outcome: RequestOutcome | None = None
        self._context = context
        self._facts = facts
        self._identity = identity
        self._on_ended = ended
        self._answer = ClientAnswer(
            exchange,
            context.protocol,
            context.clock,
            context.beginnings,
            route.name,
            facts.after_event,
            self._may_compare_runs,
        )
        self._recorder = RequestRecorder(context, request, facts, identity)
        self._sender = RequestSender(
            context,
            request,
            facts,
            route,
            identity,
            self,
            self._response_timed_out,
            self._not_refused,
        )
        self._origin = RequestOrigin(context, facts, identity)
        self._admission: QuotaDecision | None = None
        """The quota's decision that admitted the request; None before."""
        self._is_trial = False
        """The request may run although it was held before."""
        self._permits: dict[Fingerprints, bool] = {}
        """The permits for trials that it got, and whether a runner may have got it by them."""
        self._was_sent_before = False
        """A runner may have got the request by a permit before the last attempt."""
        self._may_have_run = False
        self._started_s = context.clock.seconds()
        self._deadline = RequestDeadline(context.clock, request, facts, route)
        self._stream_ending = StreamEnding(
            context,
            self._answer,
            self._recorder,
            self._sender,
            self._complete_stream,
            self._drop_flawed,
        )
        self._end_check = EndCheck(
            context, self._answer, self._recorder, self._sender, self._complete_standing
        )
        exchange.on_disconnect(self._client_disconnected)
        exchange.on_slow_client(self._sender.set_paused)

    @property
    def kind(self) -> RouteKind:
        """The kind of the request's route, which decides what may be repeated."""
        return self._sender.route.kind

    @property
    def route(self) -> str:
        """The name of the request's route."""
        return self._sender.route.name

    @property
    def attempts_counted(self) -> int:
        """The number of attempts that reached the intended runner."""
        return self._sender.attempts_counted

    @property
    def request(self) -> str:
        """The id that the client gave to the request."""
        return self._facts.request

    @property
    def is_refused_by_stop(self) -> bool:
        """Tell whether the request was not sent, since it would have outlasted a planned stop."""
        return self.outcome == RequestOutcome.REFUSED and self._recorder.reason == STOPPING

    @property
    def took_s(self) -> float:
        """The seconds since the request was complete here."""
        return self._context.clock.seconds() - self._started_s

    @property
    def first_s(self) -> float | None:
        """When the first byte of the answer was sent, in seconds since the request arrived."""
        return self._answer.first_s

    # --- start and end -------------------------------------------------------------------

    def start(self) -> None:
        """Start the deadline timer, and send the request once the tenant's quota admits it."""
        self._deadline.start(self._deadline_passed)
        self._context.admit(self._identity, self._quota_decided)

    def _quota_decided(self, decision: QuotaDecision) -> None:
        """Send the request, or refuse it with the time to wait for the quota."""
        if self.outcome is not None:
            if decision.is_admitted:
                self._context.give_back(self._identity, decision)
            return
        if decision.is_admitted:
            self._admission = decision
            self._find_origin()
        else:
            self._end(refuse_over_quota(self._identity.tenant, decision.wait_s))

    def _client_disconnected(self) -> None:
        self._recorder.reason = CLIENT_DISCONNECTED
        self._answer.close()
        self._finish(RequestOutcome.LEFT)

    def _deadline_passed(self) -> None:
        if self.outcome is None:
            is_sent = self._sender.is_sent
            ending = time_out(self._progress(), is_sent, self._context.settings)
            self._end_unless_standing(ending)

    def end_by_stop(self) -> None:
        """End the request with a complete answer, or an aborted one: the gateway stops."""
        self._stream_ending.release()
        if self.outcome is None:
            self._end_unless_standing(end_by_stop(self._progress(), self._sender.is_sent))
            # An end that stood may be held again, until its stream's beginning is known.
            self._stream_ending.release()
        if self.outcome is None:
            self._end(end_by_stop(self._progress(), self._sender.is_sent))

    def _end(self, ending: Ending) -> None:
        """Carry out the decided end of the request."""
        self._recorder.reason = ending.reason
        match ending:
            case Abort():
                self._answer.abort()
            case Refuse(status, retry_after_s):
                self._sender.cancel()
                self._answer.refuse(status, retry_after_s)
            case _:
                assert_never(ending)
        self._finish(ending.outcome)

    def _finish(self, outcome: RequestOutcome) -> None:
        if self.outcome is not None:
            return
        self.outcome = outcome
        self._sender.stop_timeout()
        self._stream_ending.cancel()
        self._end_check.cancel()
        self._deadline.cancel()
        self._sender.cancel()
        self._end_trials()
        self._refund_if_not_run(outcome)
        self._recorder.log_end(outcome, self._sender, self._answer)
        self._sender.drop_body()
        self._on_ended(self)

    def _end_trials(self) -> None:
        """Tell what became of the permits for trials, and forget them."""
        permits, self._permits = self._permits, {}
        for unproven, has_run in permits.items():
            self._context.guard.trial_ended(unproven, has_run)

    def _refund_if_not_run(self, outcome: RequestOutcome) -> None:
        """Refund the tenant's quota for a request that has certainly not run."""
        never_sent = not self._sender.attempts_counted and not self._may_have_run
        if self._admission is not None and (outcome == RequestOutcome.REFUSED or never_sent):
            self._context.give_back(self._identity, self._admission)

    # --- deciding and sending ------------------------------------------------------------

    def _find_origin(self) -> None:
        """Find where a resumed stream began, then send the request."""
        if self._origin.is_resumed and self.kind == RouteKind.STREAM:
            self._origin.find(self._sender.route, self._origin_decided)
        else:
            self._try_next()

    def _origin_decided(self, lost: LostStream | None) -> None:
        if self.outcome is not None:
            return
        if lost is None:
            self._sender.continue_at(self._origin.origin)
            self._try_next()
            return
        settings = self._context.settings
        retry_after_s = None if lost.is_certain else settings.no_runner_retry_after_s
        self._end_lost_stream(lost.reason, retry_after_s)

    def _end_lost_stream(self, reason: str, retry_after_s: float | None) -> None:
        settings = self._context.settings
        self._end_untaken(give_up_lost_stream(self._progress(), reason, retry_after_s, settings))

    def _end_untaken(self, ending: Ending) -> None:
        """End a request that no other runner gets, unless a silent one may still answer it."""
        if self._sender.silent is None:
            self._end_unless_standing(ending)
        else:
            self._return_to_silent()

    def _return_to_silent(self) -> None:
        assert self._sender.silent is not None
        self._recorder.returned(self._sender.silent)
        self._sender.return_to_silent()

    def _try_next(self) -> None:
        """Ask for the next attempt's placement if it is allowed, else end the request."""
        if self.outcome is not None:
            return
        if not self._origin.is_confirmed():
            if self._sender.silent is None:
                self._origin.withdraw()
            self._end_lost_stream(UNKNOWN_ORIGIN, None)
            return
        decision = decide_send(self._progress(), self._terms(), self._context.settings)
        if isinstance(decision, SendAgain):
            self._sender.ask_placement(decision.route, self._send_placed)
        else:
            self._end_untaken(decision)

    def _send_placed(self, placement: Placement | None) -> None:
        """Send to a runner, after deciding again: the terms may have changed meanwhile.

        A silent runner may have gone on as well.
        """
        if self.outcome is not None or self._sender.attempt is not None:
            return
        settings = self._context.settings
        self._record_service()
        decision = decide_send(self._progress(), self._terms(), settings)
        if not isinstance(decision, SendAgain):
            self._end_untaken(decision)
            return
        found = self._sender.find(decision.route, placement, self._deadline.left_s)
        unproven = self._recorder.unproven_fingerprints()
        if unproven:
            found = self._sender.suit_trial(found)
        if unproven and found.record is None and self._is_trial:
            self._recorder.trial_unused(unproven, NO_RUNNER)
        if found.retry_after_s is not None:
            self._end_untaken(refuse_overloaded(self._sender.service, found.retry_after_s))
        elif found.record is None and self._origin.origin is not None:
            retry_after_s = None if self._sender.is_origin_gone() else settings.retry_after_s
            self._end_lost_stream(NO_OTHER_RUNNER, retry_after_s)
        elif found.record is None:
            no_runner_reason = self._sender.no_runner_reason()
            ending = give_up_without_runner(self._progress(), no_runner_reason, settings)
            self._end_untaken(ending)
        elif unproven and not self._is_trial:
            # Only with a runner at hand: the permit is lost for others if it is not used.
            self._context.guard.request_trial(
                unproven, lambda may_run: self._trial_decided(may_run, unproven, placement)
            )
        else:
            self._record_service()
            if unproven:
                self._recorder.trial_sent(found.record, unproven)
                self._was_sent_before = any(self._permits.values())
                self._permits = dict.fromkeys(self._permits, True)
            self._sender.send(found.record, self._end_check.resume(decision))

    def _trial_decided(
        self, may_run: bool, unproven: Fingerprints, placement: Placement | None
    ) -> None:
        """Send a request that was held as a trial, or end it while another one is tried."""
        if self.outcome is not None or self._sender.attempt is not None:
            if may_run:
                self._recorder.trial_unused(unproven, REQUEST_OVER)
                self._context.guard.trial_ended(unproven, has_run=False)
            return
        if may_run:
            self._is_trial = True
            self._permits[unproven] = False
            self._send_placed(placement)
        else:
            self._end_untaken(give_up_untried(self._progress(), self._context.settings))

    def _record_service(self) -> None:
        """Tell the recorder which service was chosen for the request."""
        self._recorder.service = self._sender.service
        self._recorder.split_service = self._sender.route.split_service(self._sender.service)

    def _progress(self) -> RequestProgress:
        return RequestProgress(
            self._sender.attempts_counted,
            self._may_have_run,
            bool(self._sender.tried),
            self._answer.client_has,
            self._answer.last_event,
            self._recorder.reason,
        )

    def _terms(self) -> SendTerms:
        """Return the current constraints: quarantine and routing table may have changed."""
        route, left_s = self._current_route(), self._deadline.left_s
        stop = self._context.stop
        ends_in_time = route is None or stop.leaves_time(route, left_s)
        is_quarantined = self._recorder.is_quarantined()
        return SendTerms(route, is_quarantined, left_s, ends_in_time, stop.retry_after_s)

    def _current_route(self) -> Route | None:
        table = self._context.table
        return None if table is None else table.match(self._facts.host, self._facts.path)

    def _continue_after(self, end: AttemptEnd) -> None:
        """Retry or end the request after an attempt whose answer is not forwarded."""
        self._sender.attempt = None
        self._may_have_run = self._may_have_run or end != AttemptEnd.NOT_RUN
        if self._sender.silent is not None:
            self._return_to_silent()
            return
        sent_by, settings = self._sender.route, self._context.settings
        ending = end_after_attempt(end, sent_by, self._progress(), settings)
        if ending is None:
            self._try_next()
        else:
            self._end_unless_standing(ending)

    # --- AttemptOwner: answers -----------------------------------------------------------

    def _is_current(self, attempt: Attempt) -> bool:
        """Return whether an attempt is the current one; a silent one that sends again becomes it.

        A failure of a silent one does not: the other runner that is tried may still answer.
        """
        if attempt is not self._sender.silent:
            return True
        if attempt.failed:
            return False
        self._return_to_silent()
        return True

    def head_received(self, attempt: Attempt) -> None:
        """Drop an answer that can't continue the one that the client has received in part.

        It is dropped at its head: the end of an error's body, for example, would look like the end
        of the stream.
        """
        if not self._is_current(attempt):
            return
        if not self._answer.may_include(attempt) or not self._end_check.may_include(attempt):
            attempt.cancel()
            self._drop_answer(attempt, AttemptEnd.UNUSABLE)
        elif not attempt.failed:
            self._leave_silent()

    def events_received(self, attempt: Attempt, events: list[Event]) -> None:
        """Write complete events to the client without buffering."""
        if self.outcome is not None or not self._is_current(attempt):
            return
        flaw = self._write_events(attempt, events)
        if flaw is None:
            self._sender.events_received()
            if self._recorder.goes_on(attempt):
                self._end_trials()
        else:
            attempt.cancel()
            self._drop_flawed(attempt, flaw)

    def _write_events(self, attempt: Attempt, events: list[Event]) -> str | None:
        """Write the new events; return the reason if the run can't be used any more."""
        flaw = self._end_check.flaw_of(attempt, events)
        if flaw is None:
            flaw = self._answer.write_events(attempt, events)
            self._end_check.events_written()
            self._note_origin(attempt)
        return flaw

    def _note_origin(self, attempt: Attempt) -> None:
        """Bind a stream that can be resumed to the software that sent its first event."""
        if self._answer.client_has == ClientHas.NUMBERED_EVENTS and self._sender.route.resumable:
            self._origin.events_sent(attempt, self._sender.route)
            self._sender.continue_at(self._origin.origin)

    def body_received(self, attempt: Attempt) -> None:
        """Forward a large answer, or one without room, before its end.

        A failure that is not forwarded is dropped instead.
        """
        if not self._is_current(attempt):
            return
        if attempt.body_bytes < self._context.settings.buffered_bytes and attempt.has_room:
            return
        if self._forwards_answer(attempt):
            self._answer.write_body(attempt)
        else:
            attempt.cancel()
            self._drop_answer(attempt, attempt.body_end)

    def stream_ended(self, attempt: Attempt) -> None:
        """Write the last event, then end the answer, check or hold its end, or drop the run."""
        assert attempt.stream is not None
        if not self._is_current(attempt):
            self._silent_failed(attempt)
            return
        flaw = self._write_events(attempt, attempt.take_last_events())
        flaw = flaw or self._answer.check_end(attempt)
        if flaw is not None:
            self._drop_flawed(attempt, flaw)
            return
        verdict = self._end_check.run_ended(attempt)
        if verdict == EndVerdict.ASK:
            self._ask_about_end(attempt)
        elif verdict == EndVerdict.WRONG:
            self._continue_after(AttemptEnd.BROKEN)
        else:
            self._end_stream(attempt)

    def _ask_about_end(self, attempt: Attempt) -> None:
        """Ask another run whether the stream ends here, as far as one is allowed."""
        stands_alone = self._end_check.stands_alone
        if not stands_alone and not self._sender.other_runner_left():
            # The run before has sent nothing; the next one has to repeat an event.
            self._sender.allow_again(attempt.record)
        if self._may_compare_runs() and self._end_check.hold(self._deadline.left_s):
            self._recorder.end_unconfirmed(attempt, self._answer.last_event)
            self._continue_after(AttemptEnd.BROKEN)
        elif stands_alone:
            self._complete_standing()
        elif self._answer.begun or self._sender.route.max_attempts > 1:
            self._recorder.end_unconfirmed(attempt, self._answer.last_event)
            self._continue_after(AttemptEnd.BROKEN)
        else:
            # No request of the client that resumes could be checked either.
            self._end_stream(attempt)

    def _end_stream(self, attempt: Attempt) -> None:
        was_checked = self._end_check.has_asked
        self._stream_ending.run_ended(attempt, self._deadline.left_s, was_checked)

    def _complete_standing(self) -> None:
        """Complete a stream whose end no other run has confirmed in time."""
        standing = self._end_check.take_standing()
        if standing is not None:
            self._sender.cancel()
            self._end_stream(standing)

    def _end_unless_standing(self, ending: Ending) -> None:
        """End a request that no other runner gets, unless its stream has ended by itself."""
        if self._end_check.stands_alone:
            self._complete_standing()
        else:
            self._end(ending)

    def _complete_stream(self, attempt: Attempt) -> None:
        self._recorder.answered(attempt)
        self._sender.attempt = None
        self._answer.end_stream(attempt)
        self._origin.completed()
        self._finish(RequestOutcome.COMPLETED)

    def _may_compare_runs(self) -> bool:
        return may_compare_runs(
            self._progress(),
            self._sender.route,
            self._terms(),
            self._sender.other_runner_left(),
            self._context.settings,
        )

    def _drop_flawed(self, attempt: Attempt, flaw: str) -> None:
        """Retry on another runner, or abort a stream that was sent without its beginning."""
        if flaw == UNCONFIRMED_BEGINNING:
            self._recorder.dropped_unconfirmed(attempt)
            self._continue_after(AttemptEnd.BROKEN)
        elif flaw == MORE_EVENTS:
            self._continue_after(AttemptEnd.BROKEN)
        elif flaw == LOST_BEGINNING and self._answer.client_has != ClientHas.NOTHING:
            self._recorder.interrupted(attempt, flaw, self._answer.last_event)
            self._sender.attempt = None
            self._end(give_up(self._progress(), self._context.settings))
        else:
            self.answer_interrupted(attempt, flaw)

    def answer_received(self, attempt: Attempt) -> None:
        """Forward a complete answer, or retry if its status calls for that."""
        if not self._is_current(attempt):
            self._silent_failed(attempt)
            return
        if not self._forwards_answer(attempt):
            self._drop_answer(attempt, attempt.body_end)
            return
        self._sender.attempt = None
        if attempt.failed:
            self._recorder.failed(attempt)
        else:
            self._recorder.answered(attempt)
        if self._answer.begun:
            self._answer.write_body(attempt)
            self._answer.end()
        else:
            self._answer.forward(attempt)
        self._finish(RequestOutcome.FAILED if attempt.failed else RequestOutcome.COMPLETED)

    def _forwards_answer(self, attempt: Attempt) -> bool:
        return forwards_answer(attempt.body_end, self._sender.route, self._answer.client_has)

    def _silent_failed(self, attempt: Attempt) -> None:
        """Forget a silent runner that has answered with a failure: another one is tried."""
        self._sender.take_silent()
        attempt.body.clear()
        self._recorder.failed(attempt)

    def _drop_answer(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Drop an answer that is not forwarded; the request may have run."""
        attempt.body.clear()
        self._recorder.failed(attempt)
        self._continue_after(end)

    # --- AttemptOwner: failures ----------------------------------------------------------

    def runner_refused(self, attempt: Attempt) -> None:
        """Try another runner: this one has not run the request and will not."""
        assert attempt.verdict is not None
        if attempt.verdict.other_runner:
            self._sender.uncount_attempt()
        self._recorder.refused(attempt)
        self._sender.not_run(attempt)
        self._attempt_failed(attempt, AttemptEnd.NOT_RUN)

    def runner_unreachable(self, attempt: Attempt, reason: str) -> None:
        """Try another runner: the request was not sent to this one."""
        self._sender.uncount_attempt()
        self._permits = dict.fromkeys(self._permits, self._was_sent_before)
        self._recorder.unreachable(attempt, reason)
        self._sender.not_run(attempt)
        self._attempt_failed(attempt, AttemptEnd.NOT_RUN)

    def answer_interrupted(self, attempt: Attempt, reason: str) -> None:
        """Retry on another runner where that is allowed, otherwise end the request."""
        self._end_check.broke_off(attempt)
        may_resend = self._recorder.interrupted(attempt, reason, self._answer.last_event)
        end = AttemptEnd.BROKEN if may_resend else AttemptEnd.BROKEN_SUSPECT
        self._attempt_failed(attempt, end)

    def _attempt_failed(self, attempt: Attempt, end: AttemptEnd) -> None:
        """Continue after a failed attempt; nothing is to do if another runner is tried already."""
        if attempt is self._sender.silent:
            self._sender.take_silent()
        else:
            self._continue_after(end)

    def _response_timed_out(self) -> None:
        """Try another runner than one that sends nothing, which is given up once that takes over.

        A runner's silence alone ends no answer: it may go on.
        """
        attempt, route = self._sender.attempt, self._sender.route
        other_runner_left = self._sender.other_runner_left()
        may_leave = may_leave_silent_runner(route, self._answer.client_has, other_runner_left)
        if attempt is not None and may_leave and self._terms().ends_in_time:
            self._may_have_run = True
            # The other runner needs a permit of its own.
            self._is_trial = False
            self._sender.keep_silent(self._answer.begun)
            self._try_next()

    def _not_refused(self) -> None:
        """Give up a silent runner, unless the other one has begun to answer with a failure."""
        other = self._sender.attempt
        if other is not None and other.failed:
            other.cancel()
            self._drop_answer(other, other.body_end)
        else:
            self._leave_silent()

    def _leave_silent(self) -> None:
        """Give up a silent runner: another one has taken the request."""
        attempt = self._sender.take_silent()
        if attempt is not None:
            attempt.cancel()
            self._recorder.interrupted(attempt, SILENT, self._answer.last_event)
