"""A fleet's control on the virtual clock: real replicas, hollow nodes, a few real gateways."""

import random as random_module
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from features.support.hollow.hollow_engines import HollowEngineClient
from features.support.hollow.hollow_node import HollowNode
from features.support.hollow.meter import Meter, MeteredClock, MeteredTransport
from features.support.hollow.workload import (
    FleetSize,
    declarations,
    gateway_spec,
    node_name,
    tenant_name,
    version_at,
)

from rainsail.assembly.gateway import GatewayConfig, GatewayNode
from rainsail.assembly.replica import ReplicaConfig, ReplicaNode
from rainsail.assembly.seams import GatewaySeams, NodeSeams, ReplicaSeams
from rainsail.consensus.settings import ConsensusSettings
from rainsail.control.paged_list import PagedList
from rainsail.control.settings import ControlSettings
from rainsail.simulation.clock import SkewedClock, VirtualClock
from rainsail.simulation.disk import SimulatedDisk
from rainsail.simulation.network import LinkConditions, SimulatedNetwork, SimulatedTransport
from rainsail.state.commands import Command

VOTERS = 5
REGION_DELAY_S = 0.02
"""One way between any two processes: replicas and nodes of different regions."""
REGION_JITTER_S = 0.002
DECLARATIONS_AT_ONCE = 2000
ACTIVE_TENANTS_PER_NODE = 20
"""Tenants with traffic at a node within one report of demand (about 22 requests a second)."""
BUSY_TENANTS = 10
"""Tenants with traffic at every node; the other active ones differ from node to node."""
TENANT_TOKENS = 300.0
DEMAND_PERIOD_S = 0.5


@dataclass(slots=True)
class RunningNode:
    """One start of a hollow node."""

    node: HollowNode
    clock: SkewedClock
    transport: SimulatedTransport


