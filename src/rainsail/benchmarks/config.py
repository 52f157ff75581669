"""Configuration on many gateways: time until in force, bytes and processor time per change.

Runs the real ControlService, LeaderClient and ConfigView on the virtual clock; every envelope is
encoded and decoded as on TCP. Bytes and delays are exact, processor time is this machine's (the
least of the repeats). The same runs with one encoding per gateway (no shared replies) are the
baseline.
"""

import random
from collections.abc import Callable, Generator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from rainsail.benchmarks.metered_control import (
    CostMeter,
    EncodedTransport,
    LoneGroup,
    MeteredClock,
)
from rainsail.benchmarks.plots import Plot, cumulative
from rainsail.benchmarks.report import BenchReport, Progress, Target
from rainsail.benchmarks.samples import MICROSECONDS, Latency, latency_of, percentile, slope
from rainsail.consensus.interface import Group
from rainsail.control import long_poll
from rainsail.control.config_view import ConfigView
from rainsail.control.leader_client import LeaderClient
from rainsail.control.service import ControlService
from rainsail.control.settings import ControlSettings
from rainsail.resources.specs import GatewaySpec, Kind, ResourceKey, RunnerSpec
from rainsail.simulation.clock import VirtualClock
from rainsail.simulation.network import LinkConditions, SimulatedNetwork
from rainsail.state.commands import ROOT_GROUP, GroupId, PutResource
from rainsail.state.interface import ReplicatedReader
from rainsail.state.machine import ReplicatedState
from rainsail.wire.messenger import Messenger

GATEWAYS = (15, 30, 60, 120)
TARGET_GATEWAYS = 60
LIMIT_S = 1.0
REPEATS = 3
ONE_WAY_S = 0.001
IDLE_S = 60.0
CHANGES = 60
CHANGE_PERIOD_S = 1.037
"""No multiple of any period of control, so that changes meet every phase of them."""
RESOURCES = 200
WARM_UP_S = 20.0
CHANGE_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class PhaseCost:
    """Totals over one phase of a run."""

    seconds: float
    leader_cpu_s: float
    gateways_cpu_s: float
    gateways_bytes: int


@dataclass(frozen=True, slots=True)
class ConfigRun:
    """One run with ``gateways`` gateways; delays are virtual seconds per change."""

    gateways: int
    idle: PhaseCost
    changing: PhaseCost
    applied_s: list[float]
    in_force_s: list[float]


class MeteredControl:
    """One control plane with N gateways."""

    def __init__(self, gateways: int) -> None:
        self.clock = VirtualClock()
        self.leader = CostMeter()
        self.gateway = CostMeter()
        self.settings = ControlSettings.model_validate({})
        conditions = LinkConditions(delay_s=ONE_WAY_S, jitter_s=0.0)
        self.network = SimulatedNetwork(self.clock, random.Random(1), conditions)
        self.state = ReplicatedState()
        leader_clock = MeteredClock(self.clock, self.leader)
        self.group = LoneGroup(leader_clock, self.state)
        for number in range(RESOURCES):
            self.state.apply(0, runner_change(f"setup-{number}", f"engine-{number}", 0))
        messenger = Messenger(EncodedTransport(self.network, "leader", self.leader), leader_clock)
        states: dict[GroupId, ReplicatedReader] = {ROOT_GROUP: self.state}
        groups: dict[GroupId, Group] = {ROOT_GROUP: self.group}
        ControlService(groups, states, messenger, leader_clock, self.settings).start()
        self.views = [self._start_view(f"gateway-{number}") for number in range(gateways)]
        self.clock.advance(WARM_UP_S)
        assert all(view.lease_valid() for view in self.views)

    def _start_view(self, name: str) -> ConfigView:
        clock = MeteredClock(self.clock, self.gateway)
        messenger = Messenger(EncodedTransport(self.network, name, self.gateway), clock)
        draw = random.Random(name)
        client = LeaderClient(messenger, ("leader",), clock, draw, self.settings)
        spec = GatewaySpec("south", "south-a", "1")
        view = ConfigView(name, "1", spec, messenger, client, clock, draw, self.settings)
        view.start()
        return view

    def phase(self, work: Callable[[], None]) -> PhaseCost:
        """Measure the costs of some work."""
        start_s = self.clock.seconds()
        before = (self.leader.cpu_s, self.gateway.cpu_s, self.gateway.bytes)
        work()
        return PhaseCost(
            self.clock.seconds() - start_s,
            self.leader.cpu_s - before[0],
            self.gateway.cpu_s - before[1],
            self.gateway.bytes - before[2],
        )

    def change(self, number: int) -> tuple[float, float]:
        """Make one change; return seconds until applied everywhere and until in force."""
        start_s = self.clock.seconds()
        self.group.propose(runner_change(f"change-{number}", "engine-1", number + 1))
        revision = self.state.revision + 1
        applied_s = self._wait(lambda: all(view.revision >= revision for view in self.views))
        in_force_s = self._wait(lambda: self.state.in_force_revision >= revision)
        self.clock.run_until(start_s + CHANGE_PERIOD_S)
        return applied_s - start_s, in_force_s - start_s

    def _wait(self, condition: Callable[[], bool]) -> float:
        while not condition():
            if not self.clock.run_next(self.clock.seconds() + CHANGE_TIMEOUT_S):
                raise TimeoutError("a change did not reach every gateway")
        return self.clock.seconds()


