"""The latest crash reports of one node, kept for controllers that start anew. Pure.

Controllers count crashes in memory. When all of them restart, the crashes of the last seconds would
be forgotten, and so would a trial whose crash no hold had followed yet. So each node keeps what it
has reported, and reports it to each new life of a controller again.

An answer clears a suspect of the crashes before it, so nodes keep the times of answers as well.
All times are those of the node's clock.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.quarantine.messages import FailedTrial, NamedPart
from rainsail.quarantine.run_times import RunAge
from rainsail.quarantine.view import QuarantineView, Release

KEPT_S = 10.0
"""How long crashes and answers are reported again: longer than a fatal part that is sent often
takes for its crashes, and than controllers take to start."""
MAX_REPORTS = 64
"""Crashes that are kept, the latest ones."""
MAX_RUNS = 4096
"""Runs at these crashes that are kept in all."""
MAX_ANSWERS = 1024
"""Answers that are kept, the latest ones."""
MAX_TRIALS = 64
"""Failed trials that are kept: as many as there are entries of the quarantine."""


@dataclass(slots=True)
class CrashReport:
    """A runner that crashed at ``at_s``, and what ran there."""

    runner: str
    at_s: float
    runs: dict[Fingerprint, RunAge]
    names: dict[Fingerprint, NamedPart] = field(default_factory=dict)
    reset: set[Fingerprint] = field(default_factory=set)
    """Those whose connections had ended while the runner still accepted others."""


class CrashReports:
    """Keeps the reports of one node, and the trials that failed there."""

    def __init__(self, view: QuarantineView) -> None:
        """``view`` tells which requests may run as trials only."""
        self._view = view
        self._crashes: deque[CrashReport] = deque()
        self._answered_s: OrderedDict[Fingerprint, float] = OrderedDict()
        self._failed_trials: OrderedDict[Fingerprint, Release] = OrderedDict()
        """By entry, the release that the run followed."""

    def add(self, report: CrashReport) -> None:
        """Keep a report, and the trials among its runs."""
        self._crashes.append(report)
        while len(self._crashes) > MAX_REPORTS or self._count_runs() > MAX_RUNS:
            self._crashes.popleft()
        for fingerprint, age in report.runs.items():
            self._answered_s.pop(fingerprint, None)
            release = self._view.release_of(fingerprint)
            if release is not None and report.at_s - age.ran_s >= release.known_s:
                self._failed_trials[fingerprint] = release
        while len(self._failed_trials) > MAX_TRIALS:
            self._failed_trials.popitem(last=False)

    def _count_runs(self) -> int:
        return sum(len(report.runs) for report in self._crashes)

    def answered(self, fingerprints: Iterable[Fingerprint], now: float) -> None:
        """Note that these requests or parts have caused none of the crashes so far."""
        for fingerprint in fingerprints:
            self._answered_s[fingerprint] = now
            self._answered_s.move_to_end(fingerprint)
            self._failed_trials.pop(fingerprint, None)
        while len(self._answered_s) > MAX_ANSWERS:
            self._answered_s.popitem(last=False)

    def crashes(self, now: float) -> list[CrashReport]:
        """Return the reports to repeat, without the suspects that an answer here has cleared."""
        while self._crashes and now - self._crashes[0].at_s > KEPT_S:
            self._crashes.popleft()
        repeated = []
        for report in self._crashes:
            runs = {
                each: age
                for each, age in report.runs.items()
                if self._answered_s.get(each, report.at_s) <= report.at_s
            }
            if runs:
                names = {each: name for each, name in report.names.items() if each in runs}
                reset = report.reset.intersection(runs)
                repeated.append(CrashReport(report.runner, report.at_s, runs, names, reset))
        return repeated

    def answers(self, now: float) -> list[Fingerprint]:
        """Return what was answered lately, and has neither been at a crash since nor been held."""
        while self._answered_s and now - next(iter(self._answered_s.values())) > KEPT_S:
            self._answered_s.popitem(last=False)
        return [each for each in self._answered_s if each not in self._view.ever_held]

    def failed_trials(self) -> tuple[FailedTrial, ...]:
        """Return the trials that crashed here and that no hold has followed so far."""
        for fingerprint, release in list(self._failed_trials.items()):
            if self._view.release_of(fingerprint) != release:
                del self._failed_trials[fingerprint]
        return tuple(
            FailedTrial(each, release.times) for each, release in self._failed_trials.items()
        )
