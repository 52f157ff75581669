"""Messages about quotas between gateways and the quota keeper."""

from dataclasses import dataclass

from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_type("QuotaNeed")
@dataclass(frozen=True, slots=True)
class QuotaNeed:
    """What a gateway needs of one tenant's quota.

    The limit is that of the table by which the gateway asks, since a keeper may know no table yet.
    ``wanted`` requests wait for a decision; ``spent`` were admitted without the keeper, less those
    that were granted and then not run (so it may be below 0).
    """

    tenant: str
    rate_per_s: float
    burst: float
    wanted: int
    spent: int


@wire_record("QuotaAsk")
@dataclass(frozen=True, slots=True)
class QuotaAsk:
    """Asks the keeper to admit requests."""

    table_version: int
    needs: tuple[QuotaNeed, ...]


@wire_type("QuotaGrant")
@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """What the keeper grants of one tenant's quota.

    ``retry_after_s`` is when the next request will probably be granted; ``share`` the part of the
    tenant's requests that come through the asking gateway.
    """

    tenant: str
    granted: int
    retry_after_s: float
    share: float


@wire_record("QuotaGrants")
@dataclass(frozen=True, slots=True)
class QuotaGrants:
    """The keeper's answer, a grant for each need."""

    grants: tuple[QuotaGrant, ...]
