"""Cost of configuration per gateway: bytes a second idle, bytes and processor time per change.

Runs the real ControlService, LeaderClient and ConfigView on the virtual clock; every envelope is
encoded and decoded as on TCP. One replica stands for the group: a command commits after
COMMIT_S. Bytes and delays are exact, processor time is this machine's (the least of the repeats).

The same runs with one encoding per gateway (no shared replies) are the baseline.

    python bench/config_bench.py [--gateways 15,30,60,120] [--repeats 3] [--output FILE]
"""

import json
import random
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import fire
import numpy
from expression import Ok
from twisted.internet.defer import Deferred, succeed

from rainsail.control import long_poll
from rainsail.control.config_view import ConfigView
from rainsail.control.leader_client import LeaderClient
from rainsail.control.service import ControlService
from rainsail.control.settings import ControlSettings
from rainsail.resources.specs import GatewaySpec, Kind, ResourceKey, RunnerSpec
from rainsail.simulation.clock import VirtualClock
from rainsail.simulation.network import LinkConditions, SimulatedNetwork
from rainsail.state.commands import ROOT_GROUP, Command, PutResource
from rainsail.state.machine import ReplicatedState
from rainsail.wire.envelope import decode_envelope, encode_envelope
from rainsail.wire.messenger import Messenger

COMMIT_S = 0.004
ONE_WAY_S = 0.001
IDLE_S = 60.0
CHANGES = 60
CHANGE_PERIOD_S = 1.037
"""No multiple of any period of control, so that changes meet every phase of them."""
RESOURCES = 200
WARM_UP_S = 20.0


class Meter:
    """Processor seconds and bytes of one side."""

    def __init__(self) -> None:
        self.cpu_s = 0.0
        self.bytes = 0
        self._running = False

    def run(self, call: Callable[..., Any], *args: Any, **kw: Any) -> Any:
        """Run a call and add its processor time (once, when calls nest)."""
        if self._running:
            return call(*args, **kw)
        self._running = True
        start_s = time.process_time()
        try:
            return call(*args, **kw)
        finally:
            self.cpu_s += time.process_time() - start_s
            self._running = False


class MeteredClock:
    """The virtual clock; timers' processor time goes to a meter."""

    def __init__(self, clock: VirtualClock, meter: Meter) -> None:
        self._clock = clock
        self._meter = meter

    def seconds(self) -> float:
        """Return virtual seconds."""
        return self._clock.seconds()

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any) -> Any:
        """Schedule a metered call."""
        return self._clock.callLater(delay, self._meter.run, callable, *args, **kw)


class EncodedTransport:
    """Carries encoded envelopes over the simulated network and counts their bytes."""

    def __init__(self, network: SimulatedNetwork, name: str, meter: Meter) -> None:
        self.name = name
        self._inner = network.transport(name)
        self._meter = meter

    def send(self, destination: str, envelope: Any) -> Any:
        """Encode and send."""
        data = encode_envelope(envelope)
        self._meter.bytes += len(data)
        return self._inner.send(destination, data)

    def listen(self, deliver: Callable[[str, Any], None]) -> None:
        """Decode what arrives."""

        def arrive(source: str, data: bytes) -> None:
            self._meter.bytes += len(data)
            self._meter.run(lambda: deliver(source, decode_envelope(data)))

        self._inner.listen(arrive)


class LoneGroup:
    """A group of one: commits after a fixed time."""

    group = ROOT_GROUP

    def __init__(self, clock: Any, state: ReplicatedState) -> None:
        self._clock = clock
        self._state = state
        self._index = 0
        self._applied: list[Callable[[int], None]] = []

    def is_leader(self) -> bool:
        """It leads."""
        return True

    def leader(self) -> str:
        """Return its name."""
        return "leader"

    def propose(self, command: Command) -> Any:
        """Commit a command."""
        done: Deferred[Any] = Deferred()
        self._clock.callLater(COMMIT_S, self._commit, command, done)
        return done

    def _commit(self, command: Command, done: Any) -> None:
        self._index += 1
        outcome = self._state.apply(self._index, command)
        for listener in self._applied:
            listener(self._index)
        done.callback(Ok((self._index, outcome)))

    def read_barrier(self) -> Any:
        """Return at once."""
        return succeed(Ok(self._index))

    def on_applied(self, listener: Callable[[int], None]) -> None:
        """Note a listener."""
        self._applied.append(listener)

    def on_leadership(self, listener: Callable[[bool], None]) -> None:
        """Leadership never changes here."""


@dataclass(frozen=True, slots=True)
class Phase:
    """Totals over one phase of a run."""

    seconds: float
    leader_cpu_s: float
    gateways_cpu_s: float
    gateways_bytes: int


@dataclass(frozen=True, slots=True)
class RunResult:
    """One run with ``gateways`` gateways."""

    gateways: int
    idle: Phase
    changing: Phase
    applied_s: list[float]
    in_force_s: list[float]


