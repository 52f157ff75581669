"""Tracks the latest incarnation of each runner that a node has learned of. Pure logic."""

from rainsail.cluster.messages import RunnerRecord, RunnerState

MAX_RUNNERS = 20_000
"""The longest unreported runners beyond this number are dropped: crashed ones never deregister."""


class IncarnationTracker:
    """Start times of all runners that are not gone."""

    def __init__(self) -> None:
        self._born: dict[str, int] = {}

    def observe_restart(self, record: RunnerRecord) -> bool:
        """Record a report; tell whether its runner has restarted since the previous report."""
        known = self._born.pop(record.runner, record.born)
        if record.state != RunnerState.GONE:
            self._born[record.runner] = max(known, record.born)
        if len(self._born) > MAX_RUNNERS:
            del self._born[next(iter(self._born))]
        return record.born > known
