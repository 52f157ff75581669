"""No batch work at all: the baseline for measuring the impact of batch work on online requests."""

from rainsail.batch.interface import BatchAllowance, BatchRunnerView


class NoBatchPolicy:
    """Allows no batch items."""

    name = "none"
    low_priority = True

    def allowance(self, view: BatchRunnerView) -> BatchAllowance:
        """Return zero items."""
        return BatchAllowance(0, "batch is off")
