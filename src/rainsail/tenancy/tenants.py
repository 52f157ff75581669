"""Tenants of a routing table, and on whose behalf a request comes.

API keys are kept as SHA-256 digests. A request's key is looked up by its digest, so the time of a
look-up tells nothing of how much of a key was guessed.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import sha256

KeyDigest = bytes
"""The SHA-256 digest of an API key."""

FIRST_VISIBLE = "!"
LAST_VISIBLE = "~"


def digest_of(key: bytes) -> KeyDigest:
    """Return what is kept of an API key."""
    return sha256(key).digest()


@dataclass(frozen=True, slots=True)
class RateLimit:
    """How many requests a tenant may make: ``rate_per_s`` and a burst on top; a rate of 0: any."""

    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def limits(self) -> bool:
        """Tell whether there is a limit at all."""
        return self.rate_per_s > 0.0


NO_LIMIT = RateLimit()


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant.

    ``priority`` goes before that of a route, 0 is most urgent (None: not set). Its requests may be
    served in the regions ``allowed_regions`` alone (empty: in all).
    """

    name: str
    keys: frozenset[KeyDigest] = field(repr=False)
    limit: RateLimit = NO_LIMIT
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Identity:
    """On whose behalf a request runs.

    ``tenant`` is the tenant's name, empty on a public route and where the table has no tenants.
    ``keyed`` tells that the table has tenants, so that clients' keys must not travel on.
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
    """Tenants that contradict each other or can't be spoken for; names tenants, never a key."""


class TenantDirectory:
    """The tenants of one table by key."""

    def __init__(self, tenants: Iterable[Tenant]) -> None:
        """Raise ``TenantError`` when two tenants share a name or a key."""
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
        """Return the regions of a tenant by its name; empty stands for all."""
        known = self.tenants.get(tenant)
        return frozenset() if known is None else known.allowed_regions

    def identify(self, key: KeyDigest | None) -> Identity | None:
        """Return on whose behalf the bearer of a key asks, None when nobody has the key."""
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
    """Return a checked tenant; ``TenantError`` says what is wrong with it."""
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
