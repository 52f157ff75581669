"""Parts shared by all roles: clock, transport, runner registry, follower of the controllers."""

import random as random_module
from dataclasses import dataclass, field
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.budget.client_budget import ClientBudget
from rainsail.budget.gauges import budget_gauges
from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.messages import NodeRecord, NodeRole
from rainsail.cluster.registry import RunnerRegistry
from rainsail.errors import Fault
from rainsail.http.exchange import Handler
from rainsail.http.parsing_queue import ParsingQueue
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.node_metrics import NodeMetrics
from rainsail.runtime.clock import Clock, MonotonicClock
from rainsail.runtime.process_limits import descriptor_limit, resident_bytes
from rainsail.settings.node import NodeSettings
from rainsail.wire.messenger import Messenger, Transport
from rainsail.wire.protocol import FLEET_PROTOCOL_MODULES
from rainsail.wire.settings import WireSettings
from rainsail.wire.tcp import TcpTransport

FLEET = "fleet"
INCARNATION_BITS = 48

PEER_WIRE = WireSettings(
    connect_timeout_s=0.15,
    patient_connect_timeout_s=1.0,
    hello_timeout_s=1.0,
    backoff_max_s=0.15,
    keepalive_period_s=0.8,
    dead_peer_timeout_s=2.5,
    user_timeout_s=2.5,
    plaintext_off_loopback=True,
    names_are_addresses=True,
)
"""Connections between nodes: a partitioned peer must be given up within a few seconds.

A machine without power sends no reset, so connection attempts to it time out. The connect timeout
is short so that a node that starts before its peers retries soon: with a timeout of one second,
gateways got their first table after 1.0 s, 0.5 s later than necessary (from process start, after a
power loss of 58 gateways and 6 controllers).
"""


MAX_PROBE_BODY_BYTES = 64 * 1024
"""Probes and readers of metrics send no bodies."""


def probe_limits() -> HttpLimits:
    """Return the limits on clients that only probe a node or read its metrics."""
    return HttpLimits(max_body_bytes=MAX_PROBE_BODY_BYTES)


def count_warming(registry: RunnerRegistry) -> int:
    """Return how many of the runners that may get work are warming up."""
    return sum(
        1
        for record in registry.records()
        if record.takes_work and registry.is_warming(record.runner)
    )


@dataclass(slots=True)
class NodeBase:
    """The parts shared by all roles."""

    settings: NodeSettings
    node: NodeRecord
    clock: Clock
    random: random_module.Random
    transport: Transport
    messenger: Messenger
    registry: RunnerRegistry
    follower: FleetFollower
    started_s: float
    """Start time of the process, by ``clock``."""
    budget: ClientBudget
    """What all clients of the process hold together; every listener counts against it."""
    parsing: ParsingQueue
    """Shares the turns among the connections of clients and those to runners."""
    metrics: NodeMetrics = field(default_factory=NodeMetrics)

    def size_budget(self) -> None:
        """Derive the budget of clients from the memory that the process has beside its own."""
        limits = self.settings.budget_limits(resident_bytes(), descriptor_limit())
        self.budget.set_limits(limits)

    def http_server(self, handler: Handler, limits: HttpLimits | None = None) -> HttpServer:
        """Return a server whose connections count against the budget of the process."""
        limits = limits or HttpLimits()
        limits.stall_timeout_s = self.settings.limits.stall_timeout_s
        return HttpServer(handler, self.clock, limits, self.budget, self.parsing)

    def listen(self) -> "Deferred[Result[int, Fault]]":
        """Accept connections from other nodes; requires a TCP transport."""
        assert isinstance(self.transport, TcpTransport)
        return self.transport.listen_on(self.settings.node.ip, self.settings.transport_port())


def make_base(
    settings: NodeSettings,
    reactor: Any,
    started_s: float | None = None,
    budget: ClientBudget | None = None,
) -> NodeBase:
    """Create the shared parts of a node without starting anything.

    ``budget`` is that of the process, which other nodes in it share; by default it is created.
    """
    random = random_module.Random(random_module.SystemRandom().getrandbits(64))
    name = settings.process_name()
    transport = TcpTransport(
        name,
        {},
        reactor,
        None,
        PEER_WIRE,
        FLEET,
        random,
        protocol_modules=FLEET_PROTOCOL_MODULES,
    )
    return assemble_base(settings, MonotonicClock(reactor), random, transport, started_s, budget)


def assemble_base(
    settings: NodeSettings,
    clock: Clock,
    random: random_module.Random,
    transport: Transport,
    started_s: float | None = None,
    budget: ClientBudget | None = None,
) -> NodeBase:
    """Assemble the shared parts over a given clock, random generator and transport."""
    messenger = Messenger(transport, clock)
    node = NodeRecord(
        settings.process_name(),
        settings.node.name,
        NodeRole(settings.node.role.value),
        settings.node.zone,
        random.getrandbits(INCARNATION_BITS),
    )
    is_controller = node.role == NodeRole.CONTROLLER
    registry = RunnerRegistry(clock.seconds, resolves_address_conflicts=is_controller)
    follower = FleetFollower(node, settings.seed_controllers(), messenger, clock, registry)
    began_s = clock.seconds() if started_s is None else started_s
    budget = budget or ClientBudget(clock.seconds)
    base = NodeBase(
        settings,
        node,
        clock,
        random,
        transport,
        messenger,
        registry,
        follower,
        began_s,
        budget,
        ParsingQueue(clock),
    )
    budget_gauges(base.metrics, budget)
    base.metrics.gauge("table_version", lambda: float(follower.table_version))
    base.metrics.gauge("runners_known", lambda: float(len(registry.records())))
    base.metrics.gauge("registry_revision", lambda: float(registry.revision))
    base.metrics.gauge("runners_warming", lambda: float(count_warming(registry)))
    base.metrics.gauge("zones_draining", lambda: float(len(registry.zone_drains.draining())))
    base.metrics.gauge("messages_too_large", lambda: float(messenger.too_large))
    base.metrics.gauge("requests_held", lambda: float(len(follower.quarantine.held)))
    base.metrics.gauge("quarantine_revision", lambda: float(follower.quarantine.current.revision))
    base.metrics.gauge("controllers_heard", lambda: float(follower.controllers.count_in_touch()))
    return base
