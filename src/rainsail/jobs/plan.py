"""Where items run: on slots that online work leaves free, given back when it comes.

Pure decisions over what is known of each runner's slots. Online work is what gateways say that
they have under way; items are the dispatcher's own.
"""

from dataclasses import dataclass

from rainsail.mechanisms import DEFAULTS, Mechanisms


@dataclass(frozen=True, slots=True)
class PlanSettings:
    """How much of a runner items may take.

    Items take every slot that online work leaves: a request that finds a runner full waits for as
    long as an item takes to give way, which is well within the targets, while each slot that is
    kept free costs batch work a tenth of its room. Where an item has just given way online work is
    rising, so the slots that become free there are left to it for ``crowded_s``; items that are
    started there are cut again at once, and each start reads a prompt.
    """

    crowded_s: float = 0.4
    start_gap_s: float = 0.1
    """Time between two starts at one runner: each begins with reading a prompt."""
    note_period_s: float = 0.5
    """Time between two notes of how far items have come; a new leader runs at most this again."""
    blind_s: float = 1.5
    """A new leader waits this long at most for the gateways' words before it starts items."""
    mechanisms: Mechanisms = DEFAULTS


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


def items_to_yield(room: RunnerRoom) -> int:
    """Return how many items a runner must give back for online work."""
    return max(0, min(room.items, -room.free))


def roomiest(rooms: list[RunnerRoom]) -> RunnerRoom | None:
    """Return the runner with most room for an item, None when none has any."""
    best: RunnerRoom | None = None
    best_free = 0
    for room in rooms:
        if room.free > best_free:
            best, best_free = room, room.free
    return best
