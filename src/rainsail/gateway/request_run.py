"""One caller's request from admission to its final answer or fault.

``RequestRun`` drives the request's state machine. Its decisions are functions of
``request_decisions`` and ``retry``. ``request_attempts`` places and sends attempts,
``answer_recorder`` records the answer, and ``answer_delivery`` passes it to the caller.
"""

from collections.abc import Callable
from typing import Any

from expression import Result

from rainsail.engine.interface import EngineAttemptEnd
from rainsail.engine.prefix import count_tokens
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.gateway import request as request_machine
from rainsail.gateway import request_decisions as decisions
from rainsail.gateway.admission_queues import Ticket
from rainsail.gateway.answer_delivery import AnswerDelivery
from rainsail.gateway.answer_recorder import AnswerRecorder
from rainsail.gateway.attempt_sender import NEVER_S, AttemptSender
from rainsail.gateway.claims import RequestClaim
from rainsail.gateway.interface import CallerRequest, ResponseSink
from rainsail.gateway.request_attempts import RequestAttempts
from rainsail.gateway.request_decisions import STEP, AfterAbandon, Failure, RecordedAnswer
from rainsail.gateway.run_context import RunContext
from rainsail.gateway.session_order import SessionTurn
from rainsail.resources.specs import RequestClass
from rainsail.state.commands import ClaimResult


class RequestRun:
    """Runs one request; implements ``RequestHandle`` and ``RequestAttemptsOwner``."""

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
        self._attempts = RequestAttempts(context, caller, self._sender, self._delivery, self)
        self.attempt = self._attempts.current
        self._claim = RequestClaim(context.claims, caller, run_id)
        self._recorder = AnswerRecorder(context.sessions, self._claim, caller)
        self._turn: SessionTurn | None = None
        self._timers: list[Any] = []
        self._ticket = self._make_ticket()

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self._class != RequestClass.NON_REPEATABLE

    @property
    def ended(self) -> bool:
        """Whether the caller has its final answer or fault, or has disconnected."""
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

    # --- admission and claim --------------------------------------------------------------------

    def start(self) -> None:
        """Start the request: a session's turn waits for earlier turns, then admission decides."""
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
            self._place_first()
            return
        self._lifecycle.claim()
        self._claim.claim().addCallback(self._claim_answered)

    def _claim_answered(self, reply: Result[ClaimResult, Fault]) -> None:
        if self.ended:
            self._claim.end(Outcome.NOT_RUN)
            return
        if reply.is_error():
            self._fail(reply.error)
            return
        found = decisions.decide_after_claim(reply.ok)
        if found is None:
            self._place_first()
        else:
            self.on_answered_before(found)

    def _place_first(self) -> None:
        self._lifecycle.place()
        self._place()

    def _place(self) -> None:
        self._attempts.place(self._turn)

    # --- results of attempts ----------------------------------------------------------------------

    def on_answered_before(self, found: RecordedAnswer | Fault) -> None:
        """Answer with the recorded answer of an earlier submission, or fail with a conflict."""
        if isinstance(found, Fault):
            self._fail(found)
            return
        if found.text:
            self._delivery.add(found.text, count_tokens(found.text))
        self._lifecycle.record()
        self._answer("stop", "")

    def on_sending(self) -> None:
        """Enter the running state: an attempt is sent."""
        self._lifecycle.run()

    def on_not_placed(self, failure: Failure) -> None:
        """Fail the request because no attempt can be sent now."""
        self._give_up(failure)

    def on_complete_answer(self, runner: str, end: EngineAttemptEnd) -> None:
        """Record the answer before the caller gets the end of it."""
        self._delivery.prompt_tokens = end.prompt_tokens or self._delivery.prompt_tokens
        self._lifecycle.record()
        done = self._recorder.record(self._turn, self._delivery.text)
        done.addCallback(self._recorded, end.reason.value, runner)

    def on_failed_attempt(self, runner: str, end: EngineAttemptEnd) -> None:
        """Retry after a delay, or fail the request."""
        retry = self._sender.decide_retry(self.repeatable)
        if not retry.again:
            self._give_up(decisions.last_attempt_failure(end, runner, retry.reason))
            return
        self._lifecycle.place()
        self._later(retry.delay_s, self._place)

    # --- ends -----------------------------------------------------------------------------------

    def _recorded(self, reply: Result[None, Fault], finish_reason: str, runner: str) -> None:
        if reply.is_ok():
            self._answer(finish_reason, runner)
            return
        self._fail(decisions.recording_fault(reply.error))

    def _answer(self, finish_reason: str, runner: str) -> None:
        if self.ended:
            return
        self._close()
        self._delivery.answer(finish_reason, runner)

    def _give_up(self, failure: Failure) -> None:
        """Fail at once; the fault states whether anything may have run and when to retry."""
        default_retry_s = self._context.settings.retry.max_delay_s
        fault = decisions.failure_fault(failure, self.attempt.may_have_run, default_retry_s)
        self._fail(fault)

    def _fail(self, fault: Fault) -> None:
        if self.ended:
            return
        self._claim.end(fault.outcome)
        self.attempt.cancel()
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
        """Fail the request at once; recording that is in progress still finishes."""
        detail = "the deadline has passed"
        if self.record.status is request_machine.RequestStatus.RECORDING:
            fault = Fault(FaultCode.TIMEOUT, STEP, detail, outcome=Outcome.UNKNOWN)
            self._delivery.fail(fault)
            return
        self._give_up(Failure(FaultCode.TIMEOUT, detail))

    def abort(self, detail: str) -> None:
        """Fail the request because the gateway is stopping and the grace time has passed."""
        self._give_up(Failure(FaultCode.UNAVAILABLE, detail))

    def _later(self, delay_s: float, call: Callable[[], None]) -> None:
        self._timers.append(self._context.clock.callLater(delay_s, call))

    # --- the caller's handle ----------------------------------------------------------------------

    def abandon(self) -> None:
        """Stop delivering to the disconnected caller; cancel the request unless it must finish."""
        if self.ended:
            return
        self._delivery.detach_caller()
        next_step = decisions.decide_after_abandon(
            self.record.status, self.repeatable, self.attempt.may_have_run
        )
        if next_step is AfterAbandon.FINISH_ATTEMPT:
            self.unpause()
        elif next_step is AfterAbandon.CANCEL:
            self._fail(Fault(FaultCode.CANCELLED, STEP, "the caller has left"))

    def pause(self) -> None:
        """Stop reading from the engine, as back-pressure."""
        self.attempt.pause()

    def unpause(self) -> None:
        """Resume reading from the engine."""
        self.attempt.unpause()
