"""The quota keeper: one bucket for each tenant over all gateways. Pure: time is handed in.

The leader of the ledger keeps the quotas, so there is one keeper at a time. It remembers nothing
durable: a new keeper begins with buckets that are filled only as far as the terms allow for what
the one before it may just have granted.
"""

from dataclasses import dataclass, field
from math import exp, floor

from rainsail.routing.token_bucket import TokenBucket
from rainsail.tenancy.messages import QuotaAsk, QuotaGrant, QuotaGrants, QuotaNeed
from rainsail.tenancy.quota_terms import QuotaTerms
from rainsail.tenancy.tenants import RateLimit

SHARE_MEMORY_S = 10.0
"""How far back requests count in a gateway's share of a tenant's requests."""


@dataclass(slots=True)
class DecayingCount:
    """A sum in which what is old counts less and less."""

    value: float = 0.0
    at_s: float = 0.0

    def add(self, amount: float, now: float) -> float:
        """Add, and return the sum."""
        self.value = self.value * exp((self.at_s - now) / SHARE_MEMORY_S) + amount
        self.at_s = now
        return self.value


@dataclass(slots=True)
class _TenantQuota:
    bucket: TokenBucket
    table_version: int
    whole: DecayingCount = field(default_factory=DecayingCount)
    by_gateway: dict[str, DecayingCount] = field(default_factory=dict)

    def share(self, gateway: str, asked: float, now: float) -> float:
        """Return a gateway's share of the requests, ``asked`` new ones counted in."""
        own = self.by_gateway.setdefault(gateway, DecayingCount()).add(asked, now)
        whole = self.whole.add(asked, now)
        return min(1.0, own / whole) if whole > 0 else 0.0


class QuotaAllocator:
    """Grants tenants' requests to gateways, first come, first served."""

    def __init__(self, terms: QuotaTerms) -> None:
        self._terms = terms
        self._quotas: dict[str, _TenantQuota] = {}

    def begin(self) -> None:
        """Forget everything: another keeper has granted meanwhile."""
        self._quotas.clear()

    def grant(self, gateway: str, ask: QuotaAsk, now: float) -> QuotaGrants:
        """Decide on what a gateway needs."""
        grants = [self._grant_one(gateway, ask.table_version, need, now) for need in ask.needs]
        return QuotaGrants(tuple(grants))

    def _grant_one(self, gateway: str, version: int, need: QuotaNeed, now: float) -> QuotaGrant:
        limit = RateLimit(need.rate_per_s, need.burst)
        quota = self._quota(need.tenant, version, limit, now)
        quota.bucket.take(need.spent, now)
        level = floor(quota.bucket.level(now) + 1e-9)
        granted = max(0, min(need.wanted, level))
        quota.bucket.take(granted, now)
        share = quota.share(gateway, need.wanted + max(0, need.spent), now)
        return QuotaGrant(need.tenant, granted, quota.bucket.wait_s(1.0, now), share)

    def _quota(self, tenant: str, version: int, limit: RateLimit, now: float) -> _TenantQuota:
        """Return a tenant's quota under the newest limit that was heard of."""
        quota = self._quotas.get(tenant)
        capacity = self._terms.capacity(limit)
        if quota is None:
            bucket = TokenBucket(limit.rate_per_s, capacity, now)
            bucket.take(capacity - self._terms.unaccounted(limit), now)
            quota = self._quotas[tenant] = _TenantQuota(bucket, version)
        elif version > quota.table_version:
            quota.table_version = version
            quota.bucket.set_rate(limit.rate_per_s, capacity, now)
        return quota
