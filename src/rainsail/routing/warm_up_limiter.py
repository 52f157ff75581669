"""Limits how many requests runners get that warm up, over all gateways and items. Pure.

The ledger's leader grants each of these sends, so that one process at a time counts them. In any
second a runner that warms up must get at most ``rate x overshoot + slack`` requests. Each has a
token bucket that keeps to this bound although a grant is used a little later than it is made, and
once in a while much later, by a process that was suspended in between. A warm runner gets no more
than the bound either: it may have gone cold before anybody hears of it.
"""

from collections import deque
from dataclasses import dataclass, field

from rainsail.cluster.messages import RunnerRecord
from rainsail.cluster.warm_up import WarmUpClock
from rainsail.routing.token_bucket import TokenBucket

WINDOW_S = 1.0
"""The bound holds for any time of this length; part of the operator's contract."""
GRANT_USED_WITHIN_S = 0.35
"""From a grant to the send at most.

The sum of two timeouts: 0.04 s for the answer to the gateway, 0.3 s for a new connection.
"""
HELD_BACK = 2
"""Requests below the bound that stay free for sends of processes that were suspended.

Not measured by itself; with it simulated fleets stayed 3.5 to 4.5 requests below the bound
(docs/design/warm_up.md).
"""
LEAST_SHARE_OF_BOUND = 0.5
"""A rate above this share of the bound leaves no room for a burst, and is lowered to it.

Not measured; chosen so that about a third of the bound is left as a burst.
"""


@dataclass(frozen=True, slots=True)
class WarmUpBound:
    """The operator's bound: in any second ``rate x overshoot + slack`` requests."""

    overshoot: float = 1.0
    slack: float = 0.0

    def in_window(self, rate_per_s: float) -> float:
        """Return how many requests a second may hold."""
        return rate_per_s * self.overshoot + self.slack


@dataclass(slots=True)
class _Runner:
    rate_per_s: float
    bucket: TokenBucket | None
    sent_s: deque[float] = field(default_factory=deque)

    def recent(self, now: float) -> int:
        """Return how many sends were granted within the last window."""
        while self.sent_s and self.sent_s[0] < now - WINDOW_S:
            self.sent_s.popleft()
        return len(self.sent_s)


class WarmUpLimiter:
    """What each runner of a limited service was granted lately."""

    def __init__(self, bound: WarmUpBound, warm_ups: WarmUpClock) -> None:
        self._bound = bound
        self._warm_ups = warm_ups
        self._runners: dict[str, _Runner] = {}
        self._began_s = float("-inf")

    def begin(self, now: float) -> None:
        """Forget everything: another process may just have granted all that was there."""
        self._runners.clear()
        self._began_s = now

    def may_send(self, record: RunnerRecord, now: float) -> bool:
        """Tell whether a runner may get one more request now."""
        rate_per_s = self._warm_ups.terms(record.service).rate_per_s
        if rate_per_s <= 0:
            return True
        known = self._runner(record, rate_per_s, now)
        if known.bucket is not None:
            return known.bucket.wait_s(1.0, now) <= 0
        return known.recent(now) + 1 + HELD_BACK <= self._bound.in_window(rate_per_s)

    def sent(self, record: RunnerRecord, now: float) -> None:
        """Count a request that ``may_send`` has just allowed."""
        known = self._runners.get(record.runner)
        if known is None:
            return
        known.sent_s.append(now)
        if known.bucket is not None:
            known.bucket.take(1.0, now)

    def keep_only(self, runners: set[str]) -> None:
        """Forget runners that are not known any more."""
        for runner in self._runners.keys() - runners:
            del self._runners[runner]

    def _runner(self, record: RunnerRecord, rate_per_s: float, now: float) -> _Runner:
        """Return what was granted to a runner, by its present rate and warm-up."""
        warming = self._warm_ups.left_s(record.runner) > 0
        known = self._runners.get(record.runner)
        if known is None:
            known = self._runners[record.runner] = _Runner(rate_per_s, None)
            # Nobody has sent to a runner that was warming when it was first heard of.
            if warming and now - self._began_s > WINDOW_S + GRANT_USED_WITHIN_S:
                known.bucket = self._bucket(rate_per_s, now)
        if not warming:
            known.bucket = None
        elif known.bucket is None or known.rate_per_s != rate_per_s:
            # Others may have sent what they liked until they heard that it warms up.
            known.bucket = self._bucket(rate_per_s, now)
            known.bucket.take(known.bucket.burst, now)
        known.rate_per_s = rate_per_s
        return known

    def _bucket(self, rate_per_s: float, now: float) -> TokenBucket:
        """Return a full bucket that keeps to the bound however late its grants are used."""
        bound = self._bound.in_window(rate_per_s) - HELD_BACK
        rate = max(0.0, min(rate_per_s, LEAST_SHARE_OF_BOUND * bound))
        burst = max(1.0, bound - rate * (WINDOW_S + GRANT_USED_WITHIN_S))
        return TokenBucket(rate, burst, now)
