"""How far the followers are that get the leader's snapshot, and which of them stand still. Pure."""

from dataclasses import dataclass

from rainsail.consensus.effects import SnapshotOrder

STALLED_AFTER_S = 5.0
"""A transfer is stalled once its follower has requested nothing further for this time.

Several heartbeats, each of which repeats the part that is missing.
"""
LOG_INTERVAL_S = 10.0
"""Minimum interval between two log lines about a stalled transfer."""
FORGOTTEN_AFTER_S = 3.0
"""A transfer is over once nothing was ordered for this time: each heartbeat repeats an order."""


@dataclass(slots=True)
class _Transfer:
    offset: int
    progressed_s: float
    ordered_s: float
    logged_s: float = float("-inf")


class SnapshotTransfers:
    """The transfers under way, by the identities of the followers."""

    def __init__(self) -> None:
        self.last_progress_s = float("-inf")
        """When a follower last requested a further part."""
        self._transfers: dict[str, _Transfer] = {}

    def note_order(self, order: SnapshotOrder, now: float) -> float | None:
        """Record an order; returns how long its transfer has stalled if that is to be logged."""
        self._forget_finished(now)
        transfer = self._transfers.get(order.identity)
        if transfer is None:
            transfer = self._transfers[order.identity] = _Transfer(0, now, now)
        if order.offset != transfer.offset:
            if order.offset > transfer.offset:
                self.last_progress_s = now
            transfer.offset, transfer.progressed_s = order.offset, now
        transfer.ordered_s = now
        stalled_s = now - transfer.progressed_s
        if stalled_s < STALLED_AFTER_S or now - transfer.logged_s < LOG_INTERVAL_S:
            return None
        transfer.logged_s = now
        return stalled_s

    def stalled(self, now: float) -> int:
        """Return the number of transfers that stand still."""
        self._forget_finished(now)
        return sum(now - each.progressed_s >= STALLED_AFTER_S for each in self._transfers.values())

    def _forget_finished(self, now: float) -> None:
        for identity, transfer in list(self._transfers.items()):
            if now - transfer.ordered_s > FORGOTTEN_AFTER_S:
                del self._transfers[identity]
