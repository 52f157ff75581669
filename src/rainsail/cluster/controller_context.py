"""What the parts of a controller share: its settings, and what it is given from outside."""

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
    """How a controller is set up.

    ``losses`` is how many machines with a disk may be lost at one time, ``zones`` the zones of the
    fleet (empty: not named). ``order_within_s`` and ``share_within_s`` are the seconds after which
    the caller of an operator's order, or of a runner's report, hears that the outcome is unclear.
    Neither was measured; both end within the second that a call between nodes may take.
    """

    losses: int = 1
    zones: frozenset[str] = frozenset()
    order_within_s: float = 0.9
    share_within_s: float = 0.8


@dataclass(frozen=True, slots=True)
class ControllerContext:
    """One controller: its place in the root group and its ways to the other nodes.

    ``state`` is the root group's replicated state as this member has applied it. ``directory``
    holds the nodes that have sent heartbeats to this controller.
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
        """Tells this run of the controller from earlier ones at the same address."""
        return self.node.incarnation

    def live_nodes(self) -> tuple[str, ...]:
        """Return the addresses of all live nodes, to push changes to."""
        return tuple(self.directory.live_addresses(self.clock.seconds()))
