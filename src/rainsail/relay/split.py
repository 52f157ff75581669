"""Which service of a split route gets the next request: by weight, evenly over time."""

from random import Random

from rainsail.relay.table import Route


class WeightedServicePicker:
    """Smooth weighted round-robin for each route, begun at random so that nodes differ."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._credit: dict[tuple[str, str], float] = {}

    def service(self, route: Route) -> str:
        """Return the service whose turn it is."""
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
