"""How fast a client makes progress, over the last seconds."""

WINDOW_S = 1.0
"""Length of the two windows over which progress is averaged."""
STALLED_AFTER_S = 1.0
"""A client that made no progress for this long has stalled."""


class ProgressMeter:
    """Counts the bytes that a client has sent or taken."""

    __slots__ = ("_began_s", "_bytes", "_former_bytes", "_former_s", "_last_s", "since_s")

    def __init__(self, now: float) -> None:
        self.since_s = now
        """When the meter was started."""
        self._began_s = now
        self._last_s = now
        self._bytes = 0
        self._former_bytes = 0
        self._former_s = 0.0

    def add(self, count: int, now: float) -> None:
        """Count bytes that were sent or taken at ``now``."""
        if now - self._began_s >= WINDOW_S:
            self._former_bytes, self._former_s = self._bytes, now - self._began_s
            self._bytes, self._began_s = 0, now
        self._bytes += count
        self._last_s = now

    def idle_s(self, now: float) -> float:
        """Return the seconds since the last progress."""
        return now - self._last_s

    def rate(self, now: float) -> float:
        """Return the progress in bytes a second, 0 for a client that has stalled."""
        if self.idle_s(now) >= STALLED_AFTER_S:
            return 0.0
        over_s = max(now - self._began_s + self._former_s, WINDOW_S)
        return (self._bytes + self._former_bytes) / over_s
