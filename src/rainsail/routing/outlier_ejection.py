"""Ejects runners that fail more often than others, by the outcomes that all gateways report.

A single gateway of many sends few requests to a failing runner; the reports of all gateways
together reveal it after a few requests. A runner that fails too often is ejected, that is excluded
for a time, which doubles with each ejection. Afterwards a single failure ejects it again, until it
has not been ejected for some time.

The ledger's leader owns the state; it is lost with the leadership. Does no I/O.

``gateway.ejection`` uses one gateway's own consecutive failures instead, as native gateways report
no outcomes to the control plane.
"""

from dataclasses import dataclass
from math import exp

DECAY_S = 2.0
"""Within this time the weight of an outcome falls to 1/e.

Long enough to combine a few requests from each of many gateways.
"""
FAILURES_TO_EJECT = 2
"""Failures within that time that eject a runner; the request may be the cause of a single one."""
FAILED_SHARE_TO_EJECT = 0.3
"""Minimum share of failures among a runner's outcomes for an ejection.

It keeps a busy runner from being ejected for two failures among many responses.
"""
FIRST_EJECTION_S = 3.0
"""Duration of the first ejection, about that of a short restart; it doubles each time."""
MAX_EJECTION_S = 9.0
"""Upper bound of an ejection, so that a recovered runner is soon used again."""
EJECTIONS_RESET_AFTER_S = 10.0
"""A runner's earlier ejections are forgotten this long after the last one ended.

Longer than the longest ejection.
"""
MAX_EJECTED_SHARE = 1 / 3
"""If more than this share of a service's runners is ejected, ejections are ignored.

The cause is then probably not single runners, and the remaining ones would be overloaded.
"""
FAILURE_AFTER_EJECTION = 0.6
"""Decayed failures that eject a runner again: a single one, if it is at most about 1 s old."""
DECAY_ALLOWANCE = 0.5
"""How much ``FAILURES_TO_EJECT`` failures may have decayed when the last one is reported."""


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
    """Detects runners that fail more often than others, from exponentially decayed outcomes."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def clear(self) -> None:
        """Drop all records."""
        self._records.clear()

    def forget(self, runner: str) -> None:
        """Drop the record of a runner that has restarted."""
        self._records.pop(runner, None)

    def record(self, runner: str, answered: int, failed: int, now: float) -> float | None:
        """Count outcomes; return the duration of the ejection in seconds, None if there is none."""
        record = self._records.setdefault(runner, _Record())
        record.add(answered, failed, now)
        if not failed or record.ejected_until_s > now:
            return None
        if now - record.ejected_until_s > EJECTIONS_RESET_AFTER_S:
            record.ejections = 0
        needed = FAILURE_AFTER_EJECTION if record.ejections else FAILURES_TO_EJECT - DECAY_ALLOWANCE
        share = record.failed / (record.failed + record.answered)
        if record.failed < needed or share < FAILED_SHARE_TO_EJECT:
            return None
        out_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**record.ejections)
        record.ejections += 1
        record.ejected_until_s = now + out_s
        record.answered = record.failed = 0.0
        return out_s

    def is_ejected(self, runner: str, now: float) -> bool:
        """Return whether a runner is ejected."""
        record = self._records.get(runner)
        return record is not None and record.ejected_until_s > now

    def not_ejected(self, runners: list[str], now: float) -> list[str]:
        """Return the runners that are not ejected, or all of them if too many are ejected."""
        kept = [runner for runner in runners if not self.is_ejected(runner, now)]
        return kept if len(kept) >= (1 - MAX_EJECTED_SHARE) * len(runners) else runners
