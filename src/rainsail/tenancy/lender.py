"""Lends gateways shares of each tenant's token rate: pure, time is handed in.

A tenant's rate R is split in two. ``reserve * R`` is kept for minimum shares: each gateway may use
``minimum_share`` without asking, so a quiet gateway can start at once. The rest is lent by the
group's leader, to each gateway by its demand, for a limited time. What is lent and not yet surely
run out never sums to more than ``(1 - reserve) * R``, so minimum and lent shares together never
pass R. A new leader does not know what the old one lent and lends nothing until that has run out.
"""

from dataclasses import dataclass

from rainsail.control.messages import QuotaReport, QuotaShare, QuotaShares, TenantDemand
from rainsail.resources.specs import TenantSpec
from rainsail.tenancy.lent_shares import Grant, TenantShares

DEMAND_SMOOTHING = 0.5
"""Weight of the newest report in a gateway's smoothed demand (1.0: only the newest)."""

GATEWAY_COUNT_SLACK = 2
"""Minimum shares stay within the reserve while gateways' counts differ by up to this factor."""

SMALLEST_RATE = 1e-9
"""Tokens a second below which a rate counts as none."""


@dataclass(frozen=True, slots=True)
class ShareTerms:
    """How long a share holds (seconds), clock-rate margin, and the reserve's part of the rate."""

    share_s: float
    clock_rate_margin: float
    reserve_fraction: float

    @property
    def trusted_after_s(self) -> float:
        """Seconds after which the leader may lend a share again."""
        return self.share_s * (1.0 + self.clock_rate_margin)


def minimum_share(rate: float, gateways: int, reserve_fraction: float) -> float:
    """Return the rate that each of ``gateways`` may use without a lent share."""
    return rate * reserve_fraction / (GATEWAY_COUNT_SLACK * max(1, gateways))


class QuotaLender:
    """The leader's book of lent shares."""

    def __init__(self, terms: ShareTerms) -> None:
        self._terms = terms
        self._lent: dict[str, TenantShares] = {}
        self._lends_from_s = 0.0

    def begin(self, now_s: float) -> None:
        """Start a leadership: lend nothing until what an earlier leader lent has run out."""
        self._lent.clear()
        self._lends_from_s = now_s + self._terms.trusted_after_s

    def lend(self, report: QuotaReport, limits: dict[str, TenantSpec], now_s: float) -> QuotaShares:
        """Take a report and return the shares lent; tenants without a limit get none.

        While nothing may be lent the reply is empty with ``valid_s`` 0: a gateway keeps what
        it holds until that runs out, and its minimum shares.
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
        book = self._lent.setdefault(demand.tenant, TenantShares())
        book.drop_expired(now_s)
        gateway = report.gateway
        wanted = _rate(demand, report.period_s)
        before = book.demand_of(gateway)
        own_demand = wanted if before is None else _smooth(before, wanted)
        book.note_demand(gateway, own_demand)
        lendable = limit.tokens_per_second * (1.0 - self._terms.reserve_fraction)
        fair = _fair_part(lendable, own_demand, book.others_demand(gateway))
        granted = max(0.0, min(fair, lendable - book.others_hold(gateway)))
        book.add(gateway, Grant(granted, now_s + self._terms.trusted_after_s))
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
