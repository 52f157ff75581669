"""Who holds the slots of a runner, and the decisions that follow from it. Pure.

Items take every slot that online work leaves free and are preempted when it comes back: a request
that finds a runner full waits only as long as a preemption takes, while a slot that is always kept
free is lost to batch work all day.

``batch.policies`` lets native items share an engine with online work, since native engines put
urgent requests first by themselves; a relayed runner doesn't, so here an item holds a slot.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotUse:
    """One runner's slots, and how many requests of each origin hold them."""

    runner: str
    zone: str
    slots: int
    online: int
    """Requests that gateways report as under way."""
    items: int
    """Items that this node's dispatcher runs."""
    other_callers: int = 0
    """Requests that the runner reports and that are neither of these."""

    @property
    def free(self) -> int:
        """Slots that nobody holds; less than 0 when requests wait."""
        return self.slots - self.online - self.items - self.other_callers


def items_to_preempt(use: SlotUse) -> int:
    """Return how many items a runner must give up to online work."""
    return max(0, min(use.items, -use.free))


def choose_runner(candidates: list[SlotUse], zone: str) -> SlotUse | None:
    """Return where an item runs: where most slots are free, in the own zone if any is free there.

    None when no candidate has a free slot.
    """
    local = (use for use in candidates if use.zone == zone)
    return _with_most_free_slots(local) or _with_most_free_slots(candidates)


def _with_most_free_slots(candidates: Iterable[SlotUse]) -> SlotUse | None:
    """Return the first runner with the most free slots, None when none has any."""
    best: SlotUse | None = None
    best_free = 0
    for use in candidates:
        if use.free > best_free:
            best, best_free = use, use.free
    return best
