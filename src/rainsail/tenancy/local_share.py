"""Admission at a gateway while no quota allocator answers.

The gateway uses its latest share of each tenant's requests, as reported by the allocator, or an
equal part if it has no report. The shares of all gateways add up to one, so together they stay
within the quota. Each gateway may admit one more request, so that no share is too small to admit
any. Buckets persist between two failures of the allocator, so that tokens taken during the first
one are not available again immediately.

Does no I/O; the caller passes the time.
"""

from rainsail.routing.token_bucket import TokenBucket
from rainsail.tenancy.quota_terms import QuotaTerms
from rainsail.tenancy.tenants import RateLimit

MIN_BURST = 1.0
MIN_GATEWAYS = 32
"""An equal part assumes at least this many gateways, as the known count may be out of date."""


class LocalShares:
    """A token bucket per tenant, sized by this gateway's share."""

    def __init__(self, terms: QuotaTerms) -> None:
        self._terms = terms
        self._shares: dict[str, float] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self.gateways = MIN_GATEWAYS

    def update_share(self, tenant: str, share: float) -> None:
        """Record this gateway's share of a tenant's requests, as reported by the allocator."""
        self._shares[tenant] = share

    def admit(self, tenant: str, limit: RateLimit, now: float) -> float:
        """Admit a request and return 0, or return the seconds until one can be admitted."""
        bucket = self._bucket(tenant, limit, now)
        wait_s = bucket.wait_s(1.0, now)
        if wait_s <= 0.0:
            bucket.take(1.0, now)
        return wait_s

    def give_back(self, tenant: str) -> None:
        """Refund a request that was admitted from the share and has not run."""
        bucket = self._buckets.get(tenant)
        if bucket is not None:
            bucket.give_back(1.0)

    def _bucket(self, tenant: str, limit: RateLimit, now: float) -> TokenBucket:
        share = self._shares.get(tenant, 1.0 / max(MIN_GATEWAYS, self.gateways))
        rate = share * limit.rate_per_s
        burst = share * self._terms.unaccounted(limit) + MIN_BURST
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = TokenBucket(rate, burst, now)
        elif (bucket.rate, bucket.burst) != (rate, burst):
            bucket.set_rate(rate, burst, now)
        return bucket
