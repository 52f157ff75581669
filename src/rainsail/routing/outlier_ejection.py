"""Ejects runners that fail more often than others, by the outcomes that all gateways report. Pure.

A single gateway of many sends a failing runner few requests; all together know it within a few. A
runner that failed too often is ejected, that is left out for a time, and longer each time. When it
is back one failure is enough, until it has answered without one for some time.

The ledger's leader owns the state; it is lost with the leadership.

``gateway.ejection`` goes by one gateway's own failures in a row, as native gateways report no
outcomes to control.
"""

from dataclasses import dataclass
from math import exp

DECAY_S = 2.0
"""In this time the weight of an outcome falls to 1/e.

Not measured; chosen so that a few requests of each of many gateways come together.
"""
FAILURES_TO_EJECT = 2
"""Failures within that time that eject a runner. Not measured; one may be the request's fault."""
FAILED_SHARE_TO_EJECT = 0.3
"""Share of failures among its outcomes from which on a runner is ejected.

Not measured; chosen so that a busy runner is not ejected for two failures among many answers.
"""
FIRST_EJECTION_S = 3.0
"""The first ejection; it doubles each time. Not measured; chosen as long as a short restart."""
LONGEST_EJECTION_S = 9.0
"""No ejection lasts longer. Not measured; chosen so that a runner that is back is soon used."""
TRUSTED_AGAIN_AFTER_S = 10.0
"""A runner that was back for this long without being ejected again counts as any other.

Not measured; chosen longer than the longest ejection.
"""
MOST_EJECTED_SHARE = 1 / 3
"""If more than this share of a service's runners were ejected, none is left out.

Not measured; chosen since then something else than single runners is at fault, and the others would
be overloaded.
"""
FAILURE_AFTER_EJECTION = 0.6
"""Decayed failures that eject a runner which was ejected before: one that is some 1 s old at most.

Not measured; chosen so that one failure is enough.
"""
HALF_A_FAILURE = 0.5
"""What ``FAILURES_TO_EJECT`` may have lost by decay when the last of them comes."""


@dataclass(slots=True)
class _Record:
    answered: float = 0.0
    failed: float = 0.0
    at_s: float = 0.0
    ejected_until_s: float = float("-inf")
    ejections: int = 0

    def add(self, answered: int, failed: int, now: float) -> None:
        """Add outcomes to the decayed older ones."""
        weight = exp((self.at_s - now) / DECAY_S)
        self.answered = self.answered * weight + answered
        self.failed = self.failed * weight + failed
        self.at_s = now


class OutlierDetector:
    """Decides which runners fail more often than others, by their decayed outcomes."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def clear(self) -> None:
        """Forget everything."""
        self._records.clear()

    def forget(self, runner: str) -> None:
        """Forget a runner that has started again."""
        self._records.pop(runner, None)

    def record(self, runner: str, answered: int, failed: int, now: float) -> float | None:
        """Count outcomes; return for how many seconds they eject the runner, None if they don't."""
        record = self._records.setdefault(runner, _Record())
        record.add(answered, failed, now)
        if not failed or record.ejected_until_s > now:
            return None
        if now - record.ejected_until_s > TRUSTED_AGAIN_AFTER_S:
            record.ejections = 0
        needed = FAILURE_AFTER_EJECTION if record.ejections else FAILURES_TO_EJECT - HALF_A_FAILURE
        share = record.failed / (record.failed + record.answered)
        if record.failed < needed or share < FAILED_SHARE_TO_EJECT:
            return None
        out_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**record.ejections)
        record.ejections += 1
        record.ejected_until_s = now + out_s
        record.answered = record.failed = 0.0
        return out_s

    def is_ejected(self, runner: str, now: float) -> bool:
        """Tell whether a runner is ejected."""
        record = self._records.get(runner)
        return record is not None and record.ejected_until_s > now

    def not_ejected(self, runners: list[str], now: float) -> list[str]:
        """Return the runners that are not ejected, all if too many are."""
        kept = [runner for runner in runners if not self.is_ejected(runner, now)]
        return kept if len(kept) >= (1 - MOST_EJECTED_SHARE) * len(runners) else runners
