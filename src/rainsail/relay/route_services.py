"""The services that each route has had lately, as far as one node knows. Pure.

A stream may have begun at any of them. So a stream of unknown origin has only one possible service
where the route has had no other one for as long as streams may be resumed.
"""

from collections.abc import Iterable

from rainsail.cluster.registry import GONE_VERSION_TTL_S
from rainsail.relay.table import Route

RouteKey = tuple[str, str]
"""Host and path prefix, which tell clients' requests apart; names of routes may change."""


class RouteServices:
    """When each route last had each service with a weight, by the tables that were in force."""

    def __init__(self) -> None:
        self._last_s: dict[RouteKey, dict[str, float]] = {}
        self._in_force: dict[RouteKey, frozenset[str]] = {}

    def put_in_force(self, routes: Iterable[Route], now: float) -> None:
        """Note the services of the former table, and those of the one that replaces it."""
        for key, services in self._in_force.items():
            for service in services:
                self._last_s.setdefault(key, {})[service] = now
        self._in_force = {_key(route): _weighted(route) for route in routes}
        self._drop_expired(now)

    def possible(self, route: Route, now: float) -> frozenset[str]:
        """Return the services at which a stream of a route may have begun."""
        former = {
            service
            for service, last_s in self._last_s.get(_key(route), {}).items()
            if now - last_s <= GONE_VERSION_TTL_S
        }
        return _weighted(route) | former

    def _drop_expired(self, now: float) -> None:
        for key, services in list(self._last_s.items()):
            kept = {each: at for each, at in services.items() if now - at <= GONE_VERSION_TTL_S}
            if kept:
                self._last_s[key] = kept
            else:
                del self._last_s[key]


def _key(route: Route) -> RouteKey:
    return route.host.lower(), route.prefix


def _weighted(route: Route) -> frozenset[str]:
    return frozenset(share.service for share in route.shares if share.weight > 0)
