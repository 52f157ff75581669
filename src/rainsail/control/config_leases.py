"""Configuration leases as the leader sees them: pure, time is handed in.

A gateway serves under a lease counted from the moment it SENT its poll; the leader counts from
the moment it RECEIVED the poll and adds a margin for the difference of clock rates, so the leader
always believes a lease to last at least as long as its holder does. A new leader does not know
the leases that the old one granted: it trusts no expiry before one full lease has passed.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Length of a lease in seconds and the largest relative difference of clock rates."""

    lease_s: float
    clock_rate_margin: float

    @property
    def trusted_after_s(self) -> float:
        """Seconds after which the granting side may rely on the lease's end."""
        return self.lease_s * (1.0 + self.clock_rate_margin)


@dataclass(frozen=True, slots=True, order=True)
class LeaseHolder:
    """One incarnation of a gateway; a restarted gateway is another holder."""

    gateway: str
    incarnation: str


@dataclass(slots=True)
class ConfigLease:
    """What a holder has acknowledged, and when its lease has surely run out (leader's clock)."""

    acknowledged_revision: int
    expires_s: float


class ConfigLeaseTable:
    """The leader's leases of one group."""

    def __init__(self, terms: LeaseTerms) -> None:
        self._terms = terms
        self._leases: dict[LeaseHolder, ConfigLease] = {}
        self._trusted_from_s = 0.0

    def begin(self, now_s: float) -> None:
        """Start a leadership: forget everything and wait out what an earlier leader granted."""
        self._leases.clear()
        self._trusted_from_s = now_s + self._terms.trusted_after_s

    def renew(
        self, holder: LeaseHolder, applied_revision: int, floor_revision: int, now_s: float
    ) -> float:
        """Record a poll and return the lease granted in seconds.

        A holder that is behind ``floor_revision`` (what is or may become marked as in force)
        gets 0: it must catch up before it serves.
        """
        lease = self._leases.get(holder)
        if applied_revision < floor_revision:
            return 0.0
        expires_s = now_s + self._terms.trusted_after_s
        if lease is None:
            self._leases[holder] = ConfigLease(applied_revision, expires_s)
        else:
            lease.acknowledged_revision = max(lease.acknowledged_revision, applied_revision)
            lease.expires_s = expires_s
        return self._terms.lease_s

    def release(self, holder: LeaseHolder) -> None:
        """Forget a holder that said it has stopped serving."""
        self._leases.pop(holder, None)

    def holders(self, now_s: float) -> list[LeaseHolder]:
        """Return the holders whose lease may still hold, sorted; drop the others."""
        for holder in [each for each, lease in self._leases.items() if lease.expires_s <= now_s]:
            del self._leases[holder]
        return sorted(self._leases)

    def trusted(self, now_s: float) -> bool:
        """Tell whether every lease of an earlier leader has run out."""
        return now_s >= self._trusted_from_s

    def in_force_revision(self, revision: int, now_s: float) -> int | None:
        """Return the highest revision that every holder has applied; None while not known."""
        if not self.trusted(now_s):
            return None
        acknowledged = [
            self._leases[holder].acknowledged_revision for holder in self.holders(now_s)
        ]
        return min([revision, *acknowledged])
