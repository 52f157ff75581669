"""The interface of dispatch policies.

A ``DispatchPolicy`` is pure: from a ``BatchRunnerView`` it computes how many batch items a runner
may hold; running items above that number are preempted. ``rainsail.batch.dispatcher`` does the I/O
for the runners that its gateway owns.
"""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class BatchRunnerView:
    """The current state of one owned runner as the dispatcher knows it.

    ``online_running`` counts this gateway's own online requests there, ``reported_running`` and
    ``reported_waiting`` are the figures of the last load report, and ``online_prefill_tokens``
    counts the prompt tokens of this gateway's online requests there that have no first token yet.
    """

    slots: int
    online_running: int
    batch_running: int
    reported_running: int
    reported_waiting: int
    online_prefill_tokens: int = 0


@dataclass(frozen=True, slots=True)
class BatchAllowance:
    """How many batch items may run on a runner; any more that run are preempted."""

    items: int
    reason: str


class DispatchPolicy(Protocol):
    """Decides the batch share of one runner."""

    name: str
    low_priority: bool
    """Whether batch items are sent to engines with low priority."""

    def allowance(self, view: BatchRunnerView) -> BatchAllowance:
        """Return the allowance; called on every arrival, end, load report and timer tick."""
        ...
