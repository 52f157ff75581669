"""Chooses runners for the attempts of one request and prepares the attempts."""

from collections.abc import Sequence

from rainsail.engine.interface import GenerateRequest, Priority
from rainsail.engine.prefix import block_hashes
from rainsail.gateway.attempts import EngineAttempt, EngineAttemptOwner
from rainsail.gateway.interface import CallerRequest
from rainsail.gateway.retry import FailedAttempt, RetryDecision, decide_retry
from rainsail.gateway.router import RouteDecision, choose_runner
from rainsail.gateway.run_context import RunContext
from rainsail.resources.specs import RequestClass

NEVER_S = float("inf")
ENGINE_DEADLINE_MARGIN_S = 0.02
"""Seconds by which an engine's deadline is earlier than the caller's.

An engine's refusal as not run then arrives before the caller's deadline.
"""
MIN_ENGINE_DEADLINE_S = 0.001
"""Minimum deadline passed to an engine, because 0 means no deadline."""


class AttemptSender:
    """Prepares the attempts of one request, each with its own attempt id."""

    def __init__(
        self,
        context: RunContext,
        caller: CallerRequest,
        class_: RequestClass,
        deadline_s: float,
        run_id: str,
    ) -> None:
        self.sent = 0
        self._context = context
        self._caller = caller
        self._class = class_
        self._deadline_s = deadline_s
        self._run_id = run_id

    @property
    def _batch(self) -> bool:
        return self._class == RequestClass.BATCH

    def route(self, failed: Sequence[str]) -> RouteDecision:
        """Choose a runner and store the decision.

        Runners in ``failed`` are used only when no other is eligible.
        """
        context = self._context
        caller = self._caller
        now_s = context.clock.seconds()
        runners = context.fleet.eligible(caller.model, self._batch, caller.adapter)
        decision = choose_runner(
            caller.request_id,
            self.sent,
            runners.without(failed),
            block_hashes(caller.prompt),
            context.zone,
            now_s,
            context.random,
            context.settings.routing,
        )
        context.decisions.add(caller.tenant, decision)
        return decision

    def prepare(
        self, owner: EngineAttemptOwner, runner: str, prompt: str, fence: int, forced_prefix: str
    ) -> EngineAttempt | None:
        """Create the next attempt and count it; None when the runner no longer exists."""
        context = self._context
        state = context.fleet.runner(runner)
        if state is None:
            return None
        attempt = EngineAttempt(
            runner,
            state.spec.address,
            self._request(prompt, fence, forced_prefix),
            owner,
            context.engine,
            context.clock,
            context.random,
            context.settings.retry,
            retry_refused_resume=self._class == RequestClass.NON_REPEATABLE,
        )
        self.sent += 1
        context.fleet.attempt_started(runner, attempt.attempt_id, self._batch)
        return attempt

    def decide_retry(self, repeatable: bool) -> RetryDecision:
        """Decide whether to retry after the last attempt, which failed."""
        context = self._context
        failed = FailedAttempt(
            repeatable=repeatable,
            sent=True,
            attempts=self.sent,
            now_s=context.clock.seconds(),
            deadline_s=self._deadline_s,
        )
        budget = context.budget(self._caller.model)
        return decide_retry(failed, budget, context.random, context.settings.retry)

    def _request(self, prompt: str, fence: int, forced_prefix: str) -> GenerateRequest:
        caller = self._caller
        return GenerateRequest(
            attempt_id=f"{self._run_id}.{self.sent}",
            request_id=caller.request_id,
            model=caller.model,
            version="",
            prompt=prompt,
            max_tokens=caller.max_tokens,
            priority=Priority.LOW if self._batch else Priority.HIGH,
            adapter=caller.adapter,
            session=caller.session,
            fence=fence,
            forced_prefix=forced_prefix,
            deadline_s=self._time_left_s(),
            seed=caller.seed,
        )

    def _time_left_s(self) -> float:
        """Return the remaining time passed to an engine in seconds; 0 means no deadline."""
        if self._deadline_s == NEVER_S:
            return 0.0
        left_s = self._deadline_s - self._context.clock.seconds() - ENGINE_DEADLINE_MARGIN_S
        return max(MIN_ENGINE_DEADLINE_S, left_s)
