"""How long the latest requests of each route took, from their start here to their end."""

from collections import deque
from collections.abc import Collection
from statistics import median

KEPT = 64
"""Latest run times of a route. Enough for the longest of them to be near the longest there is."""


class RouteRunTimes:
    """Run times by route, in seconds."""

    def __init__(self) -> None:
        self._took_s: dict[str, deque[float]] = {}

    def add(self, route: str, took_s: float) -> None:
        """Add a request that was answered, or was under way until its deadline."""
        self._took_s.setdefault(route, deque(maxlen=KEPT)).append(took_s)

    def keep_only(self, routes: Collection[str]) -> None:
        """Drop the routes that the routing table no longer has."""
        for route in [each for each in self._took_s if each not in routes]:
            del self._took_s[route]

    def usual_s(self, route: str) -> float | None:
        """Return the time within which half of the requests end; None if there was none."""
        took_s = self._took_s.get(route)
        return median(took_s) if took_s else None

    def longest_s(self, route: str) -> float | None:
        """Return the time within which all of the requests ended; None if there was none."""
        took_s = self._took_s.get(route)
        return max(took_s) if took_s else None
