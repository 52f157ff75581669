"""The tolerance of quotas over a fleet, and how it is divided.

In each window of ``window_s`` a tenant's admitted requests over all gateways must stay within
``(rate x window + burst) x (1 + overshoot) + slack``. The bucket at the allocator alone stays
within ``rate x window + burst``. The tolerance beyond that covers the grants that a new allocator
does not know of, and the requests that gateways admit while no allocator answers: half for each.
"""

from dataclasses import dataclass

from rainsail.tenancy.tenants import RateLimit

ALLOCATOR_SLACK_SHARE = 0.25
"""Share of the slack that is added to a tenant's burst in the allocator's bucket, as requests may
reach the allocator in another order than the gateways."""


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """The operator's bound on the requests of a tenant that are admitted in any window."""

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    def capacity(self, limit: RateLimit) -> float:
        """Return the maximum number of requests that the allocator may admit at one instant."""
        return limit.burst + ALLOCATOR_SLACK_SHARE * self.slack

    def unaccounted(self, limit: RateLimit) -> float:
        """Return the number of requests that may be admitted without knowing earlier grants.

        A new allocator may admit as many, and so may all gateways together while no allocator
        answers.
        """
        window = limit.rate_per_s * self.window_s + limit.burst
        allowed = self.overshoot * window + (1.0 - ALLOCATOR_SLACK_SHARE) * self.slack
        return min(self.capacity(limit), allowed / 2)
