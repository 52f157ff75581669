"""The online requests under way at each runner, as the ledger's leader knows them. Pure.

Adds up the last report of each gateway and the placements made since. A placement counts from the
moment it is made until its gateway's next report that knows of it, so that requests which come at
the same time are not all sent to the same runner.
"""

from collections import deque
from dataclasses import dataclass

from rainsail.routing.messages import OnlineUse

GATEWAY_FORGOTTEN_AFTER_S = 15.0
"""A gateway that has not reported for so long is dropped.

Not measured; a gateway reports whenever something ends, and chosen to be longer than most requests.
"""
PLACEMENT_KEPT_S = 0.5
"""A placement that no report has confirmed by then was not used, or its answer was lost.

Not measured; chosen well above the 0.04 s that a gateway waits for it and the 0.02 s to its report.
"""


@dataclass(frozen=True, slots=True)
class _Placed:
    number: int
    runner: str
    at_s: float


class OnlineUseTracker:
    """Sums over gateways; each report of a gateway replaces its last."""

    def __init__(self) -> None:
        self._by_gateway: dict[str, dict[str, int]] = {}
        self._totals: dict[str, int] = {}
        self._placed: dict[str, deque[_Placed]] = {}
        self._heard_s: dict[str, float] = {}
        self._last_number = 0

    def take(self, gateway: str, message: OnlineUse, now: float = 0.0) -> None:
        """Take a gateway's report in place of its last one and of the placements that it knows."""
        self._heard_s[gateway] = now
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
        """Count a request that a gateway is to send to a runner; return the placement's number."""
        self._last_number += 1
        placed = _Placed(self._last_number, runner, now)
        self._placed.setdefault(gateway, deque()).append(placed)
        self._add(runner, 1)
        return placed.number

    def expire(self, now: float) -> None:
        """Forget placements that no report has confirmed in time, and gateways that are gone."""
        for gateway, heard_s in list(self._heard_s.items()):
            if now - heard_s > GATEWAY_FORGOTTEN_AFTER_S:
                self.forget(gateway)
        for placed in self._placed.values():
            while placed and now - placed[0].at_s > PLACEMENT_KEPT_S:
                self._add(placed.popleft().runner, -1)

    def _add(self, runner: str, count: int) -> None:
        self._totals[runner] = self._totals.get(runner, 0) + count

    def gateways(self) -> tuple[str, ...]:
        """Return the gateways that have reported."""
        return tuple(self._by_gateway)

    @property
    def heard_any(self) -> bool:
        """Tell whether some gateway has reported what it has under way."""
        return bool(self._by_gateway)

    def clear(self) -> None:
        """Forget everything: what was reported before this node led is out of date."""
        self._by_gateway.clear()
        self._heard_s.clear()
        self._totals.clear()
        self._placed.clear()

    def forget(self, gateway: str) -> None:
        """Drop a gateway that is gone."""
        self.take(gateway, OnlineUse((), self._last_number))
        del self._by_gateway[gateway], self._heard_s[gateway]

    def running(self, runner: str) -> int:
        """Return the requests under way at a runner."""
        return max(0, self._totals.get(runner, 0))

    def of_gateway(self, gateway: str) -> dict[str, int]:
        """Return what a gateway has under way by runner, as it last reported."""
        return self._by_gateway.get(gateway, {})
