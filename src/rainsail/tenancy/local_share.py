"""What a gateway admits while no quota keeper answers. Pure: time is handed in.

The gateway goes on with the share of each tenant's requests that it had lately, as the keeper told
it, or with an equal part while it was never told. The shares of all gateways add up to one, so
together they stay within the quota; one request more is allowed to each, so that a share is never
too small for any. Buckets stay from one absence of the keeper to the next: what one gave is not
there again at once.
"""

from rainsail.routing.token_bucket import TokenBucket
from rainsail.tenancy.quota_terms import QuotaTerms
from rainsail.tenancy.tenants import RateLimit

LEAST_BURST = 1.0
LEAST_GATEWAYS = 32
"""An equal part is never larger than that of so many gateways: a view may be of the past."""


class LocalShares:
    """A bucket for each tenant, of this gateway's share."""

    def __init__(self, terms: QuotaTerms) -> None:
        self._terms = terms
        self._shares: dict[str, float] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self.gateways = LEAST_GATEWAYS

    def told(self, tenant: str, share: float) -> None:
        """Take the keeper's word of this gateway's share."""
        self._shares[tenant] = share

    def admit(self, tenant: str, limit: RateLimit, now: float) -> float:
        """Admit a request and return 0, or return the seconds until one can be admitted."""
        bucket = self._bucket(tenant, limit, now)
        wait_s = bucket.wait_s(1.0, now)
        if wait_s <= 0.0:
            bucket.take(1.0, now)
        return wait_s

    def _bucket(self, tenant: str, limit: RateLimit, now: float) -> TokenBucket:
        share = self._shares.get(tenant, 1.0 / max(LEAST_GATEWAYS, self.gateways))
        rate = share * limit.rate_per_s
        burst = share * self._terms.unaccounted(limit) + LEAST_BURST
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = TokenBucket(rate, burst, now)
        elif (bucket.rate, bucket.burst) != (rate, burst):
            bucket.set_rate(rate, burst, now)
        return bucket
