"""The controllers that a node knows: when each last answered, and its view of the fleet.

Nothing here is durable. ``heartbeat_targets`` decides which of them get heartbeats.
"""

from dataclasses import dataclass

from rainsail.cluster.heartbeat_targets import choose_heartbeat_targets
from rainsail.cluster.messages import FleetView, NodeHeartbeatReply
from rainsail.runtime.clock import Clock

NEVER_S = float("-inf")
HEARTBEAT_PERIOD_S = 1.0
"""Period of the heartbeats to a controller.

Whatever a lost push left out is covered after this time.
"""
IN_TOUCH_WITHIN_S = 2 * HEARTBEAT_PERIOD_S
"""A controller stays in touch for two heartbeat periods, since a single heartbeat may be lost."""
FORGOTTEN_AFTER_S = 30.0
"""An unresponsive controller that no view lists any more is forgotten after this time.

It has to be longer than the restart of a machine.
"""
EMPTY_VIEW = FleetView((), (), (), (), "")


@dataclass(slots=True)
class KnownController:
    """One controller, as far as this node knows it.

    ``epoch``, ``revision`` and ``view_number`` say which of its state this node has.
    ``last_answer_s`` is when it last answered, ``known_since_s`` when this node first knew its
    address.
    """

    known_since_s: float
    epoch: int = 0
    revision: int = 0
    view_number: int = 0
    last_answer_s: float = NEVER_S
    waiting: bool = False
    """Whether a heartbeat is unanswered so far."""
    told_version: int = 0
    """The newest routing table that it has told of."""
    fetching: bool = False
    """Whether a routing table is being fetched from it."""
    fetch_failed: bool = False
    """Whether it did not answer the last fetch, and has not been heard since."""
    view: FleetView = EMPTY_VIEW

    @property
    def has_answered(self) -> bool:
        """Whether it has ever answered."""
        return self.last_answer_s > NEVER_S


class KnownControllers:
    """All controllers that a node has learned of and not forgotten, by address."""

    def __init__(self, own_address: str, seeds: tuple[str, ...], clock: Clock) -> None:
        """``seeds`` are the controllers in the settings; they are never forgotten."""
        self._own_address = own_address
        self._seeds = seeds
        self._clock = clock
        self._by_address: dict[str, KnownController] = {}

    def add_seeds(self, seeds: tuple[str, ...] | None = None) -> None:
        """Add the seeds; ``seeds`` replaces the former ones if given."""
        if seeds is not None:
            self._seeds = seeds
        for address in self._seeds:
            self.get_or_add(address)

    def get_or_add(self, address: str) -> KnownController:
        """Return the controller at an address; add it if it is unknown."""
        known = self._by_address.get(address)
        if known is None:
            known = self._by_address[address] = KnownController(self._clock.seconds())
        return known

    def get(self, address: str) -> KnownController | None:
        """Return the controller at an address, None if it is unknown."""
        return self._by_address.get(address)

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all known controllers, sorted."""
        return tuple(sorted(self._by_address))

    def note_answer(self, controller: KnownController, reply: NodeHeartbeatReply) -> None:
        """Record the reply to a heartbeat, and add the controllers that it lists."""
        controller.last_answer_s = self._clock.seconds()
        controller.fetch_failed = False
        controller.epoch = reply.epoch
        controller.revision = reply.revision
        controller.view_number = reply.view_number
        if reply.view is not None:
            controller.view = reply.view
            for name in reply.view.controllers:
                self.get_or_add(name)

    def forget_unreachable(self) -> None:
        """Forget unresponsive controllers that the newest view does not list any more."""
        now = self._clock.seconds()
        named = {name for each in self.answered()[-1:] for name in each.view.controllers}
        for address, controller in list(self._by_address.items()):
            if address in self._seeds or address in named:
                continue
            if now - max(controller.last_answer_s, controller.known_since_s) > FORGOTTEN_AFTER_S:
                del self._by_address[address]

    # --- which controllers are in touch --------------------------------------------------

    @property
    def any_answered(self) -> bool:
        """Whether any controller has ever answered."""
        return any(each.has_answered for each in self._by_address.values())

    def count_in_touch(self) -> int:
        """Return how many controllers have answered within the last two heartbeat periods."""
        return len(self.in_touch())

    def in_touch(self) -> list[str]:
        """Return the addresses of those that answered within the last two heartbeat periods."""
        now = self._clock.seconds()
        return [
            address
            for address, each in self._by_address.items()
            if now - each.last_answer_s < IN_TOUCH_WITHIN_S
        ]

    def answered_within(self, count: int, within_s: float) -> bool:
        """Tell whether ``count`` voters have answered within the last ``within_s`` seconds.

        Of any ``losses + 1`` voters, at least one knows whatever a quorum knows.
        """
        return self.answer_age_s(count) <= within_s

    def answer_age_s(self, count: int) -> float:
        """Return the age of the ``count``-th most recent answer of a voter."""
        voters = self.voters() or self._by_address
        found = [each for name, each in self._by_address.items() if name in voters]
        answered_s = sorted((each.last_answer_s for each in found), reverse=True)
        if len(answered_s) < count:
            return float("inf")
        return self._clock.seconds() - answered_s[count - 1]

    def heartbeat_targets(self, round_number: int) -> list[str]:
        """Return the controllers to send heartbeats to in a round."""
        last_answer_s = {
            name: each.last_answer_s
            for name, each in self._by_address.items()
            if name != self._own_address
        }
        now = self._clock.seconds()
        return choose_heartbeat_targets(
            last_answer_s, self.voters(), self._seeds, round_number, now
        )

    # --- routing tables ------------------------------------------------------------------

    def newest_told_version(self) -> int:
        """Return the newest table that any controller has told of, 0 for none."""
        return max((each.told_version for each in self._by_address.values()), default=0)

    def source_of_newer_table(self, version: int) -> str:
        """Return a controller to fetch a table newer than ``version`` from, "" for none.

        Leaves out those that are being asked, and those that did not answer.
        """
        sources = [
            (each.told_version, each.last_answer_s, address)
            for address, each in self._by_address.items()
            if each.told_version > version and not each.fetching and not each.fetch_failed
        ]
        return max(sources)[-1] if sources else ""

    # --- their views ---------------------------------------------------------------------

    def answered(self) -> list[KnownController]:
        """Return those that have ever answered, the most recent answer last."""
        answered = [each for each in self._by_address.values() if each.has_answered]
        return sorted(answered, key=lambda each: each.last_answer_s)

    def newest_view(self) -> FleetView:
        """Return the view of the controller that answered most recently."""
        answered = self.answered()
        return answered[-1].view if answered else EMPTY_VIEW

    def voters(self) -> tuple[str, ...]:
        """Return the voters of the root group according to the newest view."""
        return self.newest_view().voters
