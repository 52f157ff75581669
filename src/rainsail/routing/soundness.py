"""Which runners fail more than others, by what all gateways have seen. Pure: time is handed in.

One gateway of many meets a failing runner seldom; together they know within a few requests. A
runner that failed too often is left out for a while, longer each time. When it is back one failure
is enough, until it has answered soundly for a while.
"""

from dataclasses import dataclass
from math import exp

MEMORY_S = 2.0
"""How far back answers and failures count."""
FAILURES_TO_LEAVE = 2
FAILED_SHARE_TO_LEAVE = 0.3
FIRST_OUT_S = 3.0
LONGEST_OUT_S = 9.0
TRUSTED_AGAIN_AFTER_S = 10.0
"""A runner that was back for this long without leaving again counts as any other."""
MOST_OUT_SHARE = 1 / 3
"""More than this share of a service's runners are never left out."""
NEGLIGIBLE = 0.6
"""Decayed failures below this are none."""


@dataclass(slots=True)
class _Record:
    answered: float = 0.0
    failed: float = 0.0
    at_s: float = 0.0
    out_until_s: float = float("-inf")
    times_out: int = 0

    def add(self, answered: int, failed: int, now: float) -> None:
        """Count, with what is old counting less."""
        left = exp((self.at_s - now) / MEMORY_S)
        self.answered = self.answered * left + answered
        self.failed = self.failed * left + failed
        self.at_s = now


class SoundnessBook:
    """Failures by runner."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def clear(self) -> None:
        """Forget everything."""
        self._records.clear()

    def forget(self, runner: str) -> None:
        """Forget a runner that has started again."""
        self._records.pop(runner, None)

    def saw(self, runner: str, answered: int, failed: int, now: float) -> float | None:
        """Count outcomes; return for how long the runner is to be left out from now on."""
        record = self._records.setdefault(runner, _Record())
        record.add(answered, failed, now)
        if not failed or record.out_until_s > now:
            return None
        if now - record.out_until_s > TRUSTED_AGAIN_AFTER_S:
            record.times_out = 0
        needed = NEGLIGIBLE if record.times_out else FAILURES_TO_LEAVE - 0.5
        share = record.failed / (record.failed + record.answered)
        if record.failed < needed or share < FAILED_SHARE_TO_LEAVE:
            return None
        out_s = min(LONGEST_OUT_S, FIRST_OUT_S * 2**record.times_out)
        record.times_out += 1
        record.out_until_s = now + out_s
        record.answered = record.failed = 0.0
        return out_s

    def is_out(self, runner: str, now: float) -> bool:
        """Tell whether a runner is left out."""
        record = self._records.get(runner)
        return record is not None and record.out_until_s > now

    def sound(self, runners: list[str], now: float) -> list[str]:
        """Return the runners that are not left out, all if too many would be."""
        kept = [runner for runner in runners if not self.is_out(runner, now)]
        return kept if len(kept) >= (1 - MOST_OUT_SHARE) * len(runners) else runners
