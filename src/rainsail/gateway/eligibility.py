"""Selects the runners that may get a request: usable, with the right role and adapter."""

from collections.abc import Sequence
from dataclasses import dataclass

from rainsail.gateway import runner_state
from rainsail.gateway.admission_queues import Slots
from rainsail.gateway.runner_state import ObservedRunner
from rainsail.resources.specs import RunnerRole

CACHE_PERIOD_S = 0.05
"""Seconds for which a cached list of eligible runners is valid unless it is invalidated.

It bounds the delay until the end of an ejection or a missing load report takes effect, because
neither invalidates the cache.
"""
SLOTS_PERIOD_S = 0.01
"""Seconds for which a cached slot count is valid.

Within this time only the estimate of other gateways' load changes.
"""


@dataclass(frozen=True, slots=True)
class EligibleRunners:
    """Runners that may get a request, split into the gateway's own zone and all other zones."""

    local: tuple[ObservedRunner, ...]
    remote: tuple[ObservedRunner, ...]

    def __len__(self) -> int:
        return len(self.local) + len(self.remote)

    def without(self, excluded: Sequence[str]) -> "EligibleRunners":
        """Return the runners that are not in ``excluded``; all of them when none is left."""
        if not excluded:
            return self
        fresh = EligibleRunners(
            tuple(state for state in self.local if state.name not in excluded),
            tuple(state for state in self.remote if state.name not in excluded),
        )
        return fresh if len(fresh) else self


def eligible_runners(
    states: Sequence[ObservedRunner], now_s: float, batch: bool, adapter: str = ""
) -> list[ObservedRunner]:
    """Return the runners that may get new work of a class and adapter. Pure."""
    excluded_role = RunnerRole.ONLINE_ONLY if batch else RunnerRole.BATCH_ONLY
    return [
        state
        for state in states
        if state.spec.role != excluded_role
        and runner_state.takes_new_work(state, now_s)
        and (not adapter or has_adapter(state, adapter))
    ]


def has_adapter(state: ObservedRunner, adapter: str) -> bool:
    """Return whether a runner has an adapter loaded, by its last report or else its status."""
    adapters = state.report.adapters if state.report else state.status.adapters
    return adapter in adapters


def by_zone(states: Sequence[ObservedRunner], zone: str) -> EligibleRunners:
    """Split runners into those in ``zone`` and all others."""
    return EligibleRunners(
        tuple(state for state in states if state.spec.zone == zone),
        tuple(state for state in states if state.spec.zone != zone),
    )


@dataclass(frozen=True, slots=True)
class _Entry:
    version: int
    computed_s: float
    runners: EligibleRunners


class EligibleCache:
    """Caches lists of eligible runners until they are invalidated or ``CACHE_PERIOD_S`` old."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._version = 0
        self._entries: dict[tuple[str, bool, str], _Entry] = {}

    def invalidate(self) -> None:
        """Drop all cached lists, because some runner may have become usable or unusable."""
        self._version += 1

    def get(
        self,
        states: Sequence[ObservedRunner],
        service: str,
        now_s: float,
        batch: bool,
        adapter: str,
    ) -> EligibleRunners:
        """Return the eligible runners of a service, from the cache when it is still valid."""
        key = (service, batch, adapter)
        entry = self._entries.get(key)
        if (
            entry is not None
            and entry.version == self._version
            and now_s - entry.computed_s < CACHE_PERIOD_S
        ):
            return entry.runners
        runners = by_zone(eligible_runners(states, now_s, batch, adapter), self._zone)
        self._entries[key] = _Entry(self._version, now_s, runners)
        return runners


def online_slots(runners: EligibleRunners, now_s: float, slots_per_runner: float) -> Slots:
    """Return the online slots of these runners and the estimate held by other gateways. Pure."""
    total = 0.0
    others = 0.0
    for state in (*runners.local, *runners.remote):
        slots = max(1.0, state.spec.batch_slots * slots_per_runner)
        total += slots
        others += min(slots, state.foreign_online(now_s))
    return Slots(total, others)


class SlotCounts:
    """Caches the online slots per service for ``SLOTS_PERIOD_S`` or until the runners change."""

    def __init__(self, slots_per_runner: float) -> None:
        self._slots_per_runner = slots_per_runner
        self._counts: dict[str, tuple[EligibleRunners, float, Slots]] = {}

    def get(self, service: str, runners: EligibleRunners, now_s: float) -> Slots:
        """Return the slots of these runners, from the cache when the runners are the same."""
        counted = self._counts.get(service)
        if counted is not None and counted[0] is runners and now_s - counted[1] < SLOTS_PERIOD_S:
            return counted[2]
        slots = online_slots(runners, now_s, self._slots_per_runner)
        self._counts[service] = (runners, now_s, slots)
        return slots
