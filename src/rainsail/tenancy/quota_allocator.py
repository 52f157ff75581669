"""The quota allocator: one token bucket per tenant for all gateways.

It runs at the leader of the ledger, so only one allocator is active at a time. It stores nothing
durably. A new allocator does not know what the previous one has just granted, so its buckets start
only as full as the quota terms allow in that case.

Does no I/O; the caller passes the time.
"""

from dataclasses import dataclass, field
from math import exp, floor

from rainsail.routing.token_bucket import TokenBucket
from rainsail.tenancy.messages import QuotaAsk, QuotaGrant, QuotaGrants, QuotaNeed
from rainsail.tenancy.quota_terms import QuotaTerms
from rainsail.tenancy.tenants import RateLimit

SHARE_DECAY_S = 10.0
"""Time constant of the decay of requests in a gateway's share of a tenant's requests."""


@dataclass(slots=True)
class DecayingCount:
    """A sum with exponential decay."""

    value: float = 0.0
    at_s: float = 0.0

    def add(self, amount: float, now: float) -> float:
        """Add an amount; return the decayed sum."""
        self.value = self.value * exp((self.at_s - now) / SHARE_DECAY_S) + amount
        self.at_s = now
        return self.value


@dataclass(slots=True)
class _TenantQuota:
    bucket: TokenBucket
    table_version: int
    whole: DecayingCount = field(default_factory=DecayingCount)
    by_gateway: dict[str, DecayingCount] = field(default_factory=dict)

    def share(self, gateway: str, asked: float, now: float) -> float:
        """Return a gateway's share of the requests, including its ``asked`` new ones."""
        own = self.by_gateway.setdefault(gateway, DecayingCount()).add(asked, now)
        whole = self.whole.add(asked, now)
        return min(1.0, own / whole) if whole > 0 else 0.0


class QuotaAllocator:
    """Grants gateways the requests of tenants, in order of arrival."""

    def __init__(self, terms: QuotaTerms) -> None:
        self._terms = terms
        self._quotas: dict[str, _TenantQuota] = {}

    def begin(self) -> None:
        """Drop all buckets: another allocator has granted requests in the meantime."""
        self._quotas.clear()

    def grant(self, gateway: str, ask: QuotaAsk, now: float) -> QuotaGrants:
        """Return the grants for a gateway's needs."""
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
        """Return a tenant's quota, with the limit of the newest table version seen."""
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
