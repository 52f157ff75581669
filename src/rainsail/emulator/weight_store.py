"""The emulated weight store: all loads in progress share one byte rate equally."""

from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, succeed

from rainsail.emulator.settings import WeightStoreSettings
from rainsail.runtime.clock import Clock

_BYTES_DONE = 0.5
"""A load with fewer bytes left is complete; this absorbs rounding errors."""


@dataclass(slots=True, eq=False)
class _Load:
    remaining_bytes: float
    done: "Deferred[None]"


class WeightStore:
    """Fetches weights; concurrent loads share the rate."""

    def __init__(self, clock: Clock, settings: WeightStoreSettings | None = None) -> None:
        self._clock = clock
        self._settings = settings or WeightStoreSettings()
        self._loads: list[_Load] = []
        self._progress_at_s = clock.seconds()
        self._timer: Any = None
        self._divisor = 1.0

    @property
    def loads_under_way(self) -> int:
        """The number of loads in progress."""
        return len(self._loads)

    def slow_down(self, divisor: float) -> None:
        """Divide the configured rate by ``divisor`` from now on (1.0: the full rate again)."""
        self._update_progress()
        self._divisor = divisor
        self._schedule()

    def fetch(self, weight_bytes: int) -> "Deferred[None]":
        """Load ``weight_bytes``; the result fires on completion and can be cancelled."""
        if weight_bytes <= 0:
            return succeed(None)
        self._update_progress()
        load = _Load(float(weight_bytes), Deferred(self._remove_cancelled))
        self._loads.append(load)
        self._schedule()
        return load.done

    def _remove_cancelled(self, done: "Deferred[None]") -> None:
        self._update_progress()
        self._loads = [load for load in self._loads if load.done is not done]
        self._schedule()

    def _update_progress(self) -> None:
        now = self._clock.seconds()
        if self._loads:
            rate = self._rate() / len(self._loads)
            for load in self._loads:
                load.remaining_bytes -= (now - self._progress_at_s) * rate
        self._progress_at_s = now

    def _schedule(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if not self._loads:
            return
        least = max(0.0, min(load.remaining_bytes for load in self._loads))
        delay_s = least * len(self._loads) / self._rate()
        self._timer = self._clock.callLater(delay_s, self._finish_due)

    def _rate(self) -> float:
        return self._settings.bytes_per_second / self._divisor

    def _finish_due(self) -> None:
        self._update_progress()
        finished = [load for load in self._loads if load.remaining_bytes <= _BYTES_DONE]
        self._loads = [load for load in self._loads if load.remaining_bytes > _BYTES_DONE]
        self._schedule()
        for load in finished:
            load.done.callback(None)
