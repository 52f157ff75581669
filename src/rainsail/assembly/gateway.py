"""A gateway node: online requests, the runners it owns, and dispatch of batch items."""

from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks

from rainsail.assembly.dependencies import GatewayDependencies
from rainsail.batch.dispatcher import BatchDispatcher
from rainsail.batch.intake import JobIntake
from rainsail.batch.policies import make_policy
from rainsail.batch.prefill_meter import OnlinePrefillMeter
from rainsail.batch.settings import BatchSettings
from rainsail.control.config_view import ConfigView
from rainsail.control.leader_client import LeaderClient
from rainsail.control.settings import ControlSettings
from rainsail.gateway.core import GatewayCore
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.runner_reconciler import RunnerReconciler
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import GatewaySpec
from rainsail.wire.messenger import Messenger


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """A gateway's name, region, zone and settings, and the names of all replicas."""

    name: str
    region: str
    zone: str
    replicas: tuple[str, ...]
    control: ControlSettings = field(default_factory=ControlSettings)
    gateway: GatewaySettings = field(default_factory=GatewaySettings)
    batch: BatchSettings = field(default_factory=BatchSettings)


class NativeGatewayNode:
    """Assembles a gateway. Each start of a gateway is a new node with a new incarnation id."""

    def __init__(self, config: GatewayConfig, dependencies: GatewayDependencies) -> None:
        node = dependencies.node
        self.config = config
        self.incarnation = f"{node.random.getrandbits(64):016x}"
        self.messenger = Messenger(node.transport, node.clock)
        self.client = LeaderClient(
            self.messenger, config.replicas, node.clock, node.random, config.control
        )
        self.view = ConfigView(
            config.name,
            self.incarnation,
            GatewaySpec(config.region, config.zone, self.incarnation),
            self.messenger,
            self.client,
            node.clock,
            node.random,
            config.control,
        )
        self.fleet = RunnerFleet(
            config.name,
            config.zone,
            self.view,
            dependencies.engine,
            node.clock,
            node.random,
            config.gateway,
        )
        prefill = OnlinePrefillMeter(dependencies.engine, self.fleet.cached_tokens)
        self.core = GatewayCore(
            config.name,
            self.incarnation,
            config.zone,
            self.view,
            self.client,
            prefill,
            self.fleet,
            node.clock,
            node.random,
            config.gateway,
        )
        self.runner_reconciler = RunnerReconciler(
            self.fleet,
            self.view,
            self.client,
            dependencies.engine,
            node.clock,
            node.random,
            config.gateway,
        )
        self.intake = JobIntake(
            self.client, node.clock, node.random, config.batch, node.wall_clock, self.view.get
        )
        self.dispatcher = BatchDispatcher(
            f"{config.name}/{self.incarnation}",
            self.fleet,
            self.view,
            self.client,
            dependencies.engine,
            node.clock,
            node.random,
            config.batch,
            make_policy(config.batch),
            prefill,
        )

    def start(self) -> None:
        """Start watching the configuration; work is accepted once the first lease is held."""
        self.view.start()
        self.fleet.start()
        self.core.start()
        self.runner_reconciler.start()
        self.dispatcher.start()

    @inlineCallbacks
    def planned_stop(self) -> Generator[Deferred[Any], Any, None]:
        """Return the leased batch items, finish the online requests in progress, then stop."""
        batch_returned = self.dispatcher.stop()
        yield self.core.drain()
        yield batch_returned
        self.stop()

    def stop(self) -> None:
        """Stop every timer and subscription."""
        self.runner_reconciler.stop()
        self.core.stop()
        self.fleet.stop()
        self.view.stop()
