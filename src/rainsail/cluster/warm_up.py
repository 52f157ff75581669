"""Which runners warm up, by one node's steady clock.

A runner that has just started, or has lain idle, bears fewer requests for a while. It tells how
long it will still warm up with each heartbeat; the time runs on here between two heartbeats. Until
a service's terms are known none of its runners has a limit.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from rainsail.cluster.messages import RunnerRecord


@dataclass(frozen=True, slots=True)
class WarmUpTerms:
    """What a service's runners bear while they warm up.

    ``rate_per_s`` is the requests a second that one bears (0: it has no limit), ``lasts_s`` how
    long a warm-up takes.
    """

    rate_per_s: float = 0.0
    lasts_s: float = 0.0


NO_TERMS = WarmUpTerms()


class WarmUpClock:
    """Until when each runner warms up, and what that means for its service."""

    def __init__(self, seconds: Callable[[], float]) -> None:
        """``seconds`` reads the steady clock."""
        self._seconds = seconds
        self._terms: Mapping[str, WarmUpTerms] = {}
        self._warm_at_s: dict[str, float] = {}
        self._assumed_cold_until_s: dict[str, float] = {}

    def set_terms(self, terms: Mapping[str, WarmUpTerms]) -> None:
        """Take the terms of each service, as the routing table has them."""
        self._terms = terms

    def terms(self, service: str) -> WarmUpTerms:
        """Return the terms of a service."""
        return self._terms.get(service, NO_TERMS)

    def note_report(self, record: RunnerRecord) -> None:
        """Take a runner's own report; while it is presumed to warm up only a longer time counts."""
        now = self._seconds()
        warm_at_s = now + record.warm_up_left_s
        presumed_s = self._assumed_cold_until_s.get(record.runner, now)
        self._warm_at_s[record.runner] = max(warm_at_s, presumed_s)

    def assume_cold(self, records: Iterable[RunnerRecord]) -> None:
        """Take runners as warming up anew: they may have gone cold after their last heartbeat."""
        now = self._seconds()
        for record in records:
            until_s = now + self.terms(record.service).lasts_s
            self._assumed_cold_until_s[record.runner] = until_s
            self._warm_at_s[record.runner] = max(until_s, self._warm_at_s.get(record.runner, now))

    def forget(self, runner: str) -> None:
        """Drop a runner that is not kept any more."""
        self._warm_at_s.pop(runner, None)
        self._assumed_cold_until_s.pop(runner, None)

    def left_s(self, runner: str) -> float:
        """Return how much longer a runner warms up, 0 when it is warm."""
        return max(0.0, self._warm_at_s.get(runner, 0.0) - self._seconds())

    def is_limited(self, record: RunnerRecord) -> bool:
        """Tell whether a runner may only get what is granted, since it warms up."""
        return self.terms(record.service).rate_per_s > 0 and self.left_s(record.runner) > 0
