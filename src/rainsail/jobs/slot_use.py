"""Use of a runner's slots, and the placement and preemption decisions based on it. Pure.

Items take every slot that online work leaves free and are preempted when it returns: a request that
finds a runner full waits only as long as a preemption takes, while a permanently reserved slot is
always lost to batch work.

``batch.policies`` lets native items share an engine with online work, because native engines
schedule by priority. Relayed runners do not, so here every item occupies a slot.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotUse:
    """A runner's slots, and the number of requests of each origin that hold them."""

    runner: str
    zone: str
    slots: int
    online: int
    """Requests that gateways report as in flight."""
    items: int
    """Items that this node's dispatcher runs."""
    other_callers: int = 0
    """Other requests that the runner reports."""

    @property
    def free(self) -> int:
        """Free slots; negative if requests wait for a slot."""
        return self.slots - self.online - self.items - self.other_callers


def items_to_preempt(use: SlotUse) -> int:
    """Return how many items must be preempted at a runner for online work."""
    return max(0, min(use.items, -use.free))


def choose_runner(candidates: list[SlotUse], zone: str) -> SlotUse | None:
    """Return the candidate with the most free slots, preferring the local zone.

    None if no candidate has a free slot.
    """
    local = (use for use in candidates if use.zone == zone)
    return _with_most_free_slots(local) or _with_most_free_slots(candidates)


def _with_most_free_slots(candidates: Iterable[SlotUse]) -> SlotUse | None:
    """Return the first runner with the most free slots, None if none has any."""
    best: SlotUse | None = None
    best_free = 0
    for use in candidates:
        if use.free > best_free:
            best, best_free = use, use.free
    return best
