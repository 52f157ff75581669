"""The ledger leader's count of online requests in flight at each runner. Does no I/O.

Adds up the last report of each gateway and the placements made since. A placement counts from the
moment it is made until a report of its gateway includes it, so that concurrent requests are not
all sent to the same runner.
"""

from collections import deque
from dataclasses import dataclass

from rainsail.routing.messages import OnlineUse

GATEWAY_TTL_S = 15.0
"""A gateway that has not reported for this long is dropped.

Longer than most requests: a gateway reports whenever a request ends.
"""
PLACEMENT_TTL_S = 0.5
"""A placement that no report has confirmed by then was not used, or its reply was lost.

Well above the 0.04 s that a gateway waits for a placement plus the 0.02 s until it reports.
"""


@dataclass(frozen=True, slots=True)
class _Placed:
    number: int
    runner: str
    at_s: float


class OnlineUseTracker:
    """Sums over gateways; each report of a gateway replaces its previous one."""

    def __init__(self) -> None:
        self._by_gateway: dict[str, dict[str, int]] = {}
        self._totals: dict[str, int] = {}
        self._placed: dict[str, deque[_Placed]] = {}
        self._reported_s: dict[str, float] = {}
        self._last_number = 0

    def take(self, gateway: str, message: OnlineUse, now: float = 0.0) -> None:
        """Replace a gateway's previous report, and the placements that the new one includes."""
        self._reported_s[gateway] = now
        for runner, count in self._by_gateway.get(gateway, {}).items():
            self._add(runner, -count)
        uses = {use.runner: use.running for use in message.uses}
        self._by_gateway[gateway] = uses
        for runner, count in uses.items():
            self._add(runner, count)
        placed = self._placed.get(gateway)
        while placed and placed[0].number <= message.seen:
            self._add(placed.popleft().runner, -1)

    def place(self, gateway: str, runner: str, now: float) -> int:
        """Count a request that a gateway will send to a runner; return the placement's number."""
        self._last_number += 1
        placed = _Placed(self._last_number, runner, now)
        self._placed.setdefault(gateway, deque()).append(placed)
        self._add(runner, 1)
        return placed.number

    def expire(self, now: float) -> None:
        """Drop placements that were not confirmed in time, and gateways that stopped reporting."""
        for gateway, reported_s in list(self._reported_s.items()):
            if now - reported_s > GATEWAY_TTL_S:
                self.forget(gateway)
        for placed in self._placed.values():
            while placed and now - placed[0].at_s > PLACEMENT_TTL_S:
                self._add(placed.popleft().runner, -1)

    def _add(self, runner: str, count: int) -> None:
        self._totals[runner] = self._totals.get(runner, 0) + count

    def gateways(self) -> tuple[str, ...]:
        """Return the gateways that have reported."""
        return tuple(self._by_gateway)

    @property
    def heard_any(self) -> bool:
        """Whether any gateway has reported."""
        return bool(self._by_gateway)

    def clear(self) -> None:
        """Drop all counts: reports from before this node's leadership are out of date."""
        self._by_gateway.clear()
        self._reported_s.clear()
        self._totals.clear()
        self._placed.clear()

    def forget(self, gateway: str) -> None:
        """Drop a gateway that has left."""
        self.take(gateway, OnlineUse((), self._last_number))
        del self._by_gateway[gateway], self._reported_s[gateway]

    def running(self, runner: str) -> int:
        """Return the requests in flight at a runner."""
        return max(0, self._totals.get(runner, 0))

    def of_gateway(self, gateway: str) -> dict[str, int]:
        """Return a gateway's requests in flight by runner, from its last report."""
        return self._by_gateway.get(gateway, {})
