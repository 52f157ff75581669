"""The tenants of a routing table, and identification of a request's tenant by its API key.

API keys are stored as SHA-256 digests. A request's key is looked up by its digest, so the time of
a look-up does not reveal how much of a key was guessed correctly.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import sha256

KeyDigest = bytes
"""The SHA-256 digest of an API key."""

FIRST_VISIBLE = "!"
LAST_VISIBLE = "~"


def digest_of(key: bytes) -> KeyDigest:
    """Return the digest under which an API key is stored."""
    return sha256(key).digest()


@dataclass(frozen=True, slots=True)
class RateLimit:
    """A tenant's request limit: ``rate_per_s`` with a burst; a rate of 0 means no limit."""

    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def limits(self) -> bool:
        """Whether there is a limit."""
        return self.rate_per_s > 0.0


NO_LIMIT = RateLimit()


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant.

    ``priority`` overrides that of a route; 0 is the most urgent (None: not set). Its requests may
    be served only in the regions ``allowed_regions`` (empty: in all).
    """

    name: str
    keys: frozenset[KeyDigest] = field(repr=False)
    limit: RateLimit = NO_LIMIT
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Identity:
    """The tenant of a request, with its limits.

    ``tenant`` is the tenant's name, empty on a public route and if the table has no tenants.
    ``keyed`` means that the table has tenants, so that clients' keys must not be forwarded.
    """

    tenant: str = ""
    keyed: bool = False
    limit: RateLimit = NO_LIMIT
    allowed_regions: frozenset[str] = frozenset()


ANONYMOUS = Identity()
"""A request under a table without tenants."""
PUBLIC = Identity(keyed=True)
"""A request on a public route under a table with tenants."""


class TenantError(ValueError):
    """Invalid or conflicting tenants; the message names tenants, but never contains a key."""


class TenantDirectory:
    """The tenants of one table, by API key."""

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        """Raise ``TenantError`` if two tenants share a name or a key."""
        self.tenants: dict[str, Tenant] = {}
        self._by_key: dict[KeyDigest, Tenant] = {}
        for tenant in tenants:
            if tenant.name in self.tenants:
                raise TenantError(f"two tenants are called {tenant.name}")
            self.tenants[tenant.name] = tenant
            for key in tenant.keys:
                other = self._by_key.setdefault(key, tenant)
                if other is not tenant:
                    raise TenantError(f"tenants {other.name} and {tenant.name} share a key")

    def allowed_regions(self, tenant: str) -> frozenset[str]:
        """Return the allowed regions of a tenant by its name; empty means all."""
        known = self.tenants.get(tenant)
        return frozenset() if known is None else known.allowed_regions

    def identify(self, key: KeyDigest | None) -> Identity | None:
        """Return the identity for a key, None when no tenant has the key."""
        tenant = None if key is None else self._by_key.get(key)
        if tenant is None:
            return None
        return Identity(tenant.name, True, tenant.limit, tenant.allowed_regions)


def make_tenant(
    name: str,
    keys: Iterable[str],
    limit: RateLimit = NO_LIMIT,
    priority: int | None = None,
    allowed_regions: Iterable[str] = (),
) -> Tenant:
    """Return a validated tenant; raise ``TenantError`` with the reason if it is invalid."""
    if not name or not all(" " <= each <= LAST_VISIBLE for each in name) or name != name.strip():
        raise TenantError(f"the tenant's name {name!r} can't stand in a header")
    if limit.rate_per_s < 0 or limit.burst < 0:
        raise TenantError(f"tenant {name}: a rate or burst is below 0")
    digests = set()
    for key in keys:
        if not key or not all(FIRST_VISIBLE <= each <= LAST_VISIBLE for each in key):
            raise TenantError(f"tenant {name}: a key can't stand in a header")
        digests.add(digest_of(key.encode()))
    return Tenant(name, frozenset(digests), limit, priority, frozenset(allowed_regions))
