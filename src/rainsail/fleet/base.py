"""What every node has: a clock, a transport, a registry and a follower of the controllers."""

import random as random_module
from dataclasses import dataclass, field
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.messages import NodeRecord, NodeRole
from rainsail.cluster.registry import RunnerRegistry
from rainsail.errors import Fault
from rainsail.node_metrics import NodeMetrics
from rainsail.runtime.clock import Clock, MonotonicClock
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
"""Links between nodes: a peer behind a cut must be given up within a few seconds.

A machine without power says nothing. A node that starts while others are still dark tries to reach
them again soon: with a second for each try gateways had their first table 0.5 s later than they
could, of 1.0 s (process start to table after a loss of all power, 58 gateways and 6 controllers).
"""


def count_warming(registry: RunnerRegistry) -> int:
    """Return how many runners that may get work still warm up."""
    return sum(
        1
        for record in registry.records()
        if record.takes_work and registry.is_warming(record.runner)
    )


@dataclass(slots=True)
class NodeBase:
    """The parts that all roles share."""

    settings: NodeSettings
    node: NodeRecord
    clock: Clock
    random: random_module.Random
    transport: Transport
    messenger: Messenger
    registry: RunnerRegistry
    follower: FleetFollower
    started_s: float
    """When the process began, by ``clock``."""
    metrics: NodeMetrics = field(default_factory=NodeMetrics)

    def listen(self) -> "Deferred[Result[int, Fault]]":
        """Accept other nodes on the transport of a daemon."""
        assert isinstance(self.transport, TcpTransport)
        return self.transport.listen_on(self.settings.node.ip, self.settings.transport_port())


def make_base(settings: NodeSettings, reactor: Any, started_s: float | None = None) -> NodeBase:
    """Make the shared parts of a daemon; nothing is started."""
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
    return assemble_base(settings, MonotonicClock(reactor), random, transport, started_s)


def assemble_base(
    settings: NodeSettings,
    clock: Clock,
    random: random_module.Random,
    transport: Transport,
    started_s: float | None = None,
) -> NodeBase:
    """Put the shared parts together over given seams."""
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
    base = NodeBase(
        settings, node, clock, random, transport, messenger, registry, follower, began_s
    )
    base.metrics.gauge("table_version", lambda: float(follower.table_version))
    base.metrics.gauge("runners_known", lambda: float(len(registry.records())))
    base.metrics.gauge("registry_revision", lambda: float(registry.revision))
    base.metrics.gauge("runners_warming", lambda: float(count_warming(registry)))
    base.metrics.gauge("zones_draining", lambda: float(len(registry.zone_drains.draining())))
    base.metrics.gauge("requests_held", lambda: float(len(follower.quarantine.held)))
    base.metrics.gauge("controllers_heard", lambda: float(follower.controllers.count_in_touch()))
    return base
