"""What one tenant's flood does to another's tail, on the virtual clock.

One gateway before emulated engines serves a calm tenant's steady requests beside another tenant's,
once at an ordinary rate and once in a flood. The calm tenant's 99th percentile of the flood run
over that of the ordinary run is the figure. Tails of both runs come from the same arrivals.
"""

import math
from dataclasses import dataclass
from random import Random

from rainsail.emulator.engine import EmulatedEngine
from rainsail.emulator.settings import EngineSettings
from rainsail.emulator.weight_store import WeightStore
from rainsail.errors import Fault, Outcome
from rainsail.experiment.local_config import LocalConfig
from rainsail.experiment.local_control import LocalControl
from rainsail.experiment.measures import percentile
from rainsail.gateway.core import GatewayCore
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.interface import Answer, CallerRequest
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import (
    GatewaySpec,
    Kind,
    RunnerSpec,
    ServiceSpec,
    TenantSpec,
)
from rainsail.simulation.clock import VirtualClock
from rainsail.simulation.engine_link import SimulatedEngineClient
from rainsail.simulation.engine_network import EngineNetwork
from rainsail.state.machine import ReplicatedState

SERVICE = "assistant"
ZONE = "zone"
CALM = "calm"
FLOODER = "flooder"
RUNNERS = 3
SLOTS = 8
"""Batch slots of a runner; the engine runs twice as many sequences."""
TOKENS_PER_CHUNK = 8
ANSWER_TOKENS = 40
WARM_UP_S = 2.0
"""Virtual seconds in which every engine reports to the gateway."""
TRAFFIC_S = 60.0
SEEDS = 3
"""Arrivals drawn for each flood; the tails are of all of them together."""
SETTLE_S = 20.0
"""Virtual seconds after the last arrival, in which the last answers end."""
CALM_PER_S = 8.0
P99 = 0.99
WIDE_TOKENS_PER_S = 1e9


@dataclass(frozen=True, slots=True)
class Flood:
    """A flood: the flooding tenant's quota and its two rates."""

    name: str
    quota_tokens_per_s: float
    ordinary_per_s: float
    flood_per_s: float


FLOODS = (
    Flood("beyond_quota", 4000.0, 7.0, 300.0),
    Flood("within_quota", WIDE_TOKENS_PER_S, 15.0, 300.0),
)
"""The modelled control lends nothing: of its quota a tenant has the minimum share, a tenth, which
covers the ordinary rate."""


@dataclass(frozen=True, slots=True)
class FloodEffect:
    """Tails of the calm tenant without and with a flood, and what became of the flood."""

    name: str
    ordinary_p99_s: float
    flood_p99_s: float
    calm_refused: int
    flood_answered: int
    flood_refused: int
    refused_though_run: int

    @property
    def p99_ratio(self) -> float:
        """The tail with the flood over the tail without."""
        return self.flood_p99_s / self.ordinary_p99_s


class _Call:
    """One request's sink."""

    def __init__(self, clock: VirtualClock, request: CallerRequest) -> None:
        self.request = request
        self.answered = False
        self.outcome: Outcome | None = None
        self._clock = clock
        self._sent_s = clock.seconds()
        self.took_s = 0.0

    def on_part(self, text: str, tokens: int) -> None:
        """Take a part."""

    def on_answer(self, answer: Answer) -> None:
        """Note the whole answer."""
        self.answered = True
        self.took_s = self._clock.seconds() - self._sent_s

    def on_fault(self, fault: Fault) -> None:
        """Note the refusal."""
        self.outcome = fault.outcome
        self.took_s = self._clock.seconds() - self._sent_s


