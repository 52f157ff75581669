"""The controllers that a node knows: when each answered last, and what it said of the fleet.

Owns nothing durable. Which of them a node sends heartbeats to is decided by ``followed``.
"""

from dataclasses import dataclass

from rainsail.cluster.followed import followed_controllers
from rainsail.cluster.messages import FleetView, NodeBeatReply
from rainsail.runtime.clock import Clock

NEVER_S = float("-inf")
HEARTBEAT_PERIOD_S = 1.0
"""Time between two heartbeats to a controller.

Not measured; whatever a lost push left out is made good after this time.
"""
FRESH_WITHIN_S = 2 * HEARTBEAT_PERIOD_S
"""A controller counts as in touch for two heartbeats: a single one may get lost."""
FORGOTTEN_AFTER_S = 30.0
"""A controller that nobody names and that answers nothing is forgotten after this time.

Not measured; it has to be longer than the restart of a machine.
"""
EMPTY_VIEW = FleetView((), (), (), (), "")


@dataclass(slots=True)
class KnownController:
    """One controller, as far as this node has heard of it.

    ``epoch``, ``revision`` and ``view_number`` say what this node has of its state. ``heard_s`` is
    when it last answered, ``asked_s`` when this node first knew its address.
    """

    asked_s: float
    epoch: int = 0
    revision: int = 0
    view_number: int = 0
    heard_s: float = NEVER_S
    waiting: bool = False
    """Whether a heartbeat waits for its answer."""
    fetching: bool = False
    """Whether a routing table is being fetched from it."""
    view: FleetView = EMPTY_VIEW

    @property
    def was_heard(self) -> bool:
        """Whether it has ever answered."""
        return self.heard_s > NEVER_S


class KnownControllers:
    """All controllers that were ever named to a node, by address."""

    def __init__(self, own_address: str, seeds: tuple[str, ...], clock: Clock) -> None:
        """``seeds`` are the controllers that the settings name; they are never forgotten."""
        self._own_address = own_address
        self._seeds = seeds
        self._clock = clock
        self._by_address: dict[str, KnownController] = {}

    def know_seeds(self, seeds: tuple[str, ...] | None = None) -> None:
        """Know the seeds, or others that the settings name now."""
        if seeds is not None:
            self._seeds = seeds
        for address in self._seeds:
            self.know(address)

    def know(self, address: str) -> KnownController:
        """Return the controller of an address, one more if it was not known."""
        known = self._by_address.get(address)
        if known is None:
            known = self._by_address[address] = KnownController(self._clock.seconds())
        return known

    def get(self, address: str) -> KnownController | None:
        """Return the controller of an address, None when it is not known."""
        return self._by_address.get(address)

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all known controllers, in order."""
        return tuple(sorted(self._by_address))

    def note_answer(self, controller: KnownController, reply: NodeBeatReply) -> None:
        """Note the answer to a heartbeat, and know the controllers that it names."""
        controller.heard_s = self._clock.seconds()
        controller.epoch = reply.epoch
        controller.revision = reply.revision
        controller.view_number = reply.view_number
        if reply.view is not None:
            controller.view = reply.view
            for name in reply.view.controllers:
                self.know(name)

    def forget_lost(self) -> None:
        """Forget those that nobody names any more and that have answered nothing for long."""
        now = self._clock.seconds()
        named = {name for each in self.heard()[-1:] for name in each.view.controllers}
        for address, controller in list(self._by_address.items()):
            if address in self._seeds or address in named:
                continue
            if now - max(controller.heard_s, controller.asked_s) > FORGOTTEN_AFTER_S:
                del self._by_address[address]

    # --- who is in touch -----------------------------------------------------------------

    @property
    def any_answered(self) -> bool:
        """Whether some controller has ever answered."""
        return any(each.was_heard for each in self._by_address.values())

    def heard_lately(self) -> int:
        """Return how many controllers have answered within the last two heartbeats."""
        return len(self.in_touch())

    def in_touch(self) -> list[str]:
        """Return the addresses of those that have answered within the last two heartbeats."""
        now = self._clock.seconds()
        return [
            address
            for address, each in self._by_address.items()
            if now - each.heard_s < FRESH_WITHIN_S
        ]

    def hears(self, count: int, within_s: float) -> bool:
        """Tell whether so many voters have answered within a time.

        What a quorum of voters knows, one of ``losses + 1`` voters knows.
        """
        return self.answer_age_s(count) <= within_s

    def answer_age_s(self, count: int) -> float:
        """Return how long ago so many voters had last answered."""
        voters = self.voters() or self._by_address
        found = [each for name, each in self._by_address.items() if name in voters]
        heard = sorted((each.heard_s for each in found), reverse=True)
        if len(heard) < count:
            return float("inf")
        return self._clock.seconds() - heard[count - 1]

    def followed(self, round_number: int) -> list[str]:
        """Return the controllers to send heartbeats to in a round."""
        heard_s = {
            name: each.heard_s
            for name, each in self._by_address.items()
            if name != self._own_address
        }
        now = self._clock.seconds()
        return followed_controllers(heard_s, self.voters(), self._seeds, round_number, now)

    # --- what they say -------------------------------------------------------------------

    def heard(self) -> list[KnownController]:
        """Return those that have ever answered, the one heard of last at the end."""
        heard = [each for each in self._by_address.values() if each.was_heard]
        return sorted(heard, key=lambda each: each.heard_s)

    def newest_view(self) -> FleetView:
        """Return the view of the controller heard of last."""
        heard = self.heard()
        return heard[-1].view if heard else EMPTY_VIEW

    def voters(self) -> tuple[str, ...]:
        """Return the voters of the root group as the controller heard of last names them."""
        return self.newest_view().voters
