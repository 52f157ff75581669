"""Trials that nodes report as failed, to a controller that started after their crashes. Pure.

The number of holds in the group's state counts the failed trials of an entry. A trial that failed
while the controllers were lost is not in it, unless the entry is held once more. A report names the
number of holds at its trial, so that each trial is counted once, whichever controller leads.
"""

from collections import OrderedDict
from collections.abc import Iterable

from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.quarantine.messages import FailedTrial
from rainsail.state.cluster_commands import Quarantine
from rainsail.state.quarantine import by_fingerprint

KEPT_S = 10.0
"""A report waits this long at most for a leader that has applied the entry's last decision."""
MAX_KEPT = 1024
"""Reports that are kept, the latest ones."""


class FailedTrials:
    """Reports that may not be counted yet; times are those of the controller's clock."""

    def __init__(self) -> None:
        self._reported: OrderedDict[Fingerprint, tuple[int, float]] = OrderedDict()

    def take(self, trials: Iterable[FailedTrial], now: float) -> None:
        """Keep a node's report."""
        for trial in trials:
            times, _ = self._reported.get(trial.fingerprint, (0, now))
            self._reported[trial.fingerprint] = (max(times, trial.times), now)
        while len(self._reported) > MAX_KEPT:
            self._reported.popitem(last=False)

    def uncounted(self, quarantine: Quarantine, now: float) -> list[Fingerprint]:
        """Return the entries to hold again; forget the reports that the state counts already."""
        known = by_fingerprint(quarantine.requests)
        due = []
        for fingerprint, (times, reported_s) in list(self._reported.items()):
            entry = known.get(fingerprint)
            is_counted = entry is not None and entry.times > times
            if is_counted or now - reported_s > KEPT_S:
                del self._reported[fingerprint]
            elif entry is not None and entry.times == times and not entry.held:
                due.append(fingerprint)
        return due
