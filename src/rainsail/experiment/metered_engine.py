"""An emulated engine that counts the prompt tokens it prefills, by kind of work."""

from random import Random

from rainsail.emulator.engine import EmulatedEngine
from rainsail.emulator.prefix_cache import PrefixCache
from rainsail.emulator.scheduler import BatchScheduler, Sequence
from rainsail.emulator.settings import EngineSettings
from rainsail.emulator.weight_store import WeightStore
from rainsail.runtime.clock import Clock


class MeteredScheduler(BatchScheduler):
    """Counts prefill as sequences enter the batch; ``time_s`` may be read at any moment."""

    def __init__(self, settings: EngineSettings, cache: PrefixCache) -> None:
        super().__init__(settings, cache)
        self.prefill_tokens = 0
        self.steps = 0

    def begin_step(self, admit: bool = True) -> float | None:
        """Count the iteration."""
        self.steps += 1
        return super().begin_step(admit)

    def _enter_batch(self, sequence: Sequence) -> None:
        super()._enter_batch(sequence)
        self.prefill_tokens += sequence.prefill_left


class MeteredEngine(EmulatedEngine):
    """An ``EmulatedEngine`` whose scheduler is metered."""

    def __init__(
        self,
        runner: str,
        clock: Clock,
        random: Random,
        settings: EngineSettings,
        weight_store: WeightStore,
    ) -> None:
        self._meter: MeteredScheduler | None = None
        super().__init__(runner, clock, random, settings, weight_store)

    def restart(self) -> None:
        """Start with empty memory and a new meter."""
        super().restart()
        self._meter = MeteredScheduler(self._settings, self._cache)
        self._scheduler = self._meter

    @property
    def meter(self) -> MeteredScheduler:
        """The counts since the last start."""
        assert self._meter is not None
        return self._meter
