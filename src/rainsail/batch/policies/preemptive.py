"""Low priority, immediate preemption, and yielding to long online prompts.

Engines schedule by priority, so a slot taken by batch delays an online request by at most the
current iteration. The cost of batch work for online callers is longer iterations: each batch
sequence lengthens every iteration that a long prompt needs before its first token. While such
prompts wait, the policy starts no items and keeps only as many as fit a budget for the added time.
``batch_weight`` is that budget.

docs/design/batch.md compares the alternatives with figures. ``jobs.slot_use`` counts slots instead,
since relayed runners do not schedule by priority.
"""

from dataclasses import dataclass

from rainsail.batch.interface import BatchAllowance, BatchRunnerView

LONG_PROMPT_TOKENS = 1000
"""Online prompt tokens that wait at a runner above which batch work is preempted.

In trials, batch throughput relative to its upper bound was 0.854 with 512 and 0.871 with 1000; the
online p99 relative to a run without batch was 1.092 and 1.079 (docs/design/batch.md).
"""
MAX_ENGINE_QUEUED_ITEMS = 8
"""Maximum of running items beyond the free slots that are left to the engine's own queue.

In trials, batch throughput relative to its upper bound was 0.964 without such items and 0.984 with
8; the online p99 relative to a run without batch was 1.208 and 1.197 (docs/design/batch.md).
"""


@dataclass(slots=True)
class PreemptivePolicy:
    """Fills the slots that online work leaves free; preempts items for long online prompts.

    ``batch_weight`` is the share of a runner's slots that stay in use, including online work,
    while ``LONG_PROMPT_TOKENS`` wait; the share falls as more wait. 0: lowest online tail latency;
    1: highest throughput.
    """

    batch_weight: float = 0.5
    name: str = "preemptive"
    low_priority: bool = True

    def allowance(self, view: BatchRunnerView) -> BatchAllowance:
        """Return the slots that online work leaves free, fewer while long online prompts wait."""
        free = max(0, view.slots - view.online_running)
        if view.online_prefill_tokens > LONG_PROMPT_TOKENS:
            kept = min(free, self.items_during_prefill(view))
            return BatchAllowance(min(kept, view.batch_running), "long online prompts wait")
        queued = min(free, MAX_ENGINE_QUEUED_ITEMS, max(0, view.batch_running - free))
        return BatchAllowance(free + queued, f"{view.online_running} online")

    def items_during_prefill(self, view: BatchRunnerView) -> int:
        """Return how many items may run while long online prompts are in prefill.

        A longer prompt needs more iterations and delays more requests behind it, so the number
        falls with the square of the waiting tokens.
        """
        waiting = view.online_prefill_tokens / LONG_PROMPT_TOKENS
        sequences = self.batch_weight * view.slots / (waiting * waiting)
        return max(0, int(sequences) - view.online_running)
