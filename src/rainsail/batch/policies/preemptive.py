"""Low priority, immediate preemption, and yielding to long online prompts.

An engine puts high-priority work before low by itself, so a place taken by batch delays no
online request by more than the iteration under way. What batch work does cost online callers
is longer iterations: each sequence lengthens every iteration that a long prompt needs before
its first token. While such prompts wait, the policy keeps only so many sequences that the time
they add stays within a budget, and starts none. ``batch_weight`` is that budget.

docs/design/batch.md gives the ways that were weighed and their figures. ``jobs.slot_use`` counts
slots instead, since relayed runners do not put urgent requests first by themselves.
"""

from dataclasses import dataclass

from rainsail.batch.interface import BatchAllowance, BatchRunnerView

LONG_PROMPT_TOKENS = 1000
"""Online prompt tokens waiting at a runner above which batch work is preempted.

Trials, share of the bound / harm: 0.854 / 1.092 with 512, 0.871 / 1.079 with 1000
(docs/design/batch.md).
"""
MAX_ENGINE_QUEUED_ITEMS = 8
"""Most running items that an engine may hold back in its own queue while online work runs.

Trials, share of the bound / harm: 0.964 / 1.208 without it, 0.984 / 1.197 with 8
(docs/design/batch.md).
"""


@dataclass(slots=True)
class PreemptivePolicy:
    """Fills the slots that online work leaves; preempts items for long online prompts.

    ``batch_weight`` is the share of a runner's slots that stay in use, online work included,
    while ``LONG_PROMPT_TOKENS`` wait; the share falls as more wait. 0: least harm to the online
    tail; 1: most throughput.
    """

    batch_weight: float = 0.5
    name: str = "preemptive"
    low_priority: bool = True

    def allowance(self, view: BatchRunnerView) -> BatchAllowance:
        """Return the slots left by online work, fewer while long online prompts wait."""
        free = max(0, view.slots - view.online_running)
        if view.online_prefill_tokens > LONG_PROMPT_TOKENS:
            kept = min(free, self.items_during_prefill(view))
            return BatchAllowance(min(kept, view.batch_running), "long online prompts wait")
        queued = min(free, MAX_ENGINE_QUEUED_ITEMS, max(0, view.batch_running - free))
        return BatchAllowance(free + queued, f"{view.online_running} online")

    def items_during_prefill(self, view: BatchRunnerView) -> int:
        """Return how many items may lengthen the iterations that read the waiting prompts.

        A longer prompt needs more iterations and has more requests behind it: what is kept
        falls with the square of the waiting tokens.
        """
        waiting = view.online_prefill_tokens / LONG_PROMPT_TOKENS
        sequences = self.batch_weight * view.slots / (waiting * waiting)
        return max(0, int(sequences) - view.online_running)
