"""One whole gateway of a large fleet, over a local control and hollow engines, in virtual time."""

from functools import partial
from random import Random

from features.support.hollow.hollow_engines import HollowEngineClient
from features.support.hollow.meter import Meter, MeteredClock
from features.support.hollow.workload import (
    FleetSize,
    declarations,
    node_name,
    version_at,
)

from rainsail.batch.dispatcher import Dispatcher
from rainsail.batch.policies import make_policy
from rainsail.batch.settings import BatchSettings
from rainsail.experiment.local_config import LocalConfig
from rainsail.experiment.local_control import LocalControl
from rainsail.gateway.core import GatewayCore
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.runner_keeper import RunnerKeeper
from rainsail.gateway.settings import GatewaySettings
from rainsail.simulation.clock import VirtualClock
from rainsail.state.machine import ReplicatedState

WARM_UP_S = 5.0
CHUNKS = 1


class LoneGateway:
    """One whole gateway of a fleet over a local control."""

    def __init__(self, size: FleetSize, seed: int, chunks: int = CHUNKS) -> None:
        self.size = size
        self.meter = Meter()
        self.virtual = VirtualClock()
        self.clock = MeteredClock(self.virtual, self.meter)
        self.state = ReplicatedState()
        self.control = LocalControl({0: self.state}, self.virtual)
        for command in declarations(size):
            self.control.apply(command)
        self.config = LocalConfig(self.state)
        draw = Random(f"{seed}/lone-gateway")
        self.engine = HollowEngineClient(
            self.virtual, self.meter, draw, partial(version_at, size), chunks
        )
        settings, batch = GatewaySettings(), BatchSettings()
        name, zone, clock = node_name(0), size.zone(0), self.clock
        config, control, engine = self.config, self.control, self.engine
        self.fleet = RunnerFleet(name, zone, config, engine, clock, draw, settings)
        self.core = GatewayCore(
            name, "1", zone, config, control, engine, self.fleet, clock, draw, settings
        )
        self.keeper = RunnerKeeper(name, self.fleet, config, control, engine, clock, draw, settings)
        policy = make_policy(batch)
        self.dispatcher = Dispatcher(
            f"{name}/1", self.fleet, config, control, engine, clock, draw, batch, policy
        )

    def start(self) -> None:
        """Start every part and let the first reports come in."""
        for part in (self.control, self.fleet, self.core, self.keeper, self.dispatcher):
            self.meter.run(part.start)
        self.virtual.advance(WARM_UP_S)
