"""Where items run: on slots that online work leaves free, given back when it comes.

Pure decisions over what is known of each runner's slots. Online work is what gateways say that
they have under way; items are the dispatcher's own.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlanSettings:
    """How much of a runner items may take.

    ``reserve_share`` of a runner's slots (one at least) stays free for online work that is about
    to come; items give way once less than ``yield_share`` of the slots is free. That share is 0: a
    request that finds a runner full waits for as long as an item takes to give way, which is well
    within the targets, and each slot more that is kept free costs batch work a tenth of its room.
    """

    reserve_share: float = 0.1
    yield_share: float = 0.0
    start_gap_s: float = 0.1
    """Time between two starts at one runner: each begins with reading a prompt."""
    note_period_s: float = 0.5
    """Time between two notes of how far items have come; a new leader runs at most this again."""
    blind_s: float = 1.5
    """A new leader waits this long at most for the gateways' words before it starts items."""


@dataclass(frozen=True, slots=True)
class RunnerRoom:
    """One runner's slots, and who holds them."""

    runner: str
    slots: int
    online: int
    items: int
    foreign: int = 0
    """Requests that run there and are neither gateways' nor this leader's."""

    @property
    def free(self) -> int:
        """Slots that nobody holds; less than 0 when requests wait."""
        return self.slots - self.online - self.items - self.foreign


def free_for_items(room: RunnerRoom, settings: PlanSettings) -> int:
    """Return how many more items a runner may take now."""
    reserve = max(1, round(room.slots * settings.reserve_share))
    return room.free - reserve


def items_to_yield(room: RunnerRoom, settings: PlanSettings) -> int:
    """Return how many items a runner must give back for online work."""
    kept_free = round(room.slots * settings.yield_share)
    over = kept_free - room.free
    return max(0, min(room.items, over))


def roomiest(rooms: list[RunnerRoom], settings: PlanSettings) -> RunnerRoom | None:
    """Return the runner with most room for an item, None when none has any."""
    best: RunnerRoom | None = None
    best_free = 0
    for room in rooms:
        free = free_for_items(room, settings)
        if free > best_free:
            best, best_free = room, free
    return best
