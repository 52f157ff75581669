"""Assigns runners to gateways by rendezvous hashing over the live gateways.

Every gateway computes the same owner from the same configuration. When a gateway is added or
removed, only the runners that it gains or loses change their owner.
"""

from collections.abc import Iterable

import xxhash

from rainsail.resources.specs import GatewaySpec, Resource


class LiveGateways:
    """The gateways that may own runners, by zone."""

    def __init__(self, resources: Iterable[Resource] = ()) -> None:
        self._by_zone: dict[str, list[str]] = {}
        self._all: list[str] = []
        for resource in resources:
            spec = resource.spec
            if isinstance(spec, GatewaySpec) and not spec.drain:
                self._by_zone.setdefault(spec.zone, []).append(resource.key.name)
                self._all.append(resource.key.name)

    def of_zone(self, zone: str) -> list[str]:
        """Return the gateways that may own runners of ``zone``.

        These are the zone's gateways that are not draining, or those of all zones if it has none.
        """
        return self._by_zone.get(zone) or self._all

    def serves(self, zone: str) -> bool:
        """Return whether a zone has live gateways of its own."""
        return zone in self._by_zone

    def zones(self) -> list[str]:
        """Return the zones with live gateways, sorted."""
        return sorted(self._by_zone)


def rendezvous_owner(item: str, candidates: Iterable[str]) -> str:
    """Return the candidate with the highest hash for ``item``, or an empty string."""
    best = ""
    best_weight = -1
    for candidate in candidates:
        weight = xxhash.xxh3_64_intdigest(f"{candidate}/{item}".encode())
        if (weight, candidate) > (best_weight, best):
            best, best_weight = candidate, weight
    return best


class Ownership:
    """The runners that one gateway owns."""

    def __init__(self, gateway: str) -> None:
        self._gateway = gateway
        self.live = LiveGateways()

    def update(self, resources: Iterable[Resource]) -> LiveGateways:
        """Replace the known gateways by ``resources``; return the live ones."""
        self.live = LiveGateways(resources)
        return self.live

    def owns(self, runner: str, zone: str) -> bool:
        """Return whether this gateway owns a runner."""
        return rendezvous_owner(runner, self.live.of_zone(zone)) == self._gateway

    def owns_elsewhere(self, runner: str, zone: str) -> bool:
        """Return whether it owns a runner because the runner's zone has no live gateway."""
        return not self.live.serves(zone) and self.owns(runner, zone)
