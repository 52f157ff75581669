"""Messages about quotas between gateways and the quota allocator."""

from dataclasses import dataclass

from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_type("QuotaNeed")
@dataclass(frozen=True, slots=True)
class QuotaNeed:
    """What a gateway needs of one tenant's quota.

    The limit comes from the gateway's routing table, as the allocator may not have a table yet.
    ``wanted`` requests wait for a decision. ``spent`` requests were admitted without the allocator,
    minus those that were granted but not run (so it may be below 0).
    """

    tenant: str
    rate_per_s: float
    burst: float
    wanted: int
    spent: int


@wire_record("QuotaAsk")
@dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Asks the allocator to admit requests."""

    table_version: int
    needs: tuple[QuotaNeed, ...]


@wire_type("QuotaGrant")
@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """The allocator's grant of one tenant's quota.

    ``retry_after_s`` is the estimated time until the next request can be granted; ``share`` is the
    fraction of the tenant's requests that come through this gateway.
    """

    tenant: str
    granted: int
    retry_after_s: float
    share: float


@wire_record("QuotaGrants")
@dataclass(frozen=True, slots=True)
class QuotaGrants:
    """The allocator's reply: a grant for each need."""

    grants: tuple[QuotaGrant, ...]
