"""Real replicas on simulated disks and network, with gateway views and an operator's client."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from features.support.declared_fleet import FleetSize, declarations
from features.support.virtual_time import result_of, wait_until

from rainsail.assembly.replica_config import ReplicaConfig
from rainsail.consensus.settings import ConsensusSettings
from rainsail.control.config_view import ConfigView
from rainsail.control.leader_client import LeaderClient
from rainsail.control.settings import ControlSettings
from rainsail.resources.specs import GatewaySpec
from rainsail.simulation.clock import SkewedClock, VirtualClock
from rainsail.simulation.engine_link import EngineNetwork
from rainsail.simulation.network import LinkConditions, SimulatedNetwork, SimulatedTransport
from rainsail.simulation.processes import ReplicaProcess, World
from rainsail.state.settings import StateSettings
from rainsail.wire.messenger import Messenger

DECLARATION_LIMIT_S = 60.0


@dataclass(frozen=True, slots=True)
class ViewTraffic:
    """Messages and bytes sent and received by all gateway views."""

    messages: int
    bytes: int


class RealGroupFleet:
    """Replicas r1 to rN, assembled as in the daemons, in virtual time."""

    def __init__(
        self,
        replicas: int,
        seed: int = 0,
        loss: float = 0.0,
        snapshot_entries: int = 0,
        remembered_changes: int = 0,
        delay_s: float = 0.0005,
        jitter_s: float = 0.0002,
        count_bytes: bool = False,
    ) -> None:
        self.clock = VirtualClock()
        conditions = LinkConditions(delay_s, jitter_s, loss=loss)
        self.network = SimulatedNetwork(self.clock, random.Random(seed), conditions, count_bytes)
        self.world = World(seed, self.clock, self.network, EngineNetwork(self.clock))
        self.settings = ControlSettings()
        self.names = tuple(f"r{number + 1}" for number in range(replicas))
        self.views: dict[str, ConfigView] = {}
        self.clocks: dict[str, SkewedClock] = {}
        self.transports: dict[str, SimulatedTransport] = {}
        self.seen: dict[str, list[int]] = {}
        self.replicas = {
            name: ReplicaProcess(
                self.world,
                name,
                f"z{number % 3}",
                self._config(name, snapshot_entries, remembered_changes),
                None,
            )
            for number, name in enumerate(self.names)
        }
        for replica in self.replicas.values():
            replica.start()
        self.wait_until(lambda: bool(self.leader()))

    def _config(self, name: str, snapshot_entries: int, remembered_changes: int) -> ReplicaConfig:
        consensus, state = ConsensusSettings(), StateSettings()
        if snapshot_entries:
            consensus = ConsensusSettings(snapshot_log_entries=snapshot_entries)
        if remembered_changes:
            state = StateSettings(change_window_count=remembered_changes)
        return ReplicaConfig(name, "fleet", self.names, consensus, state=state)

    def leader(self) -> str:
        """Return the replica that leads and holds its read lease now; empty when there is none."""
        for name, replica in self.replicas.items():
            group = replica.node.group if replica.running and replica.node else None
            if group is not None and group.is_leader():
                return name
        return ""

    def state(self, name: str):
        """Return a replica's replicated state."""
        return self.replicas[name].node.state

    def client(self, name: str, clock=None) -> LeaderClient:
        """Return a client of a new process."""
        clock = clock or self.clock
        return self._client(name, Messenger(self.network.transport(name, "z0"), clock), clock)

    def _client(self, name: str, messenger: Messenger, clock) -> LeaderClient:
        return LeaderClient(messenger, self.names, clock, random.Random(name), self.settings)

    def start_view(self, name: str, incarnation: str) -> ConfigView:
        """Start a gateway's view; replaces an earlier one of the same name."""
        if name in self.clocks:
            self.clocks[name].stop()
        clock = self.clocks[name] = SkewedClock(self.clock)
        transport = self.transports[name] = self.network.transport(name, "z1")
        messenger = Messenger(transport, clock)
        view = ConfigView(
            name,
            incarnation,
            GatewaySpec("south", "z1", incarnation),
            messenger,
            self._client(name, messenger, clock),
            clock,
            random.Random(f"{name}/{incarnation}"),
            self.settings,
        )
        self.views[name] = view
        revisions = self.seen.setdefault(f"{name}/{incarnation}", [])
        view.on_event(lambda event: revisions.append(event.revision))
        view.start()
        return view

    def kill_view(self, name: str) -> None:
        """Kill a gateway's process; its lease is not released."""
        del self.views[name]
        self.clocks[name].stop()
        self.transports.pop(name).close()

    def cut_off(self, name: str) -> None:
        """Partition a process from the replicas and the gateway views without an error."""
        for other in [*self.names, *self.views]:
            if other != name:
                self.network.cut(name, other)
                self.network.cut(other, name)

    def declare(self, size: FleetSize) -> None:
        """Commit the resources of a fleet through the leader."""
        group = self.replicas[self.leader()].node.group
        answers: list = []
        commands = list(declarations(size))
        for command in commands:
            group.propose(command).addCallback(answers.append)
        self.wait_until(lambda: len(answers) == len(commands), DECLARATION_LIMIT_S)
        assert all(answer.is_ok() for answer in answers)

    def view_traffic(self) -> ViewTraffic:
        """Return the traffic that the gateway views have sent and received so far."""
        counts = [transport.traffic for transport in self.transports.values()]
        return ViewTraffic(
            sum(each.messages_sent + each.messages_received for each in counts),
            sum(each.bytes_sent + each.bytes_received for each in counts),
        )

    def finish(self, deferred, limit_s: float = 40.0):
        """Run virtual time until a Deferred has fired; return its result."""
        return result_of(self.clock, deferred, limit_s)

    def wait_until(self, condition: Callable[[], bool], limit_s: float = 30.0) -> float:
        """Run virtual time until a condition holds; return the seconds that took."""
        return wait_until(self.clock, condition, limit_s)