def runner_change(change_id: str, name: str, slots: int) -> PutResource:
    """Return a change of a runner."""
    spec = RunnerSpec("http://10.0.0.1:9000", "south", "south-a", "assistant", batch_slots=slots)
    return PutResource(change_id, ResourceKey(Kind.RUNNER, name), spec)


def run_once(gateways: int) -> ConfigRun:
    """Run idle, then with changes."""
    control = MeteredControl(gateways)
    idle = control.phase(lambda: control.clock.advance(IDLE_S))
    delays: list[tuple[float, float]] = []
    changing = control.phase(lambda: delays.extend(control.change(n) for n in range(CHANGES)))
    applied_s = [each[0] for each in delays]
    return ConfigRun(gateways, idle, changing, applied_s, [each[1] for each in delays])


def run_unshared(gateways: int) -> ConfigRun:
    """Run with a reply encoded for each gateway by itself."""
    shared = long_poll.LEAST_SHARERS
    long_poll.LEAST_SHARERS = gateways + 1
    try:
        return run_once(gateways)
    finally:
        long_poll.LEAST_SHARERS = shared


@inlineCallbacks
def run_config_bench(
    reactor: Any,
    folder: Path,
    progress: Progress,
    gateways: tuple[int, ...] = GATEWAYS,
    repeats: int = REPEATS,
) -> Generator[Deferred[Any], Any, BenchReport]:
    """Measure every number of gateways; the slopes are per further gateway."""
    runs, baseline = [], []
    for count in gateways:
        shared, unshared = [], []
        for _ in range(repeats):
            progress(f"{count} gateways")
            shared.append(run_once(count))
            unshared.append(run_unshared(count))
            yield deferLater(reactor, 0, lambda: None)
        runs.append(least(shared))
        baseline.append(least(unshared))
    return _report(runs, baseline, repeats)


def least(runs: list[ConfigRun]) -> ConfigRun:
    """Return the repeat with the least processor time; bytes and delays are all the same."""
    return min(runs, key=lambda run: run.changing.leader_cpu_s + run.changing.gateways_cpu_s)


def per_change(run: ConfigRun, field: str) -> float:
    """Return what a change adds to the idle cost."""
    idle_rate = getattr(run.idle, field) / run.idle.seconds
    added: float = getattr(run.changing, field) - idle_rate * run.changing.seconds
    return added / CHANGES


def slopes(runs: list[ConfigRun]) -> dict[str, float]:
    """Return the slopes per gateway."""

    def idle(field: str, unit: float) -> float:
        points = [(run.gateways, getattr(run.idle, field) / run.idle.seconds) for run in runs]
        return round(slope(points) * unit, 2)

    def change(field: str, unit: float) -> float:
        return round(slope([(run.gateways, per_change(run, field)) for run in runs]) * unit, 2)

    return {
        "idle_bytes_per_s_per_gateway": idle("gateways_bytes", 1),
        "idle_leader_cpu_us_per_s_per_gateway": idle("leader_cpu_s", MICROSECONDS),
        "idle_gateway_cpu_us_per_s": idle("gateways_cpu_s", MICROSECONDS),
        "bytes_per_change_per_gateway": change("gateways_bytes", 1),
        "leader_cpu_us_per_change_per_gateway": change("leader_cpu_s", MICROSECONDS),
        "gateway_cpu_us_per_change": change("gateways_cpu_s", MICROSECONDS),
    }


def _delays(run: ConfigRun) -> dict[str, Any]:
    applied: Latency = latency_of(run.applied_s)
    return {
        "gateways": run.gateways,
        "applied_everywhere": asdict(applied),
        "in_force": asdict(latency_of(run.in_force_s)),
    }


def _report(runs: list[ConfigRun], baseline: list[ConfigRun], repeats: int) -> BenchReport:
    judged = next((run for run in runs if run.gateways == TARGET_GATEWAYS), runs[-1])
    p99_s = round(percentile(judged.in_force_s, 99), 4)
    figures = {
        "clock": "virtual for delays, processor time real",
        "changes": CHANGES,
        "repeats": repeats,
        "slopes": slopes(runs),
        "baseline_unshared_slopes": slopes(baseline),
        "virtual_delays": [_delays(run) for run in runs],
    }
    target = Target(f"in force on {judged.gateways} gateways, p99 in s", LIMIT_S, p99_s)
    curves = tuple(cumulative(f"{run.gateways} gateways", run.in_force_s) for run in runs)
    plot = Plot("in_force", "virtual s from change to in force", "share of changes", curves)
    return BenchReport("config", figures, (target,), (plot,))
