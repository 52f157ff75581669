"""Low priority, immediate preemption, and yielding to long online prompts.

An engine puts high-priority work before low by itself, so a place taken by batch delays no
online request by more than the iteration under way. What batch work does cost online callers
is longer iterations: each sequence lengthens every iteration that a long prompt needs before
its first token. While such prompts wait, the policy keeps none.

docs/design/batch.md gives the ways that were weighed and their figures.
"""

from dataclasses import dataclass

from rainsail.batch.interface import BatchAllowance, RunnerView

LONG_PROMPT_TOKENS = 1000
"""Online prompt tokens waiting at a runner from which batch work steps aside."""
HELD_BACK_ITEMS = 8
"""Most running items that an engine may hold back in its own queue while online work runs."""


@dataclass(slots=True)
class PreemptivePolicy:
    """Fills the slots that online work leaves and steps aside for long online prompts."""

    batch_weight: float = 0.5
    name: str = "preemptive"
    low_priority: bool = True

    def allowance(self, view: RunnerView) -> BatchAllowance:
        """Return the slots left by online work, fewer while long online prompts wait."""
        free = max(0, view.slots - view.online_running)
        if view.online_prefill_tokens > LONG_PROMPT_TOKENS:
            return BatchAllowance(0, "long online prompts wait")
        held_back = min(free, HELD_BACK_ITEMS, max(0, view.batch_running - free))
        return BatchAllowance(free + held_back, f"{view.online_running} online")
