"""Notes which incarnation of each runner a node has heard of last. Pure."""

from rainsail.cluster.messages import RunnerRecord, RunnerState

MAX_RUNNERS = 20_000
"""So many runners are remembered, those heard of last. One that crashes for good never says so."""


class IncarnationTracker:
    """When each runner that is not gone was born."""

    def __init__(self) -> None:
        self._born: dict[str, int] = {}

    def observe_restart(self, record: RunnerRecord) -> bool:
        """Note a report; tell whether its runner has started again since the report before."""
        known = self._born.pop(record.runner, record.born)
        if record.state != RunnerState.GONE:
            self._born[record.runner] = max(known, record.born)
        if len(self._born) > MAX_RUNNERS:
            del self._born[next(iter(self._born))]
        return record.born > known
