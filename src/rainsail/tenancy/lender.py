"""Lends gateways shares of each tenant's token rate, for a limited time (a lease).

A tenant's rate R is split in two. ``reserve * R`` is reserved for minimum shares: each gateway may
use ``minimum_share`` without a lease, so that an idle gateway can admit requests immediately. The
group's leader lends the rest to the gateways in proportion to their demand. The shares that may
not have expired yet never sum to more than ``(1 - reserve) * R``, so minimum and lent shares
together never exceed R. A new leader does not know what the previous one lent; it lends nothing
until those shares have expired.

Does no I/O; the caller passes the time.
"""

from dataclasses import dataclass

from rainsail.control.messages import QuotaReport, QuotaShare, QuotaShares, TenantDemand
from rainsail.resources.specs import TenantSpec
from rainsail.tenancy.lent_shares import Grant, TenantShares

DEMAND_SMOOTHING = 0.5
"""Weight of the newest report in a gateway's smoothed demand (1.0: only the newest)."""

GATEWAY_COUNT_SLACK = 2
"""Minimum shares stay within the reserve if gateways' counts are off by up to this factor."""

SMALLEST_RATE = 1e-9
"""Lower bound of a rate as a divisor, in tokens per second."""


@dataclass(frozen=True, slots=True)
class ShareTerms:
    """Duration of a share (seconds), clock-rate margin, and the reserved fraction of the rate."""

    share_s: float
    clock_rate_margin: float
    reserve_fraction: float

    @property
    def trusted_after_s(self) -> float:
        """Seconds after which a lent share has expired at every gateway, despite clock drift."""
        return self.share_s * (1.0 + self.clock_rate_margin)


def minimum_share(rate: float, gateways: int, reserve_fraction: float) -> float:
    """Return the rate that each of ``gateways`` may use without a lent share."""
    return rate * reserve_fraction / (GATEWAY_COUNT_SLACK * max(1, gateways))


class QuotaLender:
    """The leader's record of lent shares."""

    def __init__(self, terms: ShareTerms) -> None:
        self._terms = terms
        self._shares_by_tenant: dict[str, TenantShares] = {}
        self._lends_from_s = 0.0

    def begin(self, now_s: float) -> None:
        """Start a leadership: lend nothing until the shares of earlier leaders have expired."""
        self._shares_by_tenant.clear()
        self._lends_from_s = now_s + self._terms.trusted_after_s

    def lend(self, report: QuotaReport, limits: dict[str, TenantSpec], now_s: float) -> QuotaShares:
        """Record a report and return the lent shares; tenants without a limit get none.

        While nothing may be lent, the reply is empty with ``valid_s`` 0. The gateway then keeps
        its lent shares until they expire, and its minimum shares.
        """
        if now_s < self._lends_from_s:
            return QuotaShares((), 0.0)
        shares = [
            self._lend_one(report, demand, limits[demand.tenant], now_s)
            for demand in report.demands
            if demand.tenant in limits
        ]
        return QuotaShares(tuple(shares), self._terms.share_s)

    def _lend_one(
        self, report: QuotaReport, demand: TenantDemand, limit: TenantSpec, now_s: float
    ) -> QuotaShare:
        shares = self._shares_by_tenant.setdefault(demand.tenant, TenantShares())
        shares.drop_expired(now_s)
        gateway = report.gateway
        wanted = _rate(demand, report.period_s)
        before = shares.demand_of(gateway)
        own_demand = wanted if before is None else _smooth(before, wanted)
        shares.note_demand(gateway, own_demand)
        lendable = limit.tokens_per_second * (1.0 - self._terms.reserve_fraction)
        fair = _fair_part(lendable, own_demand, shares.others_demand(gateway))
        granted = max(0.0, min(fair, lendable - shares.others_hold(gateway)))
        shares.add(gateway, Grant(granted, now_s + self._terms.trusted_after_s))
        burst = limit.burst_tokens * granted / max(limit.tokens_per_second, SMALLEST_RATE)
        return QuotaShare(demand.tenant, granted, burst)


def _rate(demand: TenantDemand, period_s: float) -> float:
    return (demand.used_tokens + demand.refused_tokens) / max(period_s, 1e-3)


def _smooth(before: float, now: float) -> float:
    return (1.0 - DEMAND_SMOOTHING) * before + DEMAND_SMOOTHING * now


def _fair_part(lendable: float, demand: float, others_demand: float) -> float:
    total = demand + others_demand
    if total <= 0.0:
        return 0.0
    return lendable * demand / total
