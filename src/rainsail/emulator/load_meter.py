"""Measures the load of an emulated engine."""

from collections.abc import Callable

from rainsail.emulator.model_state import ModelState
from rainsail.emulator.scheduler import BatchScheduler
from rainsail.emulator.settings import EngineSettings
from rainsail.engine.interface import LoadReport
from rainsail.runtime.clock import Clock


class LoadMeter:
    """Creates load reports; the token rate is the average since the previous report."""

    def __init__(
        self,
        runner: str,
        incarnation: str,
        clock: Clock,
        settings: EngineSettings,
        scheduler: Callable[[], BatchScheduler],
        model: ModelState,
    ) -> None:
        self._runner = runner
        self._incarnation = incarnation
        self._clock = clock
        self._settings = settings
        self._scheduler = scheduler
        self._model = model
        self._sequence = 0
        self._measured_at_s = clock.seconds()
        self._measured_tokens = 0

    def next_report(self, draining: bool) -> LoadReport:
        """Return the next report; it is published ``load_report_lag_s`` later, and says so."""
        now_s = self._clock.seconds()
        elapsed_s = now_s - self._measured_at_s
        generated = self._scheduler().tokens_generated - self._measured_tokens
        self._measured_at_s = now_s
        self._measured_tokens = self._scheduler().tokens_generated
        self._sequence += 1
        rate = generated / elapsed_s if elapsed_s > 0 else 0.0
        return self._report(self._settings.load_report_lag_s, rate, draining)

    def current(self, draining: bool) -> LoadReport:
        """Return the current load without a token rate."""
        return self._report(0.0, 0.0, draining)

    def _report(self, age_s: float, tokens_per_second: float, draining: bool) -> LoadReport:
        scheduler = self._scheduler()
        return LoadReport(
            runner=self._runner,
            incarnation=self._incarnation,
            sequence=self._sequence,
            age_s=age_s,
            running=scheduler.running,
            running_low=scheduler.running_low,
            waiting=scheduler.waiting,
            kv_tokens_used=scheduler.kv_tokens_used,
            kv_tokens_total=self._settings.kv_tokens_total,
            tokens_per_second=tokens_per_second,
            loaded_version=self._model.loaded_version,
            loading_version=self._model.loading_version,
            adapters=self._model.adapters,
            fence=self._model.fence,
            draining=draining,
        )
