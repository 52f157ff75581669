"""Maintains one subscription to an engine's load reports and cache events."""

from collections.abc import Callable
from random import Random
from typing import Any

from rainsail.engine.interface import CacheEvent, EngineClient, LoadReport
from rainsail.errors import Fault
from rainsail.gateway.settings import FleetSettings
from rainsail.runtime.clock import Clock


class EngineFeed:
    """Subscribes, and subscribes again with jittered backoff when the subscription is lost."""

    def __init__(
        self,
        address: str,
        engine: EngineClient,
        clock: Clock,
        random: Random,
        settings: FleetSettings,
        on_load: Callable[[LoadReport], None],
        on_cache: Callable[[CacheEvent], None],
        on_lost: Callable[[], None],
    ) -> None:
        self.address = address
        self._engine = engine
        self._clock = clock
        self._random = random
        self._settings = settings
        self._on_load = on_load
        self._on_cache = on_cache
        self._on_lost = on_lost
        self._failures = 0
        self._subscription = 0
        self._opened_s = 0.0
        self._cancel: Callable[[], None] | None = None
        self._timer: Any = None

    def start(self) -> None:
        """Open the subscription."""
        self._timer = None
        self._subscription += 1
        self._opened_s = self._clock.seconds()
        number = self._subscription

        def on_load_report(report: LoadReport) -> None:
            if number == self._subscription:
                self._failures = 0
                self._on_load(report)

        def on_cache_event(event: CacheEvent) -> None:
            if number == self._subscription:
                self._on_cache(event)

        def on_loss(fault: Fault) -> None:
            if number == self._subscription:
                self._lost()

        self._cancel = self._engine.subscribe(self.address, on_load_report, on_cache_event, on_loss)

    def _lost(self) -> None:
        self._subscription += 1
        self._cancel = None
        self._failures += 1
        self._on_lost()
        base_s = self._settings.resubscribe_base_s * 2.0 ** min(self._failures - 1, 10)
        delay_s = min(base_s, self._settings.resubscribe_limit_s)
        delay_s *= 0.5 + self._random.random()
        self._timer = self._clock.callLater(delay_s, self.start)

    def renew_when_older(self, age_s: float) -> None:
        """Replace the subscription if it has been open for at least ``age_s`` seconds."""
        if self._cancel is None or self._clock.seconds() - self._opened_s < age_s:
            return
        self._subscription += 1
        self._cancel()
        self._cancel = None
        self._on_lost()
        self.start()

    def stop(self) -> None:
        """Close the subscription for good."""
        self._subscription += 1
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._cancel is not None:
            self._cancel()
            self._cancel = None
