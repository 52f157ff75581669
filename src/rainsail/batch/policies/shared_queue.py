"""Sends batch items like online requests: with normal priority, one for each slot."""

from dataclasses import dataclass

from rainsail.batch.interface import BatchAllowance, BatchRunnerView


@dataclass(slots=True)
class SharedQueuePolicy:
    """Fills every slot and never preempts."""

    name: str = "shared_queue"
    low_priority: bool = False

    def allowance(self, view: BatchRunnerView) -> BatchAllowance:
        """Return all slots."""
        return BatchAllowance(view.slots, "shared queue")
