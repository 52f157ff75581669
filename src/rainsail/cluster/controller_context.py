"""Dependencies and settings shared by the parts of a controller."""

from dataclasses import dataclass

from rainsail.cluster.directory import NodeDirectory
from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.messages import NodeRecord
from rainsail.cluster.registry import RunnerRegistry
from rainsail.consensus.driver import GroupDriver
from rainsail.runtime.clock import Clock
from rainsail.wire.messenger import Messenger


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """Settings of a controller.

    ``losses`` is how many machines with a disk may be lost at one time, ``zones`` the zones of the
    fleet (empty: not configured). ``order_within_s`` and ``share_within_s`` are the deadlines of an
    operator's order and of a runner's report, after which the caller is told that the outcome is
    unknown. Both are shorter than the second that a call between nodes may take.
    """

    losses: int = 1
    zones: frozenset[str] = frozenset()
    order_within_s: float = 0.9
    share_within_s: float = 0.8


@dataclass(frozen=True, slots=True)
class ControllerContext:
    """One controller: its member of the root group and its connections to the other nodes.

    ``state`` is the root group's replicated state as applied by this member. ``directory`` holds
    the nodes that have sent heartbeats to this controller.
    """

    node: NodeRecord
    group: GroupDriver
    state: FleetState
    directory: NodeDirectory
    follower: FleetFollower
    messenger: Messenger
    clock: Clock
    settings: ControllerSettings

    @property
    def registry(self) -> RunnerRegistry:
        """The runners that this node knows."""
        return self.follower.registry

    @property
    def epoch(self) -> int:
        """Distinguishes this run of the controller from earlier ones at the same address."""
        return self.node.incarnation

    def live_nodes(self) -> tuple[str, ...]:
        """Return the addresses of all live nodes, to push changes to."""
        return tuple(self.directory.live_addresses(self.clock.seconds()))
