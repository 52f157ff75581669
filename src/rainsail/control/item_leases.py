"""Leases of batch items as the leader sees them: pure, time is handed in.

Who holds what is replicated; only the renewal times live in the leader's memory. A new leader
gives every holder a full period before it calls one lapsed.
"""

from collections.abc import Iterable

from rainsail.control.config_leases import LeaseTerms
from rainsail.state.commands import ItemRef


class ItemLeaseTable:
    """Renewal times per holder (a gateway's incarnation)."""

    def __init__(self, terms: LeaseTerms) -> None:
        self._terms = terms
        self._expires_s: dict[str, float] = {}

    def begin(self) -> None:
        """Start a leadership: each holder gets a full period from when it is first seen."""
        self._expires_s.clear()

    def renew(self, holder: str, now_s: float) -> float:
        """Record a renewal and return the lease granted in seconds."""
        self._expires_s[holder] = now_s + self._terms.trusted_after_s
        return self._terms.lease_s

    def lapsed(self, holders: Iterable[str], now_s: float) -> list[str]:
        """Return the holders whose lease has run out; those first seen start a full period."""
        current = list(holders)
        for holder in current:
            self._expires_s.setdefault(holder, now_s + self._terms.trusted_after_s)
        known = dict.fromkeys(current)
        for holder in [each for each in self._expires_s if each not in known]:
            if self._expires_s[holder] <= now_s:
                del self._expires_s[holder]
        return [holder for holder in current if self._expires_s[holder] <= now_s]


class OrphanedItems:
    """Items that a holder has on the books but does not know of.

    When the answer to a lease command is lost for good, its items would stay leased for as long
    as the holder renews. Items that a holder leaves out of its renewals for a full lease are
    given back.
    """

    def __init__(self, terms: LeaseTerms) -> None:
        self._terms = terms
        self._missing_since_s: dict[str, dict[ItemRef, float]] = {}

    def begin(self) -> None:
        """Start a leadership."""
        self._missing_since_s.clear()

    def renewed(
        self, holder: str, leased: Iterable[ItemRef], running: Iterable[ItemRef], now_s: float
    ) -> list[ItemRef]:
        """Take a renewal; return the items that were missing from renewals for a full lease."""
        known = dict.fromkeys(running)
        before = self._missing_since_s.get(holder, {})
        missing = {ref: before.get(ref, now_s) for ref in leased if ref not in known}
        self._missing_since_s[holder] = missing
        if not missing:
            del self._missing_since_s[holder]
        return [
            ref for ref, since_s in missing.items() if now_s - since_s > self._terms.trusted_after_s
        ]
