"""What a dispatcher decides, apart from I/O.

A ``DispatchPolicy`` is pure: it sees a ``BatchRunnerView`` and answers how many batch items a
runner may hold; running ones above that are preempted. ``rainsail.batch.dispatcher`` does the I/O
for the runners that its gateway owns.
"""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class BatchRunnerView:
    """One owned runner as the dispatcher knows it now.

    ``online_running`` counts this gateway's own online requests on it at this moment,
    ``reported_running`` and ``reported_waiting`` are those of the last load report, and
    ``online_prefill_tokens`` the prompt tokens of this gateway's online requests on it that have
    no first token yet.
    """

    slots: int
    online_running: int
    batch_running: int
    reported_running: int
    reported_waiting: int
    online_prefill_tokens: int = 0


@dataclass(frozen=True, slots=True)
class BatchAllowance:
    """How many batch items may run on a runner now; below what runs, the rest is preempted."""

    items: int
    reason: str


class DispatchPolicy(Protocol):
    """Decides the batch share of one runner."""

    name: str
    low_priority: bool
    """Whether batch items are sent to engines with low priority."""

    def allowance(self, view: BatchRunnerView) -> BatchAllowance:
        """Return the allowance; called on every arrival, end, report and timer tick."""
        ...
