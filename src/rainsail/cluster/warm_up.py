"""Tracks which runners are warming up, by the node's monotonic clock.

A runner that has just started or has been idle can handle fewer requests for a while. It reports
the remaining warm-up time with each heartbeat; between two heartbeats the time is counted down
here. Until a service's warm-up terms are known, none of its runners is limited.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from rainsail.cluster.messages import RunnerRecord


@dataclass(frozen=True, slots=True)
class WarmUpTerms:
    """Limits of a service's runners while they warm up.

    ``rate_per_s`` is the request rate of one runner per second (0: no limit), ``lasts_s`` the
    duration of a warm-up.
    """

    rate_per_s: float = 0.0
    lasts_s: float = 0.0


NO_TERMS = WarmUpTerms()


class WarmUpClock:
    """The end of each runner's warm-up, and the warm-up terms of each service."""

    def __init__(self, seconds: Callable[[], float]) -> None:
        """``seconds`` reads the monotonic clock."""
        self._seconds = seconds
        self._terms: Mapping[str, WarmUpTerms] = {}
        self._warm_at_s: dict[str, float] = {}
        self._assumed_cold_until_s: dict[str, float] = {}

    def set_terms(self, terms: Mapping[str, WarmUpTerms]) -> None:
        """Set the terms of all services, from the routing table."""
        self._terms = terms

    def terms(self, service: str) -> WarmUpTerms:
        """Return the terms of a service."""
        return self._terms.get(service, NO_TERMS)

    def note_report(self, record: RunnerRecord) -> None:
        """Apply a runner's report; while it is assumed cold, only a longer warm-up counts."""
        now = self._seconds()
        warm_at_s = now + record.warm_up_left_s
        presumed_s = self._assumed_cold_until_s.get(record.runner, now)
        self._warm_at_s[record.runner] = max(warm_at_s, presumed_s)

    def assume_cold(self, records: Iterable[RunnerRecord]) -> None:
        """Assume that runners warm up again: they may have gone cold after their last heartbeat."""
        now = self._seconds()
        for record in records:
            until_s = now + self.terms(record.service).lasts_s
            self._assumed_cold_until_s[record.runner] = until_s
            self._warm_at_s[record.runner] = max(until_s, self._warm_at_s.get(record.runner, now))

    def forget(self, runner: str) -> None:
        """Drop a runner that is no longer in the registry."""
        self._warm_at_s.pop(runner, None)
        self._assumed_cold_until_s.pop(runner, None)

    def left_s(self, runner: str) -> float:
        """Return the remaining warm-up time of a runner, 0 if it is warm."""
        return max(0.0, self._warm_at_s.get(runner, 0.0) - self._seconds())

    def is_limited(self, record: RunnerRecord) -> bool:
        """Tell whether a runner may only get granted requests because it is warming up."""
        return self.terms(record.service).rate_per_s > 0 and self.left_s(record.runner) > 0
