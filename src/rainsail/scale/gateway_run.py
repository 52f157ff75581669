"""What one gateway spends by itself: per load report, request, chunk, item; bytes per thing kept.

The product's core, fleet view, keeper and dispatcher run on the virtual clock over a local
control and hollow engines. HTTP is not in these figures; it is measured over sockets.
"""

import gc
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from rainsail.batch.dispatcher import Dispatcher
from rainsail.batch.policies import make_policy
from rainsail.batch.settings import BatchSettings
from rainsail.errors import Fault
from rainsail.experiment.local_config import LocalConfig
from rainsail.experiment.local_control import LocalControl
from rainsail.gateway.core import GatewayCore
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.interface import Answer, CallerRequest
from rainsail.gateway.runner_keeper import RunnerKeeper
from rainsail.gateway.settings import GatewaySettings
from rainsail.scale.hollow_engines import HollowEngineClient
from rainsail.scale.meter import Meter, MeteredClock
from rainsail.scale.workload import (
    FleetSize,
    declarations,
    node_name,
    operator_change,
    tenant_name,
    version_at,
)
from rainsail.simulation.clock import VirtualClock
from rainsail.state.commands import AddItems, ItemBody, JobSpec, OpenJob, SealJob
from rainsail.state.machine import ReplicatedState

WARM_UP_S = 5.0
IDLE_S = 10.0
REQUESTS = 2000
REQUEST_PERIOD_S = 0.01
FEW_CHUNKS = 1
MANY_CHUNKS = 21
ITEMS = 4000
RANGE_ITEMS = 500
CHANGES = 200
CHANGE_PERIOD_S = 0.05
DEADLINE_UNIX_S = 1e9
PROMPT = "where is container MSKU1234567 and why is its reefer warm " * 8


@dataclass(frozen=True, slots=True)
class GatewayCosts:
    """One gateway's costs at one number of runners that it knows.

    Processor times are in seconds of this machine's core: per second of an idle gateway, and per
    load report, watched change, request of one chunk, further chunk, and batch item.
    """

    runners: int
    followed_runners: int
    owned_runners: int
    idle_processor_s: float
    processor_s_per_change: float
    processor_s_per_request: float
    processor_s_per_chunk: float
    processor_s_per_item: float
    faults: int


class CountingSink:
    """Counts how requests ended."""

    def __init__(self) -> None:
        self.answers = 0
        self.faults = 0

    def on_part(self, text: str, tokens: int) -> None:
        """Ignore a part."""

    def on_answer(self, answer: Answer) -> None:
        """Count an answer."""
        self.answers += 1

    def on_fault(self, fault: Fault) -> None:
        """Count a fault."""
        self.faults += 1


class LoneGateway:
    """One whole gateway of a fleet over a local control."""

    def __init__(self, size: FleetSize, seed: int, chunks: int = FEW_CHUNKS) -> None:
        self.size = size
        self.meter = Meter()
        self.sink = CountingSink()
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
        self._requests = 0

    def start(self) -> None:
        """Start every part and let the first reports come in."""
        for part in (self.control, self.fleet, self.core, self.keeper, self.dispatcher):
            self.meter.run(part.start)
        self.virtual.advance(WARM_UP_S)

    def processor_s(self, work: Callable[[], object]) -> float:
        """Return the gateway's processor seconds over some work."""
        before = self.meter.processor_s
        work()
        return self.meter.processor_s - before

    def submit(self) -> None:
        """Submit one online request."""
        self._requests += 1
        number = self._requests
        request = CallerRequest(
            f"request-{number}",
            tenant_name(number % self.size.tenants),
            f"model-{number % self.size.models}",
            f"{number} {PROMPT}",
            max_tokens=64,
        )
        self.meter.run(self.core.submit, request, self.sink)

    def submit_many(self, count: int) -> None:
        """Submit requests at a steady pace and let them end."""
        for _ in range(count):
            self.submit()
            self.virtual.advance(REQUEST_PERIOD_S)
        self.virtual.advance(1.0)

    def add_job(self, job: str, items: int, model: int) -> None:
        """Declare, fill and seal a batch job."""
        service = f"model-{model}"
        spec = JobSpec(job, tenant_name(0), service, items, "digest", DEADLINE_UNIX_S)
        self.control.apply(OpenJob(job, spec))
        for first in range(0, items, RANGE_ITEMS):
            bodies = tuple(ItemBody(f"{job}-{first + n}", PROMPT, 64) for n in range(RANGE_ITEMS))
            self.control.apply(AddItems(job, first, bodies))
        self.control.apply(SealJob(job))

    def change(self, number: int) -> None:
        """Apply an operator's change and let the gateway hear of it."""
        self.control.apply(operator_change(self.size, number))
        self.meter.run(self.config.publish)


def measure_costs(size: FleetSize, seed: int) -> GatewayCosts:
    """Measure one gateway at one size, without the collector's passes over what stays."""
    try:
        return _measure_costs(size, seed)
    finally:
        gc.unfreeze()


def _measure_costs(size: FleetSize, seed: int) -> GatewayCosts:
    gateway = LoneGateway(size, seed)
    gateway.start()
    gc.freeze()
    idle = gateway.processor_s(lambda: gateway.virtual.advance(IDLE_S)) / IDLE_S

    def beyond_idle(work: Callable[[], object]) -> float:
        start_s = gateway.virtual.seconds()
        spent_s = gateway.processor_s(work)
        return spent_s - idle * (gateway.virtual.seconds() - start_s)

    change_s = beyond_idle(lambda: _make_changes(gateway)) / CHANGES
    request_s = beyond_idle(lambda: gateway.submit_many(REQUESTS)) / REQUESTS
    item_s = beyond_idle(lambda: _run_items(gateway)) / ITEMS
    many = LoneGateway(size, seed, MANY_CHUNKS)
    many.start()
    gc.freeze()
    many_idle = many.processor_s(lambda: many.virtual.advance(IDLE_S)) / IDLE_S
    start_s = many.virtual.seconds()
    spent_s = many.processor_s(lambda: many.submit_many(REQUESTS))
    spent_s -= many_idle * (many.virtual.seconds() - start_s)
    chunk_s = (spent_s / REQUESTS - request_s) / (MANY_CHUNKS - FEW_CHUNKS)
    return GatewayCosts(
        size.runners,
        gateway.engine.subscriptions,
        len(gateway.fleet.owned_runners()),
        idle,
        change_s,
        request_s,
        chunk_s,
        item_s,
        gateway.sink.faults + many.sink.faults,
    )


def _make_changes(gateway: LoneGateway) -> None:
    for number in range(CHANGES):
        gateway.change(number)
        gateway.virtual.advance(CHANGE_PERIOD_S)


def _run_items(gateway: LoneGateway) -> None:
    gateway.add_job("job", ITEMS, 0)
    end_s = gateway.virtual.seconds() + 300.0
    while gateway.dispatcher.counts.finished < ITEMS:
        if not gateway.virtual.run_next(end_s):
            raise RuntimeError(f"{gateway.dispatcher.counts} after 300 virtual seconds")
    gateway.virtual.advance(1.0)
