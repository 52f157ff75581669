"""Rate limit for runners that are warming up, over all gateways and batch items. Does no I/O.

The ledger's leader grants each send to such a runner, so that only one process counts them. In any
second a runner that is warming up may get at most ``rate x overshoot + slack`` requests. Each has a
token bucket that keeps this bound although a grant is used slightly later than it is made, and
sometimes much later, by a process that was suspended in between. A warm runner is held to the bound
as well: it may have gone cold before this process is notified.
"""

from collections import deque
from dataclasses import dataclass, field

from rainsail.cluster.messages import RunnerRecord
from rainsail.cluster.warm_up import WarmUpClock
from rainsail.routing.token_bucket import TokenBucket

WINDOW_S = 1.0
"""The bound holds for any window of this length, as the operator's settings define it."""
GRANT_USED_WITHIN_S = 0.35
"""Maximum time from a grant to the send.

The sum of two timeouts: 0.04 s for the reply to the gateway, 0.3 s for a new connection.
"""
RESERVED_SENDS = 2
"""Requests below the bound that are reserved for sends of processes that were suspended.

With it simulated fleets stayed 3.5 to 4.5 requests below the bound (docs/design/warm_up.md).
"""
MAX_RATE_SHARE_OF_BOUND = 0.5
"""A rate above this share of the bound is lowered to it, as it would leave no room for a burst.

About a third of the bound is then left for the burst.
"""


@dataclass(frozen=True, slots=True)
class WarmUpBound:
    """The operator's bound: at most ``rate x overshoot + slack`` requests in any second."""

    overshoot: float = 1.0
    slack: float = 0.0

    def in_window(self, rate_per_s: float) -> float:
        """Return the maximum number of requests in one second."""
        return rate_per_s * self.overshoot + self.slack


@dataclass(slots=True)
class _RunnerGrants:
    rate_per_s: float
    bucket: TokenBucket | None
    sent_s: deque[float] = field(default_factory=deque)

    def recent(self, now: float) -> int:
        """Return the number of sends granted within the last window."""
        while self.sent_s and self.sent_s[0] < now - WINDOW_S:
            self.sent_s.popleft()
        return len(self.sent_s)


class WarmUpLimiter:
    """Counts the recent grants to each runner of a service with a warm-up rate."""

    def __init__(self, bound: WarmUpBound, warm_ups: WarmUpClock) -> None:
        self._bound = bound
        self._warm_ups = warm_ups
        self._runners: dict[str, _RunnerGrants] = {}
        self._began_s = float("-inf")

    def begin(self, now: float) -> None:
        """Start a leadership without grants: the previous leader may have used up the bound."""
        self._runners.clear()
        self._began_s = now

    def may_send(self, record: RunnerRecord, now: float) -> bool:
        """Return whether a runner may get one more request now."""
        rate_per_s = self._warm_ups.terms(record.service).rate_per_s
        if rate_per_s <= 0:
            return True
        known = self._runner(record, rate_per_s, now)
        if known.bucket is not None:
            return known.bucket.wait_s(1.0, now) <= 0
        return known.recent(now) + 1 + RESERVED_SENDS <= self._bound.in_window(rate_per_s)

    def sent(self, record: RunnerRecord, now: float) -> None:
        """Count a send that ``may_send`` has just allowed."""
        known = self._runners.get(record.runner)
        if known is None:
            return
        known.sent_s.append(now)
        if known.bucket is not None:
            known.bucket.take(1.0, now)

    def keep_only(self, runners: set[str]) -> None:
        """Drop all other runners, which have left."""
        for runner in self._runners.keys() - runners:
            del self._runners[runner]

    def _runner(self, record: RunnerRecord, rate_per_s: float, now: float) -> _RunnerGrants:
        """Return the grants of a runner, with a bucket for its current rate if it is warming up."""
        warming = self._warm_ups.left_s(record.runner) > 0
        known = self._runners.get(record.runner)
        if known is None:
            known = self._runners[record.runner] = _RunnerGrants(rate_per_s, None)
            # A runner whose first heartbeat reports a warm-up has not been sent any request yet.
            if warming and now - self._began_s > WINDOW_S + GRANT_USED_WITHIN_S:
                known.bucket = self._bucket(rate_per_s, now)
        if not warming:
            known.bucket = None
        elif known.bucket is None or known.rate_per_s != rate_per_s:
            # Before they were notified of the warm-up, senders were not limited.
            known.bucket = self._bucket(rate_per_s, now)
            known.bucket.take(known.bucket.burst, now)
        known.rate_per_s = rate_per_s
        return known

    def _bucket(self, rate_per_s: float, now: float) -> TokenBucket:
        """Return a full bucket that keeps the bound even if grants are used late."""
        bound = self._bound.in_window(rate_per_s) - RESERVED_SENDS
        rate = max(0.0, min(rate_per_s, MAX_RATE_SHARE_OF_BOUND * bound))
        burst = max(1.0, bound - rate * (WINDOW_S + GRANT_USED_WITHIN_S))
        return TokenBucket(rate, burst, now)
