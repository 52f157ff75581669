"""A controller's knowledge of the fleet's nodes, and the view of it sent in heartbeat replies.

The sources are the root group's membership and state, the directory of nodes that send heartbeats
here and, while this controller is outside the group, what its own follower has learned.
"""

from rainsail.cluster.controller_context import ControllerContext
from rainsail.cluster.heartbeat_replies import NumberedView
from rainsail.cluster.heartbeat_targets import FOLLOW_ALL_LIMIT
from rainsail.cluster.messages import FleetView, NodeRole

GATEWAY_COUNT_STEP = 32
"""The number of gateways is rounded up to a multiple of this, so that the view rarely changes.

It has to be larger than the number of gateways that start or stop within a minute.
"""


class FleetViews:
    """Builds the view of one controller and lists the other controllers."""

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        self._numbered = NumberedView(self._make)

    @property
    def number(self) -> int:
        """The number of the latest view; it increases whenever the view changes."""
        return self._numbered.number

    def current(self) -> FleetView:
        """Return the view, from a short-lived cache."""
        return self._numbered.current(self._context.clock.seconds())

    def voters(self) -> tuple[str, ...]:
        """Return the root group's voters; outside the group, as other controllers report them."""
        own = tuple(member.replica for member in self._context.group.members().voters())
        return own or self._context.follower.controllers.voters()

    def other_controllers(self) -> list[str]:
        """Return the controllers to call when this one does not lead."""
        context = self._context
        known = {*self._make(context.clock.seconds()).controllers, *self._heard_controllers()}
        named = self.voters() or known
        return sorted(name for name in named if name != context.node.address)

    def is_followed(self) -> bool:
        """Tell whether all nodes send heartbeats here, so that they get the pushes from here."""
        known = {*self._numbered.view.controllers, *self._heard_controllers()}
        return self._context.node.address in self.voters() or len(known) <= FOLLOW_ALL_LIMIT

    def contacts(self) -> tuple[str, ...]:
        """Return the controllers that may join, or the ones to ask for admission.

        Before the first heartbeats arrive, a controller knows the others only from its seeds.
        """
        context = self._context
        known = {*self.current().controllers, *self._heard_controllers()}
        members = self._members()
        asked = members or set(context.follower.view().voters)
        if context.node.address in members or len(known) <= FOLLOW_ALL_LIMIT or not asked:
            return tuple(sorted(known))
        return tuple(sorted(asked))

    def zones(self) -> frozenset[str]:
        """Return the fleet's zones: those in the settings, or else those of nodes and runners."""
        context = self._context
        return context.settings.zones or context.directory.zones() | context.registry.zones()

    def _members(self) -> set[str]:
        return {member.replica for member in self._context.group.members().members}

    def _heard_controllers(self) -> tuple[str, ...]:
        return self._context.follower.view().controllers

    def _make(self, now: float) -> FleetView:
        context = self._context
        directory = context.directory
        controllers = {context.node.address, *self._members()}
        controllers.update(directory.addresses(NodeRole.CONTROLLER, now))
        leading = directory.ledger_status(now)
        return FleetView(
            tuple(sorted(controllers)),
            directory.addresses(NodeRole.STORAGE, now),
            context.state.founders,
            context.state.released,
            "" if leading is None else leading[0],
            tuple(member.replica for member in context.group.members().voters()),
            () if leading is None else leading[1].voters,
            0 if leading is None else leading[1].term,
            _rounded_up(len(directory.live(NodeRole.GATEWAY, now))),
            context.registry.zone_drains.orders(),
            context.follower.quarantine.current,
        )


def _rounded_up(count: int) -> int:
    return -(-count // GATEWAY_COUNT_STEP) * GATEWAY_COUNT_STEP