class Bench:
    """One control plane with N gateways."""

    def __init__(self, gateways: int) -> None:
        self.clock = VirtualClock()
        self.leader = Meter()
        self.gateway = Meter()
        self.settings = ControlSettings()
        conditions = LinkConditions(delay_s=ONE_WAY_S, jitter_s=0.0)
        self.network = SimulatedNetwork(self.clock, random.Random(1), conditions)
        self.state = ReplicatedState()
        leader_clock = MeteredClock(self.clock, self.leader)
        self.group = LoneGroup(leader_clock, self.state)
        for number in range(RESOURCES):
            self.state.apply(0, runner_change(f"setup-{number}", f"engine-{number}", 0))
        messenger = Messenger(EncodedTransport(self.network, "leader", self.leader), leader_clock)
        states = {ROOT_GROUP: self.state}
        ControlService(
            {ROOT_GROUP: self.group}, states, messenger, leader_clock, self.settings
        ).start()
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

    def phase(self, work: Callable[[], None]) -> Phase:
        """Measure the costs of some work."""
        start_s = self.clock.seconds()
        before = (self.leader.cpu_s, self.gateway.cpu_s, self.gateway.bytes)
        work()
        return Phase(
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
            assert self.clock.run_next(self.clock.seconds() + 30.0)
        return self.clock.seconds()


def runner_change(change_id: str, name: str, slots: int) -> PutResource:
    """Return a change of a runner."""
    spec = RunnerSpec("http://10.0.0.1:9000", "south", "south-a", "assistant", batch_slots=slots)
    return PutResource(change_id, ResourceKey(Kind.RUNNER, name), spec)


def run_once(gateways: int) -> RunResult:
    """Run idle, then with changes."""
    bench = Bench(gateways)
    idle = bench.phase(lambda: bench.clock.advance(IDLE_S))
    delays: list[tuple[float, float]] = []
    changing = bench.phase(lambda: delays.extend(bench.change(n) for n in range(CHANGES)))
    return RunResult(
        gateways, idle, changing, [each[0] for each in delays], [each[1] for each in delays]
    )


def run_unshared(gateways: int) -> RunResult:
    """Run with a reply encoded for each gateway by itself."""
    shared = long_poll.LEAST_SHARERS
    long_poll.LEAST_SHARERS = gateways + 1
    try:
        return run_once(gateways)
    finally:
        long_poll.LEAST_SHARERS = shared


def slope(points: list[tuple[int, float]]) -> float:
    """Return the least-squares slope over the number of gateways."""
    return float(numpy.polyfit([x for x, _ in points], [y for _, y in points], 1)[0])


def per_change(run: RunResult, field: str) -> float:
    """Return what a change adds to the idle cost."""
    idle_rate = getattr(run.idle, field) / run.idle.seconds
    return (getattr(run.changing, field) - idle_rate * run.changing.seconds) / CHANGES


def summary(runs: list[RunResult]) -> dict[str, Any]:
    """Return the slopes per gateway, and delays per number of gateways."""
    idle_bytes = [(run.gateways, run.idle.gateways_bytes / run.idle.seconds) for run in runs]
    idle_leader = [(run.gateways, run.idle.leader_cpu_s / run.idle.seconds * 1e6) for run in runs]
    idle_view = [(run.gateways, run.idle.gateways_cpu_s / run.idle.seconds * 1e6) for run in runs]
    return {
        "idle_bytes_per_s_per_gateway": slope(idle_bytes),
        "idle_leader_cpu_us_per_s_per_gateway": slope(idle_leader),
        "idle_gateway_cpu_us_per_s": slope(idle_view),
        "bytes_per_change_per_gateway": slope(
            [(run.gateways, per_change(run, "gateways_bytes")) for run in runs]
        ),
        "leader_cpu_us_per_change_per_gateway": slope(
            [(run.gateways, per_change(run, "leader_cpu_s") * 1e6) for run in runs]
        ),
        "gateway_cpu_us_per_change": slope(
            [(run.gateways, per_change(run, "gateways_cpu_s") * 1e6) for run in runs]
        ),
        "fewest_gateways_bytes_idle_per_s": runs[0].idle.gateways_bytes
        / runs[0].idle.seconds
        / runs[0].gateways,
        "applied_everywhere_virtual_s": delays(runs, "applied_s"),
        "in_force_virtual_s": delays(runs, "in_force_s"),
    }


def delays(runs: list[RunResult], field: str) -> dict[str, dict[str, float]]:
    """Return the median and the highest delay per number of gateways."""
    return {
        str(run.gateways): {
            "p50": float(numpy.median(getattr(run, field))),
            "max": max(getattr(run, field)),
        }
        for run in runs
    }


def least(runs: list[RunResult]) -> RunResult:
    """Return the repeat with the least processor time; bytes and delays are all the same."""
    return min(runs, key=lambda run: run.changing.leader_cpu_s + run.changing.gateways_cpu_s)


def main(gateways: str = "15,30,60,120", repeats: int = 3, output: str = "") -> None:
    """Run and print one JSON object."""
    counts = gateways if isinstance(gateways, tuple) else (gateways,)
    if isinstance(gateways, str):
        counts = tuple(int(part) for part in gateways.split(","))
    runs, baseline = [], []
    for count in counts:
        pairs = [(run_once(count), run_unshared(count)) for _ in range(repeats)]
        runs.append(least([pair[0] for pair in pairs]))
        baseline.append(least([pair[1] for pair in pairs]))
    report = {
        "changes": CHANGES,
        "change_period_s": CHANGE_PERIOD_S,
        "repeats": repeats,
        "slopes": summary(runs),
        "baseline_unshared_slopes": summary(baseline),
        "runs": [
            {"gateways": run.gateways, "idle": asdict(run.idle), "changing": asdict(run.changing)}
            for run in runs
        ],
    }
    text = json.dumps(report, indent=1)
    if output:
        Path(output).write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    fire.Fire(main)
