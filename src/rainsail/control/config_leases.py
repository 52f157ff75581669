"""Configuration leases on the leader's side. Pure: time is passed in.

A gateway counts its lease from the moment at which it SENT its poll. The leader counts from the
moment at which it RECEIVED the poll and adds a margin for the difference of clock rates, so the
lease never expires earlier on the leader than on the gateway. A new leader does not know the
leases that the old one granted, so it reports no revision as applied by all holders before a full
lease period has passed.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Length of a lease in seconds and the largest relative difference of clock rates."""

    lease_s: float
    clock_rate_margin: float

    @property
    def expired_after_s(self) -> float:
        """Seconds after which the granting side may rely on the lease's expiry."""
        return self.lease_s * (1.0 + self.clock_rate_margin)


@dataclass(frozen=True, slots=True, order=True)
class LeaseHolder:
    """One incarnation of a gateway; a restarted gateway is another holder."""

    gateway: str
    incarnation: str


@dataclass(slots=True)
class ConfigLease:
    """The revision a holder has acknowledged, and its lease's safe expiry on the leader's clock."""

    acknowledged_revision: int
    expires_s: float


class ConfigLeaseTable:
    """The leader's leases of one group."""

    def __init__(self, terms: LeaseTerms) -> None:
        self._terms = terms
        self._leases: dict[LeaseHolder, ConfigLease] = {}
        self._earlier_leases_expire_s = 0.0

    def begin(self, now_s: float) -> None:
        """Start a leadership term: drop all leases and wait until an earlier leader's expire."""
        self._leases.clear()
        self._earlier_leases_expire_s = now_s + self._terms.expired_after_s

    def renew(
        self, holder: LeaseHolder, applied_revision: int, floor_revision: int, now_s: float
    ) -> float:
        """Record a poll and return the lease granted in seconds.

        A holder that is behind ``floor_revision`` (the highest revision that is marked as in force
        or may become so) gets 0: it must catch up before it serves.
        """
        lease = self._leases.get(holder)
        if applied_revision < floor_revision:
            return 0.0
        expires_s = now_s + self._terms.expired_after_s
        if lease is None:
            self._leases[holder] = ConfigLease(applied_revision, expires_s)
        else:
            lease.acknowledged_revision = max(lease.acknowledged_revision, applied_revision)
            lease.expires_s = expires_s
        return self._terms.lease_s

    def release(self, holder: LeaseHolder) -> None:
        """Remove a holder that has reported that it stopped serving."""
        self._leases.pop(holder, None)

    def holders(self, now_s: float) -> list[LeaseHolder]:
        """Return the holders whose lease may still be valid, sorted; drop the others."""
        for holder in [each for each, lease in self._leases.items() if lease.expires_s <= now_s]:
            del self._leases[holder]
        return sorted(self._leases)

    def earlier_leases_expired(self, now_s: float) -> bool:
        """Tell whether every lease of an earlier leader has expired."""
        return now_s >= self._earlier_leases_expire_s

    def in_force_revision(self, revision: int, now_s: float) -> int | None:
        """Return the highest revision that every holder has applied; None while unknown."""
        if not self.earlier_leases_expired(now_s):
            return None
        acknowledged = [
            self._leases[holder].acknowledged_revision for holder in self.holders(now_s)
        ]
        return min([revision, *acknowledged])
