"""Ejects runners that send nothing for too long while answers from them are pending."""

from rainsail.cluster.registry import RunnerRegistry
from rainsail.logs import logger
from rainsail.relay.context import RelayContext


class IdleRunnerCheck:
    """Periodically checks the runners that have pending answers."""

    def __init__(self, context: RelayContext, registry: RunnerRegistry) -> None:
        self._context = context
        self._registry = registry
        self._is_planned = False
        self._is_stopped = False

    def plan(self) -> None:
        """Schedule a check after one period, unless one is scheduled already."""
        if not self._is_planned and not self._is_stopped:
            self._is_planned = True
            period_s = self._context.settings.idle_check_period_s
            self._context.clock.callLater(period_s, self._check)

    def stop(self) -> None:
        """Stop checking."""
        self._is_stopped = True

    def _check(self) -> None:
        self._is_planned = False
        if self._is_stopped:
            return
        now = self._context.clock.seconds()
        for runner in self._context.loads.timed_out(now):
            if not self._context.loads.is_ejected(runner, now):
                self._eject(runner, now)
        if self._context.loads.awaits_answers:
            self.plan()

    def _eject(self, runner: str, now: float) -> None:
        """Eject a runner and close its idle connections, so that later requests open new ones."""
        self._context.loads.eject(runner, now, self._context.settings.idle_ejection_s)
        record = self._registry.get(runner)
        if record is not None and record.address:
            self._context.pool.forget(record.address)
        logger.bind(runner=runner).info("runner_silent")