class _FloodRun:
    """One run of traffic at one gateway."""

    def __init__(self, quota_tokens_per_s: float, seed: int) -> None:
        self._seed = seed
        self.clock = VirtualClock()
        self.calls: dict[str, list[_Call]] = {CALM: [], FLOODER: []}
        self.engines: list[EmulatedEngine] = []
        self._state = ReplicatedState()
        self._control = LocalControl({0: self._state}, self.clock)
        self._network = EngineNetwork(self.clock)
        self._control.put(Kind.SERVICE, SERVICE, ServiceSpec("v1", RUNNERS))
        self._control.put(Kind.TENANT, CALM, TenantSpec(WIDE_TOKENS_PER_S, WIDE_TOKENS_PER_S))
        self._control.put(Kind.TENANT, FLOODER, TenantSpec(quota_tokens_per_s, quota_tokens_per_s))
        self._control.put(Kind.GATEWAY, "gateway", GatewaySpec("region", ZONE, "1"))
        for index in range(RUNNERS):
            self._add_engine(f"runner-{index}", index)
        self._core = self._make_gateway()
        self.clock.run_until(WARM_UP_S)

    def _add_engine(self, name: str, seed: int) -> None:
        settings = EngineSettings.language_model(
            max_running=2 * SLOTS, tokens_per_chunk=TOKENS_PER_CHUNK
        )
        weights = WeightStore(self.clock)
        engine = EmulatedEngine(name, self.clock, Random(seed), settings, weights)
        engine.preload("v1")
        self.engines.append(engine)
        self._network.add(name, engine)
        runner = RunnerSpec(name, "region", ZONE, SERVICE, batch_slots=SLOTS)
        self._control.put(Kind.RUNNER, name, runner)

    def _make_gateway(self) -> GatewayCore:
        clock = self.clock
        config = LocalConfig(self._state)
        engine = SimulatedEngineClient("gateway", self._network, clock, Random(101))
        settings = GatewaySettings()
        fleet = RunnerFleet("gateway", ZONE, config, engine, clock, Random(102), settings)
        core = GatewayCore(
            "gateway",
            "1",
            ZONE,
            config,
            self._control,
            engine,
            fleet,
            clock,
            Random(103),
            settings,
        )
        fleet.start()
        core.start()
        return core

    def send(self, tenant: str, per_s: float) -> None:
        """Schedule a tenant's requests, exponentially spaced, for ``TRAFFIC_S``."""
        draw = Random(f"{self._seed}/{tenant}/arrivals")
        at_s = draw.expovariate(per_s)
        while at_s < TRAFFIC_S:
            self.clock.callLater(at_s, self._ask, tenant)
            at_s += draw.expovariate(per_s)

    def _ask(self, tenant: str) -> None:
        calls = self.calls[tenant]
        request_id = f"{tenant}-{len(calls)}"
        prompt = f"where is container {request_id}? "
        request = CallerRequest(request_id, tenant, SERVICE, prompt, ANSWER_TOKENS)
        call = _Call(self.clock, request)
        calls.append(call)
        self._core.submit(request, call)

    def run(self) -> None:
        """Run to the end of the traffic and of its last answers."""
        self.clock.run_until(self.clock.seconds() + TRAFFIC_S + SETTLE_S)

    def answered(self, tenant: str) -> int:
        """Return how many of a tenant's requests were answered."""
        return sum(call.answered for call in self.calls[tenant])

    def calm_times_s(self) -> list[float]:
        """Return the calm tenant's times; a refused request counts as never answered."""
        return [call.took_s if call.answered else math.inf for call in self.calls[CALM]]

    def refused_though_run(self) -> int:
        """Return how many requests were refused as not run and ran all the same."""
        ran = {run.request_id: run for engine in self.engines for run in engine.executions}
        calls = [call for each in self.calls.values() for call in each]
        refused = [call for call in calls if call.outcome == Outcome.NOT_RUN]
        return sum(call.request.request_id in ran for call in refused)


def measure_floods() -> tuple[FloodEffect, ...]:
    """Measure every flood."""
    return tuple(measure_flood(flood) for flood in FLOODS)


def measure_flood(flood: Flood, seeds: int = SEEDS) -> FloodEffect:
    """Run the traffic without and with the flood, from several seeds."""
    ordinary = [_run(flood, flood.ordinary_per_s, seed) for seed in range(seeds)]
    flooded = [_run(flood, flood.flood_per_s, seed) for seed in range(seeds)]
    return FloodEffect(
        name=flood.name,
        ordinary_p99_s=_calm_p99_s(ordinary),
        flood_p99_s=_calm_p99_s(flooded),
        calm_refused=sum(len(run.calls[CALM]) - run.answered(CALM) for run in flooded),
        flood_answered=sum(run.answered(FLOODER) for run in flooded),
        flood_refused=sum(len(run.calls[FLOODER]) - run.answered(FLOODER) for run in flooded),
        refused_though_run=sum(run.refused_though_run() for run in (*ordinary, *flooded)),
    )


def _calm_p99_s(runs: list[_FloodRun]) -> float:
    return percentile([time_s for run in runs for time_s in run.calm_times_s()], P99)


def _run(flood: Flood, flooder_per_s: float, seed: int) -> _FloodRun:
    run = _FloodRun(flood.quota_tokens_per_s, seed)
    run.send(CALM, CALM_PER_S)
    run.send(FLOODER, flooder_per_s)
    run.run()
    return run
