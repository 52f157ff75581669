"""A token bucket whose level may go below zero once, so that large requests get through. Pure."""


class TokenBucket:
    """Tokens gather at ``rate`` per second up to ``burst``; a bucket starts full."""

    __slots__ = ("_level", "_updated_s", "burst", "rate")

    def __init__(self, rate: float, burst: float, now_s: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._updated_s = now_s

    def _advance(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._level = min(self.burst, self._level + elapsed_s * self.rate)
        self._updated_s = now_s

    def set_rate(self, rate: float, burst: float, now_s: float) -> None:
        """Take a new rate and burst; the level does not rise by it."""
        self._advance(now_s)
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, burst)

    def level(self, now_s: float) -> float:
        """Return the tokens that are there, less than 0 in debt."""
        self._advance(now_s)
        return self._level

    def wait_s(self, tokens: float, now_s: float, ahead: float = 0.0) -> float:
        """Return the seconds until ``tokens`` can be taken after ``ahead`` others (0: now).

        More than ``burst`` can be taken from a full bucket; the debt delays what comes after.
        """
        self._advance(now_s)
        missing = ahead + min(tokens, self.burst) - self._level
        if missing <= 0.0:
            return 0.0
        return missing / self.rate if self.rate > 0.0 else float("inf")

    def take(self, tokens: float, now_s: float) -> None:
        """Take tokens, into debt if need be; ask ``wait_s`` first."""
        self._advance(now_s)
        self._level -= tokens

    def give_back(self, tokens: float) -> None:
        """Return tokens that were taken and not used."""
        self._level = min(self.burst, self._level + tokens)
