"""One caller's request from admission to its one final answer."""

from typing import Any

from expression import Result

from rainsail.engine.interface import AttemptEnd, GenerateRequest, Priority
from rainsail.engine.prefix import block_hashes, count_tokens
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.gateway import request as request_machine
from rainsail.gateway import retry
from rainsail.gateway.admission_queues import Ticket
from rainsail.gateway.attempts import Attempt, AttemptResult
from rainsail.gateway.eligibility import eligible_runners, without
from rainsail.gateway.interface import Answer, CallerRequest, ResponseSink
from rainsail.gateway.router import choose_runner
from rainsail.gateway.run_context import RunContext
from rainsail.gateway.sessions import SessionPlace, SessionTurn
from rainsail.resources.specs import RequestClass
from rainsail.state.commands import ClaimResult

STEP = "gateway.request"
NEVER_S = float("inf")


class RequestRun:
    """Runs one request; implements ``RequestHandle`` for its caller and ``AttemptOwner``."""

    def __init__(
        self,
        context: RunContext,
        caller: CallerRequest,
        class_: RequestClass,
        sink: ResponseSink,
        on_ended: Any,
    ) -> None:
        self.caller = caller
        self.class_ = class_
        self.record = request_machine.RequestRecord()
        self._lifecycle = request_machine.new_lifecycle(self.record)
        self._context = context
        self._sink: ResponseSink | None = sink
        self._on_ended = on_ended
        self._claimant = context.next_id()
        self._claimed = False
        self._parts: list[str] = []
        self._tokens = 0
        self._prompt_tokens = count_tokens(caller.prompt)
        self._attempt: Attempt | None = None
        self._attempts = 0
        self._may_have_run = 0
        self._failed_runners: list[str] = []
        self._paused = False
        self._timers: list[Any] = []
        self._turn: SessionTurn | None = None
        now_s = context.clock.seconds()
        self._deadline_s = now_s + caller.deadline_s if caller.deadline_s > 0 else NEVER_S
        self._ticket = self._make_ticket()

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.class_ != RequestClass.NON_REPEATABLE

    @property
    def attempts(self) -> int:
        """How many attempts were sent."""
        return self._attempts

    @property
    def ended(self) -> bool:
        """Whether the caller has its final answer, or has left."""
        return self._lifecycle.ended()

    def _make_ticket(self) -> Ticket:
        return Ticket(
            service=self.caller.model,
            tenant=self.caller.tenant,
            batch=self.class_ == RequestClass.BATCH,
            cost_tokens=self._prompt_tokens + self.caller.max_tokens,
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
        if self.caller.session:
            turn = self._context.sessions.begin(self.caller, self._turn_begins)
            if isinstance(turn, Fault):
                self._fail(turn)
                return
            self._turn = turn
            turn.enter()
            return
        self._context.admission.offer(self._ticket)

    def _turn_begins(self) -> None:
        if not self.ended:
            self._context.admission.offer(self._ticket)

    def _granted(self) -> None:
        if self.repeatable:
            self._lifecycle.place()
            self._place()
            return
        self._lifecycle.claim()
        done = self._context.claims.claim(self.caller, self._claimant)
        done.addCallback(self._take_claim)

    def _take_claim(self, reply: Result[ClaimResult, Fault]) -> None:
        granted = reply.is_ok() and reply.ok.granted
        if self.ended:
            if granted:
                self._context.claims.finish(self.caller, self._claimant, Outcome.NOT_RUN)
        elif reply.is_error():
            self._fail(reply.error)
        elif granted:
            self._claimed = True
            self._lifecycle.place()
            self._place()
        else:
            self._answer_from_first_claim(reply.ok)

    def _answer_from_first_claim(self, claim: ClaimResult) -> None:
        if claim.outcome != Outcome.COMPLETED:
            detail = f"an earlier request with this id went through {claim.gateway}"
            self._fail(Fault(FaultCode.CONFLICT, STEP, detail, outcome=Outcome.UNKNOWN))
            return
        if claim.response:
            self.on_part(claim.response, count_tokens(claim.response))
        self._lifecycle.record()
        self._answer("stop", "")

    # --- attempts -------------------------------------------------------------------------------

    def _place(self) -> None:
        if self.ended:
            return
        if not self._attempts and not self._context.config.lease_valid():
            self._fail(no_lease())
            return
        if self._turn is not None:
            done = self._context.sessions.place(self._turn, self._failed_runners)
            done.addCallback(self._take_session_place)
            return
        self._route()

    def _route(self) -> None:
        context = self._context
        now_s = context.clock.seconds()
        states = eligible_runners(
            context.fleet.runners_of(self.caller.model),
            now_s,
            self.class_ == RequestClass.BATCH,
            self.caller.adapter,
        )
        decision = choose_runner(
            self.caller.request_id,
            self._attempts,
            without(states, self._failed_runners),
            block_hashes(self.caller.prompt),
            context.zone,
            now_s,
            context.random,
            context.settings.routing,
        )
        context.decisions.add(decision)
        if not decision.runner:
            self._give_up(FaultCode.UNAVAILABLE, "no runner takes this request now", "")
            return
        self._send(decision.runner, self.caller.prompt, 0)

    def _take_session_place(self, reply: Result[SessionPlace, Fault]) -> None:
        if self.ended:
            return
        if reply.is_error():
            fault = reply.error
            self._give_up(fault.code, fault.detail, fault.peer, fault.retry_after_s)
            return
        place = reply.ok
        self._send(place.runner, place.transcript + self.caller.prompt, place.fence)

    def _send(self, runner: str, prompt: str, fence: int) -> None:
        context = self._context
        state = context.fleet.runner(runner)
        if state is None:
            self._give_up(FaultCode.UNAVAILABLE, "the runner is gone", runner)
            return
        attempt = Attempt(
            runner,
            state.spec.address,
            self._generate_request(prompt, fence),
            self,
            context.engine,
            context.clock,
            context.random,
            context.settings.retry,
            patient=not self.repeatable,
        )
        self._attempt = attempt
        self._attempts += 1
        self._may_have_run += 1
        self._lifecycle.run()
        batch = self.class_ == RequestClass.BATCH
        context.fleet.attempt_started(runner, attempt.attempt_id, batch, self.caller.max_tokens)
        if self._paused:
            attempt.pause()
        attempt.start()

    def _generate_request(self, prompt: str, fence: int) -> GenerateRequest:
        caller = self.caller
        left_s = 0.0
        if self._deadline_s != NEVER_S:
            left_s = max(0.001, self._deadline_s - self._context.clock.seconds())
        return GenerateRequest(
            attempt_id=f"{self._claimant}.{self._attempts}",
            request_id=caller.request_id,
            model=caller.model,
            version="",
            prompt=prompt,
            max_tokens=caller.max_tokens,
            priority=Priority.LOW if self.class_ == RequestClass.BATCH else Priority.HIGH,
            adapter=caller.adapter,
            session=caller.session,
            fence=fence,
            forced_prefix="".join(self._parts),
            deadline_s=left_s,
            seed=caller.seed,
        )

    def on_part(self, text: str, tokens: int) -> None:
        """Pass the next part on to the caller (called for every chunk)."""
        self._parts.append(text)
        self._tokens += tokens
        if self._sink is not None:
            self._sink.on_part(text, tokens)

    def on_attempt_ended(self, attempt: Attempt, result: AttemptResult, end: AttemptEnd) -> None:
        """Answer, or decide whether another attempt follows."""
        if attempt is not self._attempt:
            return
        self._attempt = None
        self._context.fleet.attempt_ended(
            attempt.runner, attempt.attempt_id, end.reason, bool(self.caller.session)
        )
        if result == AttemptResult.WHOLE:
            self._prompt_tokens = end.prompt_tokens or self._prompt_tokens
            self._record_answer(end.reason.value, attempt.runner)
            return
        if result == AttemptResult.REFUSED:
            self._may_have_run -= 1
        else:
            self._context.canceller.cancel(attempt.address, attempt.attempt_id)
        self._failed_runners.append(attempt.runner)
        self._retry_or_fail(attempt, end)

    def _retry_or_fail(self, attempt: Attempt, end: AttemptEnd) -> None:
        context = self._context
        failed = retry.FailedAttempt(
            repeatable=self.repeatable,
            sent=True,
            attempts=self._attempts,
            now_s=context.clock.seconds(),
            deadline_s=self._deadline_s,
            retry_after_s=end.retry_after_s,
        )
        decision = retry.decide_retry(
            failed, context.budget(self.caller.model), context.random, context.settings.retry
        )
        if not decision.again:
            detail = f"{end.reason}: {end.detail}; {decision.reason}"
            self._give_up(FaultCode.UNAVAILABLE, detail, attempt.runner, end.retry_after_s or None)
            return
        self._lifecycle.place()
        self._later(decision.delay_s, self._place)

    # --- ends -----------------------------------------------------------------------------------

    def _record_answer(self, finish_reason: str, runner: str) -> None:
        self._lifecycle.record()
        text = "".join(self._parts)
        if self._claimed:
            self._claimed = False
            done = self._context.claims.finish(self.caller, self._claimant, Outcome.COMPLETED, text)
            done.addCallback(lambda _: self._answer(finish_reason, runner))
        elif self._turn is not None:
            recorded = self._context.sessions.finish(self._turn, self.caller.prompt, text)
            recorded.addCallback(self._turn_recorded, finish_reason, runner)
        else:
            self._answer(finish_reason, runner)

    def _turn_recorded(self, reply: Result[None, Fault], finish_reason: str, runner: str) -> None:
        if reply.is_ok():
            self._answer(finish_reason, runner)
            return
        fault = reply.error
        self._fail(Fault(fault.code, STEP, fault.detail, fault.peer, Outcome.UNKNOWN))

    def _answer(self, finish_reason: str, runner: str) -> None:
        if self.ended:
            return
        answer = Answer(
            self.caller.request_id,
            Outcome.COMPLETED,
            "".join(self._parts),
            finish_reason,
            self._prompt_tokens,
            self._tokens,
            runner,
        )
        sink = self._sink
        self._close()
        if sink is not None:
            sink.on_answer(answer)

    def _give_up(
        self, code: FaultCode, detail: str, peer: str, retry_after_s: float | None = None
    ) -> None:
        """End at once with the truth; the caller is told when to come back."""
        outcome = request_machine.failure_outcome(self._may_have_run)
        retry_s = retry_after_s or self._context.settings.retry.max_delay_s
        self._fail(Fault(code, STEP, detail, peer, outcome, retry_s))

    def _fail(self, fault: Fault) -> None:
        if self.ended:
            return
        if self._claimed:
            self._claimed = False
            self._context.claims.finish(self.caller, self._claimant, fault.outcome)
        sink = self._sink
        self._cancel_attempt()
        self._close()
        if sink is not None:
            sink.on_fault(fault)

    def _cancel_attempt(self) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        self._attempt = None
        attempt.supersede()
        self._context.canceller.cancel(attempt.address, attempt.attempt_id)
        self._context.fleet.attempt_ended(attempt.runner, attempt.attempt_id)

    def _close(self) -> None:
        self._lifecycle.end()
        self._sink = None
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
        used = self._prompt_tokens + self._tokens if self._attempts else 0
        self._context.admission.withdraw(self._ticket)
        self._context.admission.release(self._ticket, used)
        if self._turn is not None:
            self._context.sessions.release(self._turn)
        self._on_ended(self)

    def _deadline_passed(self) -> None:
        if self.record.status == request_machine.RequestStatus.RECORDING and not self._turn:
            self._answer("stop", "")
            return
        self._give_up(FaultCode.TIMEOUT, "the deadline has passed", "")

    def cut(self, detail: str) -> None:
        """End the request because the gateway stops and the grace time has passed."""
        self._give_up(FaultCode.UNAVAILABLE, detail, "")

    def _later(self, delay_s: float, call: Any) -> None:
        self._timers.append(self._context.clock.callLater(delay_s, call))

    # --- the caller's handle ----------------------------------------------------------------------

    def abandon(self) -> None:
        """The caller has left: cancel at the engine; the sink hears nothing more.

        A non-repeatable request that was sent runs on, so that the caller's next question with
        the same id gets the recorded answer.
        """
        if self.ended:
            return
        self._sink = None
        if not self.repeatable and self._may_have_run:
            self.unpause()
            return
        self._fail(Fault(FaultCode.CANCELLED, STEP, "the caller has left"))

    def pause(self) -> None:
        """Stop reading from the engine."""
        self._paused = True
        if self._attempt is not None:
            self._attempt.pause()

    def unpause(self) -> None:
        """Read from the engine again."""
        self._paused = False
        if self._attempt is not None:
            self._attempt.unpause()

    # --- what the gateway tells -------------------------------------------------------------------

    def check_stalled(self, now_s: float) -> None:
        """Look whether the stream has stalled."""
        if self._attempt is not None:
            self._attempt.check_stalled(now_s)

    def engine_restarted(self, runner: str) -> None:
        """Take the attempt as broken when it ran on this runner."""
        if self._attempt is not None and self._attempt.runner == runner:
            self._attempt.engine_restarted()


def no_lease() -> Fault:
    """Return the refusal of a gateway whose configuration lease has run out."""
    detail = "this gateway is cut off from control; its configuration may be old"
    return Fault(FaultCode.UNAVAILABLE, STEP, detail, retry_after_s=1.0)
