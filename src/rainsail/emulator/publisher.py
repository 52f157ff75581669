"""Publishes an engine's load reports with a lag, and its cache events with delay and loss."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from rainsail.emulator.prefix_cache import CacheChange
from rainsail.emulator.settings import EngineSettings
from rainsail.engine.interface import CacheEvent, CacheEventKind, LoadReport
from rainsail.runtime.clock import Clock


@dataclass(frozen=True, slots=True, eq=False)
class _Subscriber:
    on_load: Callable[[LoadReport], None]
    on_cache: Callable[[CacheEvent], None]


@dataclass(frozen=True, slots=True)
class _PendingEvent:
    due_s: float
    kind: CacheEventKind
    blocks: tuple[int, ...]


class EventPublisher:
    """Delivers load reports and cache changes to subscribers after the configured delays.

    ``measure`` returns the current load report, ``list_blocks`` the cached blocks. Timers run
    only while there are subscribers. A full listing (CLEARED, then STORED) goes to a new
    subscriber at once and to all subscribers periodically, to repair views that missed events.
    """

    def __init__(
        self,
        runner: str,
        incarnation: str,
        clock: Clock,
        random: Random,
        settings: EngineSettings,
        measure: Callable[[], LoadReport],
        list_blocks: Callable[[], tuple[int, ...]],
    ) -> None:
        self._runner = runner
        self._incarnation = incarnation
        self._clock = clock
        self._random = random
        self._settings = settings
        self._measure = measure
        self._list_blocks = list_blocks
        self._subscribers: list[_Subscriber] = []
        self._next_event = 0
        self._pending: deque[_PendingEvent] = deque()
        self._timers: dict[str, Any] = {}
        self._closed = False

    def subscribe(
        self,
        on_load: Callable[[LoadReport], None],
        on_cache: Callable[[CacheEvent], None],
    ) -> Callable[[], None]:
        """Add a subscriber; the returned function removes it."""
        subscriber = _Subscriber(on_load, on_cache)
        self._subscribers.append(subscriber)
        self._start("load", self._settings.load_report_period_s, self._report)
        self._start("listing", self._settings.cache_listing_period_s, self._list_all)
        for event in self._listing():
            on_cache(event)
        self._clock.callLater(
            self._settings.load_report_lag_s, self._deliver_report, self._measure(), (subscriber,)
        )

        def unsubscribe() -> None:
            self._subscribers = [each for each in self._subscribers if each is not subscriber]

        return unsubscribe

    def cache_changed(self, change: CacheChange) -> None:
        """Queue the events for a change of the prefix cache."""
        if change.evicted:
            self._queue(CacheEventKind.EVICTED, change.evicted)
        if change.stored:
            self._queue(CacheEventKind.STORED, change.stored)

    def cache_cleared(self) -> None:
        """Queue the event for a cleared prefix cache."""
        self._queue(CacheEventKind.CLEARED, ())

    def close(self) -> None:
        """Stop permanently; queued events and reports are not delivered."""
        self._closed = True
        self._subscribers = []
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()
        self._timers = {}

    def _queue(self, kind: CacheEventKind, blocks: tuple[int, ...]) -> None:
        if self._closed or not self._subscribers:
            return
        due_s = self._clock.seconds() + self._settings.cache_event_delay_s
        self._pending.append(_PendingEvent(due_s, kind, blocks))
        self._start("events", self._settings.cache_event_delay_s, self._flush)

    def _start(self, name: str, delay_s: float, call: Callable[[], None]) -> None:
        if name not in self._timers:
            self._timers[name] = self._clock.callLater(delay_s, call)

    def _report(self) -> None:
        del self._timers["load"]
        if not self._subscribers:
            return
        self._start("load", self._settings.load_report_period_s, self._report)
        self._clock.callLater(
            self._settings.load_report_lag_s,
            self._deliver_report,
            self._measure(),
            tuple(self._subscribers),
        )

    def _deliver_report(self, report: LoadReport, subscribers: tuple[_Subscriber, ...]) -> None:
        for subscriber in subscribers:
            if subscriber in self._subscribers:
                subscriber.on_load(report)

    def _flush(self) -> None:
        del self._timers["events"]
        while self._pending and self._pending[0].due_s <= self._clock.seconds():
            self._deliver(self._pending.popleft())
        if self._pending:
            wait_s = self._pending[0].due_s - self._clock.seconds()
            self._start("events", wait_s, self._flush)

    def _deliver(self, pending: _PendingEvent) -> None:
        event = self._event(pending.kind, pending.blocks)
        if self._random.random() < self._settings.cache_event_loss:
            return
        for subscriber in list(self._subscribers):
            subscriber.on_cache(event)

    def _list_all(self) -> None:
        del self._timers["listing"]
        if not self._subscribers:
            return
        self._start("listing", self._settings.cache_listing_period_s, self._list_all)
        self._pending.clear()
        for event in self._listing():
            for subscriber in list(self._subscribers):
                subscriber.on_cache(event)

    def _listing(self) -> tuple[CacheEvent, ...]:
        cleared = self._event(CacheEventKind.CLEARED, ())
        blocks = self._list_blocks()
        if not blocks:
            return (cleared,)
        return (cleared, self._event(CacheEventKind.STORED, blocks))

    def _event(self, kind: CacheEventKind, blocks: tuple[int, ...]) -> CacheEvent:
        sequence = self._next_event
        self._next_event += 1
        return CacheEvent(self._runner, self._incarnation, sequence, kind, blocks)
