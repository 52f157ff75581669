"""Reserves a fixed share of every runner's slots for batch work."""

from dataclasses import dataclass

from rainsail.batch.interface import BatchAllowance, BatchRunnerView


@dataclass(slots=True)
class StaticPartitionPolicy:
    """Gives batch ``batch_share`` (0 to 1) of the slots, whatever online work does."""

    batch_share: float = 0.5
    name: str = "static_partition"
    low_priority: bool = False

    def allowance(self, view: BatchRunnerView) -> BatchAllowance:
        """Return the batch share of the slots."""
        return BatchAllowance(int(view.slots * self.batch_share), "fixed share")