class ControlFleet:
    """Builds and runs the processes; each role's costs go to a meter of its own."""

    def __init__(self, size: FleetSize, seed: int, gateways: int = 0) -> None:
        self.size = size
        self.clock = VirtualClock()
        self._random = random_module.Random(f"{seed}/network")
        conditions = LinkConditions(REGION_DELAY_S, REGION_JITTER_S)
        self.network = SimulatedNetwork(self.clock, self._random, conditions)
        self.settings = ControlSettings()
        self.replica_names = tuple(f"replica-{number}" for number in range(VOTERS))
        self.replica_meters = {name: Meter() for name in self.replica_names}
        self.node_meter = Meter()
        self.gateway_meters = [Meter() for _ in range(gateways)]
        self.replicas = {name: self._add_replica(name, seed) for name in self.replica_names}
        self.gateways: list[GatewayNode] = []
        self.nodes: dict[int, RunningNode] = {}
        self._starts: dict[int, int] = {}
        self._seed = seed

    # --- replicas -------------------------------------------------------------------------

    def _add_replica(self, name: str, seed: int) -> ReplicaNode:
        meter = self.replica_meters[name]
        clock = MeteredClock(self.clock, meter)
        draw = random_module.Random(f"{seed}/{name}")
        transport = MeteredTransport(self.network.transport(name), meter)
        disk = SimulatedDisk(clock, draw)  # type: ignore[arg-type]
        config = ReplicaConfig(name, "scale", self.replica_names, ConsensusSettings())
        seams = ReplicaSeams(NodeSeams(clock, transport, draw, self.clock.seconds), disk)
        node = ReplicaNode(config, seams)
        meter.run(node.start)
        return node

    @property
    def leader(self) -> ReplicaNode:
        """Return the leader; StopIteration while there is none."""
        return next(
            each for each in self.replicas.values() if each.group and each.group.is_leader()
        )

    @property
    def leader_name(self) -> str:
        """Return the leader's name."""
        return self.leader.config.name

    def has_leader(self) -> bool:
        """Tell whether a replica leads."""
        return any(each.group and each.group.is_leader() for each in self.replicas.values())

    def wait_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Run virtual time until a condition holds; False when it did not within the limit."""
        end_s = self.clock.seconds() + limit_s
        while not condition():
            if not self.clock.run_next(end_s):
                return False
        return True

    def declare(self) -> None:
        """Commit every resource of the fleet through the group."""
        if not self.wait_until(self.has_leader, 30.0):
            raise RuntimeError("no leader within 30 virtual seconds")
        batch: list[Command] = []
        for command in declarations(self.size):
            batch.append(command)
            if len(batch) == DECLARATIONS_AT_ONCE:
                self._commit(batch)
                batch = []
        self._commit(batch)

    def _commit(self, commands: Iterable[Command]) -> None:
        leader = self.leader
        assert leader.group is not None
        meter = self.replica_meters[leader.config.name]
        answers: list[object] = []
        count = 0
        for command in commands:
            meter.run(leader.group.propose, command).addCallback(answers.append)
            count += 1
        if not self.wait_until(lambda: len(answers) == count, 60.0):
            raise RuntimeError("declarations did not commit within 60 virtual seconds")

    def cut_off_leader(self) -> None:
        """Cut the leader off from everybody, in silence."""
        lost = self.leader_name
        names = [*self.replica_names, *(each.node.name for each in self.nodes.values())]
        for name in names:
            if name != lost:
                self.network.cut(lost, name)
                self.network.cut(name, lost)

    # --- nodes ----------------------------------------------------------------------------

    def known_list(self) -> PagedList:
        """Return what a node would have listed by now, from the leader's state."""
        state = self.leader.state
        resources = tuple(state.list_resources())
        revision = state.revision
        return PagedList(revision, revision, state.in_force_revision, resources)

    def start_node(self, number: int, known: PagedList | None = None) -> RunningNode:
        """Start (again) a hollow node; without ``known`` it lists through the leader."""
        start = self._starts.get(number, -1) + 1
        self._starts[number] = start
        name = node_name(number)
        clock = SkewedClock(self.clock)
        transport = self.network.transport(name)
        draw = random_module.Random(f"{self._seed}/{name}/{start}")
        node = HollowNode(
            name,
            gateway_spec(self.size, number, start),
            self.replica_names,
            MeteredClock(clock, self.node_meter),
            MeteredTransport(transport, self.node_meter),
            draw,
            self.settings,
        )
        running = RunningNode(node, clock, transport)
        self.nodes[number] = running
        self.node_meter.run(node.start, known)
        self._use_tenants(running, number, 0)
        return running

    def kill_node(self, number: int) -> None:
        """End a hollow node without a word."""
        running = self.nodes.pop(number)
        running.clock.stop()
        running.transport.close()

    def _use_tenants(self, running: RunningNode, number: int, round_: int) -> None:
        """Let some tenants use tokens, so that the reports of demand have something to say."""
        quotas = running.node.quotas
        first = (number * 31 + round_ * 7) % self.size.tenants
        for step in range((ACTIVE_TENANTS_PER_NODE - BUSY_TENANTS) // 2):
            tenant = tenant_name((first + step * 17) % self.size.tenants)
            quotas.take(tenant, TENANT_TOKENS)
        for busy in range(min(BUSY_TENANTS, self.size.tenants)):
            quotas.take(tenant_name(busy), TENANT_TOKENS)
        running.clock.callLater(DEMAND_PERIOD_S, self._use_tenants, running, number, round_ + 1)

    # --- real gateways ----------------------------------------------------------------------

    def start_gateway(self, index: int) -> GatewayNode:
        """Start a whole gateway with hollow engines in the place of the last hollow nodes."""
        meter = self.gateway_meters[index]
        number = self.size.nodes - 1 - index
        name = node_name(number)
        clock = MeteredClock(SkewedClock(self.clock), meter)
        draw = random_module.Random(f"{self._seed}/{name}")
        transport = MeteredTransport(self.network.transport(name), meter)
        engine = HollowEngineClient(self.clock, meter, draw, partial(version_at, self.size))
        spec = gateway_spec(self.size, number, 0)
        config = GatewayConfig(name, spec.region, spec.zone, self.replica_names)
        seams = GatewaySeams(NodeSeams(clock, transport, draw, self.clock.seconds), engine)
        gateway = GatewayNode(config, seams)
        meter.run(gateway.start)
        self.gateways.append(gateway)
        return gateway

    # --- what is true ---------------------------------------------------------------------

    @property
    def revision(self) -> int:
        """The highest revision of the leader's state."""
        return self.leader.state.revision

    def applied_everywhere(self, revision: int) -> bool:
        """Tell whether every running hollow node has applied a revision."""
        return all(each.node.view.revision >= revision for each in self.nodes.values())

    def behind(self) -> int:
        """Count the running hollow nodes that have not applied the last revision."""
        last = self.revision
        return sum(1 for each in self.nodes.values() if each.node.view.revision < last)

    def serving_nodes(self) -> int:
        """Count the hollow nodes whose configuration lease holds."""
        return sum(1 for each in self.nodes.values() if each.node.view.lease_valid())
