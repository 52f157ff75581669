"""How many slots items really get, over busy and idle times of online work."""

AVERAGED_OVER_S = 8.0
"""Time constant of the average. It covers several bursts of online work, and is well under the
time that jobs have."""


class SlotMeter:
    """Average of the slots that items have or could have, forgetting exponentially."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._weight_s = 0.0
        self._seen_s: float | None = None

    def saw(self, slots: float, now: float) -> None:
        """Take what is there now; it counts from the last look until now."""
        if self._seen_s is None:
            self._seen_s = now
            return
        passed_s = now - self._seen_s
        self._seen_s = now
        kept = max(0.0, 1.0 - passed_s / AVERAGED_OVER_S)
        self._sum = self._sum * kept + slots * passed_s
        self._weight_s = self._weight_s * kept + passed_s

    def average(self) -> float | None:
        """Return the average, None before two looks."""
        return self._sum / self._weight_s if self._weight_s else None
