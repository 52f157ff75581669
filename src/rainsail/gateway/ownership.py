"""Which gateway owns a runner: rendezvous hashing over the live gateways.

Every gateway computes the same owner from the same configuration; when a gateway comes or
goes, only its own runners change hands.
"""

from collections.abc import Iterable

import xxhash

from rainsail.resources.specs import GatewaySpec, Resource


def live_gateways(resources: Iterable[Resource], zone: str) -> list[str]:
    """Return the names of the gateways that may own runners of ``zone``.

    Gateways of the zone that are not draining; when there are none, those of all zones.
    """
    specs = [(each.key.name, each.spec) for each in resources]
    live = [(name, spec) for name, spec in specs if isinstance(spec, GatewaySpec)]
    live = [(name, spec) for name, spec in live if not spec.drain]
    local = [name for name, spec in live if spec.zone == zone]
    return local or [name for name, _ in live]


def rendezvous_owner(item: str, candidates: Iterable[str]) -> str:
    """Return the candidate with the highest hash for ``item`` (empty when there is none)."""
    best = ""
    best_weight = -1
    for candidate in candidates:
        weight = xxhash.xxh3_64_intdigest(f"{candidate}/{item}".encode())
        if (weight, candidate) > (best_weight, best):
            best, best_weight = candidate, weight
    return best
