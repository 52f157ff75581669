"""Orders the incarnations of runners whose clocks were set back between two starts. Pure.

Incarnations of one runner are ordered by ``born``, the time of their start, at every node. One that
starts after its clock was set back would count as a former one until its clock has passed the start
of the one before. A controller therefore puts an epoch above the time: the births in its records,
and so in all that it tells other nodes, are ``epoch * 2**TIME_BITS + time``. The epoch rises with
each incarnation that is found to be new although its time is earlier. Nodes compare births as
before, and each controller finds the time again in the birth, so that it knows the runner's own
reports as those of the incarnation in force.

A late report of a former incarnation looks like the first one of such a new incarnation. It is told
apart by this: its time of start may be known from before, and it stands alone or comes in a burst
when a cut ends, while a living runner goes on reporting, with rising numbers, beside a known
incarnation that has fallen silent.
"""

from dataclasses import dataclass, replace

from rainsail.cluster.messages import RunnerRecord, RunnerState

TIME_BITS = 44
"""Bits of a birth that hold a time in milliseconds since 1970: enough for some centuries."""
TIME_MASK = (1 << TIME_BITS) - 1
REPLACEABLE_AFTER_S = 4.0
"""An incarnation that has reported nothing for this long gives way to one that started earlier.

The time of three heartbeats.
"""
MIN_REPORTS = 3
"""Reports with rising numbers that a new incarnation with an earlier time must have made."""
MIN_REPORT_SPAN_S = 3.0
"""The time between the first and the last of these reports; what a cut held back comes at once."""
MAX_FORMER_INCARNATIONS = 8
"""Former incarnations of a runner whose times of start are remembered."""


@dataclass(slots=True)
class _Candidate:
    """Reports of an incarnation that may be new although its time of start is earlier."""

    born: int
    first_s: float
    sequence: int
    reports: int = 1


class IncarnationOrder:
    """Gives the reports of each runner the births by which they are ordered."""

    def __init__(self) -> None:
        self._candidates: dict[str, _Candidate] = {}
        self._former: dict[str, tuple[int, ...]] = {}
        """The times of start of the incarnations that others have replaced, by runner."""

    def forget(self, runner: str) -> None:
        """Forget a runner that is not kept any more."""
        self._candidates.pop(runner, None)
        self._former.pop(runner, None)

    def on_replaced(self, former: RunnerRecord) -> None:
        """Note that a later incarnation has taken the place of one."""
        self._candidates.pop(former.runner, None)
        known = self._former.get(former.runner, ())
        self._former[former.runner] = (*known, former.born & TIME_MASK)[-MAX_FORMER_INCARNATIONS:]

    def ordered_birth(self, known: RunnerRecord, born: int) -> int:
        """Return the birth by which a runner is ordered that says when it started."""
        epoch, time = known.born >> TIME_BITS, known.born & TIME_MASK
        if not epoch or born > TIME_MASK:
            return born
        is_later = born > time and born not in self._former.get(known.runner, ())
        return epoch << TIME_BITS | born if is_later or born == time else born

    def resolve(
        self, known: RunnerRecord, report: RunnerRecord, silent_s: float, now: float
    ) -> RunnerRecord:
        """Return a report with the birth by which it is ordered.

        ``silent_s`` is how long nothing was heard of the known incarnation.
        """
        born = self.ordered_birth(known, report.born)
        if born >= known.born:
            return report if born == report.born else replace(report, born=born)
        if not self._is_new(known, report, silent_s, now):
            return report
        epoch = (known.born >> TIME_BITS) + 1
        return replace(report, born=epoch << TIME_BITS | report.born)

    def _is_new(
        self, known: RunnerRecord, report: RunnerRecord, silent_s: float, now: float
    ) -> bool:
        """Tell whether reports with an earlier time of start have shown a new incarnation."""
        runner = known.runner
        is_former = report.born in self._former.get(runner, ())
        if not report.born or report.born > TIME_MASK or is_former:
            return False
        if report.state != RunnerState.READY or silent_s < REPLACEABLE_AFTER_S:
            self._candidates.pop(runner, None)
            return False
        candidate = self._candidates.get(runner)
        if candidate is None or candidate.born != report.born:
            self._candidates[runner] = _Candidate(report.born, now, report.sequence)
            return False
        if report.sequence > candidate.sequence:
            candidate.sequence = report.sequence
            candidate.reports += 1
        return candidate.reports >= MIN_REPORTS and now - candidate.first_s >= MIN_REPORT_SPAN_S
