"""One caller's request from admission to its one final answer."""

from collections.abc import Callable
from typing import Any

from expression import Result

from rainsail.engine.interface import AttemptEnd
from rainsail.engine.prefix import count_tokens
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.gateway import request as request_machine
from rainsail.gateway import retry
from rainsail.gateway.admission_queues import Ticket
from rainsail.gateway.answer_delivery import AnswerDelivery
from rainsail.gateway.answer_recorder import AnswerRecorder
from rainsail.gateway.attempt_sender import NEVER_S, AttemptSender
from rainsail.gateway.attempts import Attempt, AttemptResult
from rainsail.gateway.claims import RequestClaim
from rainsail.gateway.current_attempt import CurrentAttempt
from rainsail.gateway.interface import CallerRequest, ResponseSink
from rainsail.gateway.refusals import no_lease
from rainsail.gateway.run_context import RunContext
from rainsail.gateway.session_order import SessionTurn
from rainsail.gateway.sessions import SessionPlace
from rainsail.resources.specs import RequestClass
from rainsail.state.commands import ClaimResult, Turn

STEP = "gateway.request"


class RequestRun:
    """Runs one request; implements ``RequestHandle`` for its caller and ``AttemptOwner``."""

    def __init__(
        self,
        context: RunContext,
        caller: CallerRequest,
        class_: RequestClass,
        sink: ResponseSink,
        on_ended: Callable[["RequestRun"], None],
    ) -> None:
        self.caller = caller
        self.record = request_machine.RequestRecord()
        self._lifecycle = request_machine.new_lifecycle(self.record)
        self._context = context
        self._class = class_
        self._delivery = AnswerDelivery(caller, sink)
        self._on_ended = on_ended
        now_s = context.clock.seconds()
        self._deadline_s = now_s + caller.deadline_s if caller.deadline_s > 0 else NEVER_S
        run_id = context.next_id()
        self._sender = AttemptSender(context, caller, class_, self._deadline_s, run_id)
        self._claim = RequestClaim(context.claims, caller, run_id)
        self._recorder = AnswerRecorder(context.sessions, self._claim, caller)
        self._turn: SessionTurn | None = None
        self._attempt = CurrentAttempt(context)
        self._timers: list[Any] = []
        self._ticket = self._make_ticket()

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self._class != RequestClass.NON_REPEATABLE

    @property
    def ended(self) -> bool:
        """Whether the caller has its final answer, or has left."""
        return self.record.ended

    def _make_ticket(self) -> Ticket:
        return Ticket(
            service=self.caller.model,
            tenant=self.caller.tenant,
            batch=self._class == RequestClass.BATCH,
            cost_tokens=self._delivery.prompt_tokens + self.caller.max_tokens,
            latest_start_s=self._deadline_s,
            on_granted=self._granted,
            on_refused=self._fail,
        )

    # --- the way to the first attempt -----------------------------------------------------------

    def start(self) -> None:
        """Start: a session's turn waits for the one before, then admission decides."""
        self._context.budget(self.caller.model).request_started()
        if self.caller.deadline_s > 0:
            self._later(self.caller.deadline_s, self._deadline_passed)
        if not self.caller.session:
            self._context.admission.offer(self._ticket)
            return
        turn = self._context.sessions.begin(self.caller, self._turn_begins)
        if isinstance(turn, Fault):
            self._fail(turn)
            return
        self._turn = turn
        turn.enter()

    def _turn_begins(self) -> None:
        if not self.ended:
            self._context.admission.offer(self._ticket)

    def _granted(self) -> None:
        if self.repeatable:
            self._lifecycle.place()
            self._place()
            return
        self._lifecycle.claim()
        self._claim.take().addCallback(self._claim_answered)

    def _claim_answered(self, reply: Result[ClaimResult, Fault]) -> None:
        if self.ended:
            self._claim.end(Outcome.NOT_RUN)
        elif reply.is_error():
            self._fail(reply.error)
        elif reply.ok.granted:
            self._lifecycle.place()
            self._place()
        else:
            self._answer_from_first_claim(reply.ok)

    def _answer_from_first_claim(self, first: ClaimResult) -> None:
        if first.outcome != Outcome.COMPLETED:
            detail = f"an earlier request with this id went through {first.gateway}"
            self._fail(Fault(FaultCode.CONFLICT, STEP, detail, outcome=Outcome.UNKNOWN))
            return
        self._answer_recorded(first.response)

    def _answer_recorded(self, text: str) -> None:
        """Answer with what an earlier send of this request has recorded."""
        if text:
            self.on_part(text, count_tokens(text))
        self._lifecycle.record()
        self._answer("stop", "")

    # --- attempts -------------------------------------------------------------------------------

    def _place(self) -> None:
        if self.ended:
            return
        if not self._context.config.lease_valid():
            refusal = no_lease(STEP)
            self._give_up(refusal.code, refusal.detail, "", refusal.retry_after_s)
            return
        if self._turn is not None:
            done = self._context.sessions.place(self._turn, self._attempt.failed_runners)
            done.addCallback(self._session_placed)
            return
        decision = self._sender.route(self._attempt.failed_runners)
        if not decision.runner:
            self._give_up(FaultCode.UNAVAILABLE, "no runner takes this request now", "")
            return
        self._send(decision.runner, self.caller.prompt, 0)

    def _session_placed(self, reply: Result[SessionPlace, Fault]) -> None:
        if self.ended:
            return
        if reply.is_error():
            fault = reply.error
            self._give_up(fault.code, fault.detail, fault.peer, fault.retry_after_s)
            return
        place = reply.ok
        if not self._sender.sent and self._is_recorded(place.last_turn):
            return
        self._send(place.runner, place.transcript + self.caller.prompt, place.fence)

    def _is_recorded(self, last_turn: Turn | None) -> bool:
        """Answer a turn that was recorded and is sent again; other content is a conflict."""
        if last_turn is None or last_turn.request_id != self.caller.request_id:
            return False
        if last_turn.prompt == self.caller.prompt:
            self._answer_recorded(last_turn.answer)
        else:
            detail = "the session has another turn under this request id"
            self._fail(Fault(FaultCode.CONFLICT, STEP, detail))
        return True

    def _send(self, runner: str, prompt: str, fence: int) -> None:
        attempt = self._sender.prepare(self, runner, prompt, fence, self._delivery.text)
        if attempt is None:
            self._give_up(FaultCode.UNAVAILABLE, "the runner is gone", runner)
            return
        self._lifecycle.run()
        self._attempt.start(attempt)

    def on_part(self, text: str, tokens: int) -> None:
        """Pass the next part on to the caller (called for every chunk)."""
        self._delivery.add(text, tokens)

    def on_attempt_ended(self, attempt: Attempt, result: AttemptResult, end: AttemptEnd) -> None:
        """Answer, or decide whether another attempt follows."""
        if not self._attempt.is_current(attempt):
            return
        self._attempt.end(attempt, result, end)
        if result == AttemptResult.WHOLE:
            self._delivery.prompt_tokens = end.prompt_tokens or self._delivery.prompt_tokens
            self._record_answer(end.reason.value, attempt.runner)
            return
        self._retry_or_fail(attempt.runner, end)

    def _retry_or_fail(self, runner: str, end: AttemptEnd) -> None:
        decision = self._sender.decide_retry(self.repeatable)
        if decision.again:
            self._lifecycle.place()
            self._later(decision.delay_s, self._place)
            return
        late = decision.reason == retry.RetryReason.DEADLINE
        code = FaultCode.TIMEOUT if late else FaultCode.UNAVAILABLE
        detail = f"{end.reason}: {end.detail}; {decision.reason}"
        self._give_up(code, detail, runner, end.retry_after_s or None)

    # --- ends -----------------------------------------------------------------------------------

    def _record_answer(self, finish_reason: str, runner: str) -> None:
        self._lifecycle.record()
        done = self._recorder.record(self._turn, self._delivery.text)
        done.addCallback(self._recorded, finish_reason, runner)

    def _recorded(self, reply: Result[None, Fault], finish_reason: str, runner: str) -> None:
        if reply.is_ok():
            self._answer(finish_reason, runner)
            return
        fault = reply.error
        self._fail(Fault(fault.code, STEP, fault.detail, fault.peer, Outcome.UNKNOWN))

    def _answer(self, finish_reason: str, runner: str) -> None:
        if self.ended:
            return
        self._close()
        self._delivery.answer(finish_reason, runner)

    def _give_up(
        self, code: FaultCode, detail: str, peer: str, retry_after_s: float | None = None
    ) -> None:
        """End at once with the truth; the caller is told when to come back."""
        outcome = request_machine.failure_outcome(self._attempt.may_have_run)
        retry_s = retry_after_s or self._context.settings.retry.max_delay_s
        self._fail(Fault(code, STEP, detail, peer, outcome, retry_s))

    def _fail(self, fault: Fault) -> None:
        if self.ended:
            return
        self._claim.end(fault.outcome)
        self._attempt.give_up()
        self._close()
        self._delivery.fail(fault)

    def _close(self) -> None:
        self._lifecycle.end()
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
        delivery = self._delivery
        used = delivery.prompt_tokens + delivery.tokens if self._sender.sent else 0
        self._context.admission.withdraw(self._ticket)
        self._context.admission.release(self._ticket, used)
        if self._turn is not None:
            self._context.sessions.release(self._turn)
        self._on_ended(self)

    def _deadline_passed(self) -> None:
        """Answer at once; what is being recorded is recorded to its end all the same."""
        detail = "the deadline has passed"
        if not self._is_recording():
            self._give_up(FaultCode.TIMEOUT, detail, "")
            return
        self._delivery.fail(Fault(FaultCode.TIMEOUT, STEP, detail, outcome=Outcome.UNKNOWN))

    def _is_recording(self) -> bool:
        return self.record.status == request_machine.RequestStatus.RECORDING

    def cut(self, detail: str) -> None:
        """End the request because the gateway stops and the grace time has passed."""
        self._give_up(FaultCode.UNAVAILABLE, detail, "")

    def _later(self, delay_s: float, call: Callable[[], None]) -> None:
        self._timers.append(self._context.clock.callLater(delay_s, call))

    # --- the caller's handle ----------------------------------------------------------------------

    def abandon(self) -> None:
        """The caller has left: cancel at the engine; the sink hears nothing more.

        A non-repeatable request that was sent runs on, so that the caller's next question with
        the same id gets the recorded answer; so does the recording of a whole answer.
        """
        if self.ended:
            return
        self._delivery.drop_caller()
        if self._is_recording():
            return
        if not self.repeatable and self._attempt.may_have_run:
            self.unpause()
            return
        self._fail(Fault(FaultCode.CANCELLED, STEP, "the caller has left"))

    def pause(self) -> None:
        """Stop reading from the engine."""
        self._attempt.pause()

    def unpause(self) -> None:
        """Read from the engine again."""
        self._attempt.unpause()

    # --- what the gateway tells -------------------------------------------------------------------

    def check_stalled(self, now_s: float) -> None:
        """Look whether the stream has stalled."""
        self._attempt.check_stalled(now_s)

    def engine_restarted(self, runner: str) -> None:
        """Take the attempt as broken when it ran on this runner."""
        self._attempt.engine_restarted(runner)
