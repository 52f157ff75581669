"""No batch work at all: the baseline that harm is measured against."""

from rainsail.batch.interface import BatchAllowance, BatchRunnerView


class NoBatchPolicy:
    """Allows nothing."""

    name = "none"
    low_priority = True

    def allowance(self, view: BatchRunnerView) -> BatchAllowance:
        """Return zero items."""
        return BatchAllowance(0, "batch is off")
