"""Selects the runners a gateway follows: its zone's, those it owns, a sample of the others.

To follow a runner means to subscribe to its engine's load reports and cache events. If every
gateway followed every runner, the number of subscriptions would be runners times gateways. A
sample of other zones' runners is enough for routing, because two random choices from a sample
perform like two from the whole fleet. The sample is selected by hash: it differs between gateways,
survives restarts and changes little when runners are added or removed.
"""

import xxhash


def sample_mask(runners: int, limit: int) -> int:
    """Return a hash mask that selects at most about ``limit`` of ``runners`` runners. Pure."""
    bits = 0
    while runners >> bits > limit:
        bits += 1
    return (1 << bits) - 1


class FollowedRunners:
    """Selection of one gateway; stores only the names of other zones' runners."""

    def __init__(self, gateway: str, zone: str, sample_limit: int, on_demand_limit: int) -> None:
        self._gateway = gateway
        self._zone = zone
        self._sample_limit = sample_limit
        self._on_demand_limit = on_demand_limit
        self._others: dict[str, None] = {}
        self._on_demand: dict[str, None] = {}
        self._mask = 0

    def add(self, runner: str, zone: str) -> bool:
        """Add a runner; return whether the sample has changed and must be selected again."""
        if zone == self._zone:
            self._others.pop(runner, None)
        else:
            self._others[runner] = None
        return self._update_mask()

    def remove(self, runner: str) -> bool:
        """Remove a runner; return whether the sample has changed and must be selected again."""
        self._others.pop(runner, None)
        self._on_demand.pop(runner, None)
        return self._update_mask()

    def follow_on_demand(self, runner: str) -> str:
        """Follow a runner on demand; return the runner evicted for it, or an empty string."""
        self._on_demand.pop(runner, None)
        self._on_demand[runner] = None
        if len(self._on_demand) <= self._on_demand_limit:
            return ""
        oldest = next(iter(self._on_demand))
        del self._on_demand[oldest]
        return oldest

    def follows(self, runner: str, zone: str, owned: bool) -> bool:
        """Return whether a runner is to be followed."""
        if owned or zone == self._zone or runner in self._on_demand:
            return True
        return self._hash(runner) & self._mask == 0

    def _hash(self, runner: str) -> int:
        return xxhash.xxh3_64_intdigest(f"sample/{self._gateway}/{runner}".encode())

    def _update_mask(self) -> bool:
        mask = sample_mask(len(self._others), self._sample_limit)
        changed = mask != self._mask
        self._mask = mask
        return changed
