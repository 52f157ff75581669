"""Caps batch items by the last load report alone, as simple systems do.

The report is up to a second old, so a burst is noticed late; running items are not preempted.
"""

from dataclasses import dataclass

from rainsail.batch.interface import BatchAllowance, BatchRunnerView


@dataclass(slots=True)
class LaggedCapPolicy:
    """Gives batch the slots that the last report showed free of online work."""

    name: str = "lagged_cap"
    low_priority: bool = False

    def allowance(self, view: BatchRunnerView) -> BatchAllowance:
        """Return the slots reported free, or the running items if they are more."""
        online = max(0, view.reported_running + view.reported_waiting - view.batch_running)
        free = max(0, view.slots - online)
        return BatchAllowance(max(free, view.batch_running), f"{online} reported online")
