"""A token bucket whose level may become negative, so that large requests can be admitted."""


class TokenBucket:
    """Refills at ``rate`` tokens per second up to ``burst``; a bucket starts full."""

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
        """Change rate and burst; the level does not rise."""
        self._advance(now_s)
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, burst)

    def level(self, now_s: float) -> float:
        """Return the available tokens, below 0 while the bucket is in debt."""
        self._advance(now_s)
        return self._level

    def wait_s(self, tokens: float, now_s: float, ahead: float = 0.0) -> float:
        """Return the seconds until ``tokens`` can be taken after ``ahead`` others (0: now).

        A full bucket admits more than ``burst``; the debt delays later requests.
        """
        self._advance(now_s)
        missing = ahead + min(tokens, self.burst) - self._level
        if missing <= 0.0:
            return 0.0
        return missing / self.rate if self.rate > 0.0 else float("inf")

    def take(self, tokens: float, now_s: float) -> None:
        """Take tokens, if necessary into debt; callers check ``wait_s`` first."""
        self._advance(now_s)
        self._level -= tokens

    def give_back(self, tokens: float) -> None:
        """Refund tokens that were taken and not used."""
        self._level = min(self.burst, self._level + tokens)
