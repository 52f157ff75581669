"""How closely quotas are kept over a fleet, and how what may be exceeded is divided up.

In each window of ``window_s`` a tenant's admitted requests must stay within
``(rate x window + burst) x (1 + overshoot) + slack``, over all gateways. One bucket at the keeper
stays within ``rate x window + burst``. What is allowed beyond that makes up for what a new keeper
does not know, and for what gateways admit while no keeper answers: each gets half of it.
"""

from dataclasses import dataclass

from rainsail.tenancy.tenants import RateLimit

KEEPER_SLACK_SHARE = 0.25
"""Share of the slack by which the keeper's bucket is larger than a tenant's burst: requests that
came in one order may arrive in another."""


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """The operator's bound on what a tenant may be admitted in any window."""

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    def capacity(self, limit: RateLimit) -> float:
        """Return how many requests the keeper may admit at one moment."""
        return limit.burst + KEEPER_SLACK_SHARE * self.slack

    def unaccounted(self, limit: RateLimit) -> float:
        """Return what may be admitted at one moment without knowing what was before.

        A new keeper may, and besides it all gateways together that have no keeper.
        """
        window = limit.rate_per_s * self.window_s + limit.burst
        allowed = self.overshoot * window + (1.0 - KEEPER_SLACK_SHARE) * self.slack
        return min(self.capacity(limit), allowed / 2)
