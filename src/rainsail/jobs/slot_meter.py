"""Average number of slots for items, over busy and idle phases of online work."""

AVERAGE_TIME_CONSTANT_S = 8.0
"""Time constant of the average: several bursts of online work, and far less than a job's duration.

Items in time on sixty random loads: 64,444 with 8 s, 64,581 with 4 s, 64,383 with 16 s.
"""


class SlotMeter:
    """Exponentially decaying average of the slots that items hold or could get."""

    def __init__(self) -> None:
        self._slot_time_s = 0.0
        self._time_s = 0.0
        self._seen_s: float | None = None

    def on_slots_seen(self, slots: float, now: float) -> None:
        """Add the current number; it is weighted with the time since the last one."""
        if self._seen_s is None:
            self._seen_s = now
            return
        passed_s = now - self._seen_s
        self._seen_s = now
        kept_share = max(0.0, 1.0 - passed_s / AVERAGE_TIME_CONSTANT_S)
        self._slot_time_s = self._slot_time_s * kept_share + slots * passed_s
        self._time_s = self._time_s * kept_share + passed_s

    def average(self) -> float | None:
        """Return the average, None before two numbers were added."""
        return self._slot_time_s / self._time_s if self._time_s else None
