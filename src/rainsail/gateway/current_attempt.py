"""The running attempt of a request, and the results of its earlier attempts."""

from rainsail.engine.interface import EngineAttemptEnd
from rainsail.gateway.attempts import AttemptResult, EngineAttempt
from rainsail.gateway.run_context import RunContext


class CurrentAttempt:
    """Starts, pauses and cancels attempts, one at a time.

    ``may_have_run`` is the number of attempts that were sent and not refused by the engine as not
    run.
    """

    def __init__(self, context: RunContext) -> None:
        self.may_have_run = 0
        self.failed_runners: list[str] = []
        self._context = context
        self._attempt: EngineAttempt | None = None
        self._paused = False

    def is_current(self, attempt: EngineAttempt) -> bool:
        """Return whether ``attempt`` is the running one."""
        return attempt is self._attempt

    def start(self, attempt: EngineAttempt) -> None:
        """Send an attempt and count it as one that may have run."""
        self._attempt = attempt
        self.may_have_run += 1
        if self._paused:
            attempt.pause()
        attempt.start()

    def end(self, attempt: EngineAttempt, result: AttemptResult, end: EngineAttemptEnd) -> None:
        """Record the end of an attempt; cancel a broken one at its engine."""
        self._attempt = None
        context = self._context
        context.fleet.attempt_ended(attempt.runner, attempt.attempt_id, end.reason)
        if result == AttemptResult.COMPLETE:
            return
        if result == AttemptResult.REFUSED:
            self.may_have_run -= 1
        else:
            context.canceller.cancel(attempt.address, attempt.attempt_id)
        self.failed_runners.append(attempt.runner)

    def cancel(self) -> None:
        """Cancel the running attempt at its engine and ignore everything further from it."""
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        attempt.supersede()
        self._context.canceller.cancel(attempt.address, attempt.attempt_id)
        self._context.fleet.attempt_ended(attempt.runner, attempt.attempt_id)

    def pause(self) -> None:
        """Stop reading from the engine; this applies to later attempts as well."""
        self._paused = True
        if self._attempt is not None:
            self._attempt.pause()

    def unpause(self) -> None:
        """Resume reading from the engine."""
        self._paused = False
        if self._attempt is not None:
            self._attempt.unpause()

    def check_stalled(self, now_s: float) -> None:
        """Treat the stream as lost if it has stalled."""
        if self._attempt is not None:
            self._attempt.check_stalled(now_s)

    def engine_restarted(self, runner: str) -> None:
        """End the attempt as broken if it runs on this runner."""
        if self._attempt is not None and self._attempt.runner == runner:
            self._attempt.engine_restarted()
