"""The lent shares of one tenant's rate, with running sums.

The sums make the cost of a lend independent of the number of gateways. All grants have the same
duration, so they expire in the order in which they were made.
"""

from collections import deque
from dataclasses import dataclass

RESUM_PERIOD = 1024
"""Changes after which the running sums are recomputed, so that rounding errors do not build up."""


@dataclass(frozen=True, slots=True)
class Grant:
    """A lent rate in tokens per second, and when it has expired for certain (leader's clock)."""

    tokens_per_second: float
    expires_s: float


@dataclass(slots=True)
class GatewayShare:
    """The grants that one gateway may hold of a tenant's rate, and its demand in tokens per second.

    A reply may be lost, so a smaller grant replaces a larger one only after the larger has expired.
    """

    grants: list[Grant]
    demand: float

    def outstanding(self) -> float:
        """Return the highest rate that the gateway may be using."""
        return max((grant.tokens_per_second for grant in self.grants), default=0.0)

    def drop_expired(self, now_s: float) -> None:
        """Drop the grants that have expired."""
        self.grants = [grant for grant in self.grants if grant.expires_s > now_s]

    def add(self, grant: Grant) -> None:
        """Record a grant; it replaces earlier ones that are not larger."""
        self.grants = [
            each for each in self.grants if each.tokens_per_second > grant.tokens_per_second
        ]
        self.grants.append(grant)


class TenantShares:
    """All gateways' shares of one tenant's rate."""

    def __init__(self) -> None:
        self._shares: dict[str, GatewayShare] = {}
        self._expiries: deque[tuple[float, str]] = deque()
        self._outstanding = 0.0
        self._demand = 0.0
        self._changes = 0

    def drop_expired(self, now_s: float) -> None:
        """Drop expired grants, and gateways without grants."""
        while self._expiries and self._expiries[0][0] <= now_s:
            _, gateway = self._expiries.popleft()
            share = self._shares.get(gateway)
            if share is not None:
                self._drop_expired_of(gateway, share, now_s)

    def _drop_expired_of(self, gateway: str, share: GatewayShare, now_s: float) -> None:
        before = share.outstanding()
        share.drop_expired(now_s)
        self._outstanding += share.outstanding() - before
        if not share.grants:
            self._demand -= share.demand
            del self._shares[gateway]

    def demand_of(self, gateway: str) -> float | None:
        """Return a gateway's last recorded demand, None when it is unknown."""
        share = self._shares.get(gateway)
        return None if share is None else share.demand

    def note_demand(self, gateway: str, demand: float) -> None:
        """Set a gateway's demand; a new gateway starts without grants."""
        share = self._shares.setdefault(gateway, GatewayShare([], 0.0))
        self._demand += demand - share.demand
        share.demand = demand

    def others_hold(self, gateway: str) -> float:
        """Return the rate that all other gateways may be using."""
        return max(0.0, self._outstanding - self._shares[gateway].outstanding())

    def others_demand(self, gateway: str) -> float:
        """Return the demand of all other gateways."""
        return max(0.0, self._demand - self._shares[gateway].demand)

    def add(self, gateway: str, grant: Grant) -> None:
        """Note a grant to a gateway whose demand was noted."""
        share = self._shares[gateway]
        before = share.outstanding()
        share.add(grant)
        self._outstanding += share.outstanding() - before
        self._expiries.append((grant.expires_s, gateway))
        self._changes += 1
        if self._changes % RESUM_PERIOD == 0:
            self._add_up()

    def _add_up(self) -> None:
        self._outstanding = sum(share.outstanding() for share in self._shares.values())
        self._demand = sum(share.demand for share in self._shares.values())
