"""Detection of stalled syncs; it does no I/O, the caller passes the time."""


class SyncStallDetector:
    """Detects a running sync that neither ends nor fails within a limit."""

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._sequence = 0
        self._since_s = 0.0

    def is_stalled(self, sequence: int, now: float) -> bool:
        """Return whether the running sync ``sequence`` (0: none) has exceeded the limit.

        The time is counted from the first call with that sequence.
        """
        if sequence != self._sequence:
            self._sequence = sequence
            self._since_s = now
        return sequence != 0 and now - self._since_s >= self._limit_s
