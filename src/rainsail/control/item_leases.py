"""Batch item leases on the leader's side. Pure: time is passed in.

The holder of each item is replicated state; only the renewal times are kept in the leader's
memory. A new leader gives every holder a full lease period before it treats a lease as expired.
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
        """Start a leadership term: each holder gets a full period from when it is first seen."""
        self._expires_s.clear()

    def renew(self, holder: str, now_s: float) -> float:
        """Record a renewal and return the lease granted in seconds."""
        self._expires_s[holder] = now_s + self._terms.expired_after_s
        return self._terms.lease_s

    def lapsed(self, holders: Iterable[str], now_s: float) -> list[str]:
        """Return the holders whose lease has expired; holders seen first start a full period."""
        current = list(holders)
        for holder in current:
            self._expires_s.setdefault(holder, now_s + self._terms.expired_after_s)
        known = dict.fromkeys(current)
        for holder in [each for each in self._expires_s if each not in known]:
            if self._expires_s[holder] <= now_s:
                del self._expires_s[holder]
        return [holder for holder in current if self._expires_s[holder] <= now_s]


class OrphanedItems:
    """Tracks items that are leased to a holder but missing from its renewals.

    When the reply to a lease command is lost, the holder doesn't know of the leased items, and
    they would stay leased for as long as it renews. Items that a holder leaves out of its renewals
    for a full lease period are therefore returned to the backlog.
    """

    def __init__(self, terms: LeaseTerms) -> None:
        self._terms = terms
        self._missing_since_s: dict[str, dict[ItemRef, float]] = {}

    def begin(self) -> None:
        """Start a leadership term."""
        self._missing_since_s.clear()

    def renewed(
        self, holder: str, leased: Iterable[ItemRef], running: Iterable[ItemRef], now_s: float
    ) -> list[ItemRef]:
        """Record a renewal; return the items missing from renewals for a full lease period."""
        known = dict.fromkeys(running)
        before = self._missing_since_s.get(holder, {})
        missing = {ref: before.get(ref, now_s) for ref in leased if ref not in known}
        self._missing_since_s[holder] = missing
        if not missing:
            del self._missing_since_s[holder]
        return [
            ref for ref, since_s in missing.items() if now_s - since_s > self._terms.expired_after_s
        ]
