"""Chooses the service of a split route for each request, by weight."""

from random import Random

from rainsail.relay.table import Route


class WeightedServicePicker:
    """Smooth weighted round-robin per route, with random initial credits so that nodes differ."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._credit: dict[tuple[str, str], float] = {}

    def service(self, route: Route) -> str:
        """Return the service for the next request on a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        best = ""
        best_credit = float("-inf")
        for share in route.shares:
            key = (route.name, share.service)
            if key not in self._credit:
                self._credit[key] = self._random.random() * total
            self._credit[key] += share.weight
            if share.weight > 0 and self._credit[key] > best_credit:
                best, best_credit = share.service, self._credit[key]
        self._credit[(route.name, best)] -= total
        return best
