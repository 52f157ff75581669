"""Orders the incarnations of runners whose clocks were set back between two starts. Pure logic.

All nodes order the incarnations of one runner by ``born``, the time of their start. A runner that
restarts after its clock was set back would count as an old incarnation until its clock passes the
previous start time. A controller therefore prefixes the time with an epoch: ``born`` in its
records, and in everything it sends to other nodes, is ``epoch * 2**TIME_BITS + time``. The epoch
increases with each incarnation that is found to be new although its start time is earlier. Nodes
still compare plain numbers, and each controller can extract the time from ``born``, so it
recognizes the runner's own reports as those of the current incarnation.

A delayed report of a former incarnation looks like the first report of such a new one. The two
differ as follows. The start time of a former incarnation may already be known, and delayed reports
are single or come in a burst when a network partition heals. A live runner keeps reporting with
increasing sequence numbers while the known incarnation is silent.
"""

from dataclasses import dataclass, replace

from rainsail.cluster.messages import RunnerRecord, RunnerState

TIME_BITS = 44
"""Low bits of ``born`` for the time in milliseconds since 1970: enough for some centuries."""
TIME_MASK = (1 << TIME_BITS) - 1
REPLACEABLE_AFTER_S = 4.0
"""An incarnation that has been silent for this long may be replaced by one with an earlier start.

It covers three heartbeats of a runner.
"""
MIN_REPORTS = 3
"""Reports with increasing sequence numbers needed from an incarnation with an earlier start."""
MIN_REPORT_SPAN_S = 3.0
"""Least time between the first and last of them; a partition's delayed reports come at once."""
MAX_FORMER_INCARNATIONS = 8
"""How many former incarnations of a runner are remembered by their start times."""


@dataclass(slots=True)
class _Candidate:
    """Reports of an incarnation that may be new although its start time is earlier."""

    born: int
    first_s: float
    sequence: int
    reports: int = 1


class IncarnationOrder:
    """Assigns the reports of each runner the ``born`` values by which they are ordered."""

    def __init__(self) -> None:
        self._candidates: dict[str, _Candidate] = {}
        self._former: dict[str, tuple[int, ...]] = {}
        """The start times of the replaced incarnations, by runner."""

    def forget(self, runner: str) -> None:
        """Drop the data of a runner that is no longer in the registry."""
        self._candidates.pop(runner, None)
        self._former.pop(runner, None)

    def on_replaced(self, former: RunnerRecord) -> None:
        """Record that a later incarnation has replaced this one."""
        self._candidates.pop(former.runner, None)
        known = self._former.get(former.runner, ())
        self._former[former.runner] = (*known, former.born & TIME_MASK)[-MAX_FORMER_INCARNATIONS:]

    def ordered_birth(self, known: RunnerRecord, born: int) -> int:
        """Return the ``born`` value to order by, given the start time that a runner reports."""
        epoch, time = known.born >> TIME_BITS, known.born & TIME_MASK
        if not epoch or born > TIME_MASK:
            return born
        is_later = born > time and born not in self._former.get(known.runner, ())
        return epoch << TIME_BITS | born if is_later or born == time else born

    def resolve(
        self, known: RunnerRecord, report: RunnerRecord, silent_s: float, now: float
    ) -> RunnerRecord:
        """Return a report with the ``born`` value to order by.

        ``silent_s`` is the time since the last report of the known incarnation.
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
        """Tell whether the reports with an earlier start time prove a new incarnation."""
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
