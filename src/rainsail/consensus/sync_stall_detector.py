"""Tells when a disk has stopped finishing syncs: pure, the time is handed in."""


class SyncStallDetector:
    """Watches the number of the sync under way; a sync that neither ends nor fails is stalled."""

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._sequence = 0
        self._since_s = 0.0

    def is_stalled(self, sequence: int, now: float) -> bool:
        """Tell whether the sync ``sequence`` (0: none) has been seen under way for too long."""
        if sequence != self._sequence:
            self._sequence = sequence
            self._since_s = now
        return sequence != 0 and now - self._since_s >= self._limit_s
