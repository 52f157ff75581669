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

DEMAND_SMOOTHING = 0.5
"""Weight of the newest report in a gateway's smoothed demand (1.0: only the newest)."""

GATEWAY_COUNT_SLACK = 2
"""Minimum shares stay within the reserve while gateways' counts differ by up to this factor."""

SMALLEST_RATE = 1e-9
"""Tokens a second below which a rate counts as none."""


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """How long a share holds (seconds), clock-rate margin, and the reserve's part of the rate."""

    share_s: float
    clock_rate_margin: float
    reserve_fraction: float

    @property
    def trusted_after_s(self) -> float:
        """Seconds after which the leader may lend a share again."""
        return self.share_s * (1.0 + self.clock_rate_margin)


@dataclass(frozen=True, slots=True)
class Grant:
    """A rate lent in tokens a second, and when it has surely run out (leader's clock)."""

    tokens_per_second: float
    expires_s: float


@dataclass(slots=True)
class GatewayShare:
    """What one gateway may hold of one tenant's rate, and its demand in tokens a second.

    A reply may be lost, so a smaller grant does not replace a larger one before that runs out.
    """

    grants: list[Grant]
    demand: float

    def outstanding(self) -> float:
        """Return the highest rate that the gateway may be using."""
        return max((grant.tokens_per_second for grant in self.grants), default=0.0)

    def drop_expired(self, now_s: float) -> None:
        """Forget the grants that have run out."""
        self.grants = [grant for grant in self.grants if grant.expires_s > now_s]

    def add(self, grant: Grant) -> None:
        """Note a grant; it covers earlier ones that are no larger."""
        self.grants = [
            each for each in self.grants if each.tokens_per_second > grant.tokens_per_second
        ]
        self.grants.append(grant)


def minimum_share(rate: float, gateways: int, reserve_fraction: float) -> float:
    """Return the rate that each of ``gateways`` may use without a lent share."""
    return rate * reserve_fraction / (GATEWAY_COUNT_SLACK * max(1, gateways))


class QuotaLender:
    """The leader's book of lent shares."""

    def __init__(self, terms: QuotaTerms) -> None:
        self._terms = terms
        self._lent: dict[str, dict[str, GatewayShare]] = {}
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
        book = self._lent.setdefault(demand.tenant, {})
        self._drop_expired(book, now_s)
        wanted = _rate(demand, report.period_s)
        share = book.get(report.gateway)
        if share is None:
            share = book[report.gateway] = GatewayShare([], wanted)
        else:
            share.demand = _smooth(share.demand, wanted)
        lendable = limit.tokens_per_second * (1.0 - self._terms.reserve_fraction)
        others = [other for name, other in book.items() if name != report.gateway]
        others_hold = sum(other.outstanding() for other in others)
        fair = _fair_part(lendable, share.demand, sum(other.demand for other in others))
        granted = max(0.0, min(fair, lendable - others_hold))
        share.add(Grant(granted, now_s + self._terms.trusted_after_s))
        burst = limit.burst_tokens * granted / max(limit.tokens_per_second, SMALLEST_RATE)
        return QuotaShare(demand.tenant, granted, burst)

    def _drop_expired(self, book: dict[str, GatewayShare], now_s: float) -> None:
        for share in book.values():
            share.drop_expired(now_s)
        for gateway in [each for each, share in book.items() if not share.grants]:
            del book[gateway]


def _rate(demand: TenantDemand, period_s: float) -> float:
    return (demand.used_tokens + demand.refused_tokens) / max(period_s, 1e-3)


def _smooth(before: float, now: float) -> float:
    return (1.0 - DEMAND_SMOOTHING) * before + DEMAND_SMOOTHING * now


def _fair_part(lendable: float, demand: float, others_demand: float) -> float:
    total = demand + others_demand
    if total <= 0.0:
        return 0.0
    return lendable * demand / total
