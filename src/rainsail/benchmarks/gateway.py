"""``rainsail bench gateway``: what one gateway adds, does and holds.

Engines, the gateway and the callers each run in a process of their own on loopback sockets. Short
requests and relayed chunks are counted per second of the gateway's own processor time, so that
other work on the machine hardly moves them; the rate on the wall clock and the share of a core that
the gateway got stand beside them. Memory is the resident set of the gateway's process. What one
tenant's flood does to another is measured on the virtual clock in this process.
"""

import statistics
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

from twisted.internet.defer import gatherResults
from twisted.internet.task import deferLater

from rainsail.benchmarks.child import Child
from rainsail.benchmarks.gateway_fairness import FloodEffect, measure_floods
from rainsail.benchmarks.gateway_heap import HEAP_ITEMS
from rainsail.benchmarks.gateway_load import SHORT_TOKENS, LoadAnswers
from rainsail.benchmarks.report import BenchReport, Progress, Target
from rainsail.benchmarks.samples import slope

ENGINES = 2
CALLERS = 2
LATENCY_SAMPLES = 300
"""Questions at each address. Not measured; chosen so that a run takes some ten seconds of them."""
STREAM_STEPS = (0, 200, 400, 600, 800)
"""Open streams at which the memory is read."""
SESSION_STEPS = (0, 1000, 2000, 3000, 4000)
"""Idle sessions at which the memory is read."""
SETTLE_S = 2.0
"""Wait before memory is read. Not measured; chosen to let the answers' buffers go."""
MOST_ADDED_MEDIAN_MS = 2.0
LEAST_SHORT_REQUESTS_PER_CORE_S = 500.0
LEAST_CHUNKS_PER_CORE_S = 20_000.0
MOST_FLOOD_RATIO = 1.10
"""The targets are those of docs/design/gateway.md."""


@dataclass(frozen=True, slots=True)
class LoadShape:
    """What the callers keep open, and for how many tokens each."""

    concurrency: int
    tokens: int
    stream: bool

    @property
    def units(self) -> int:
        """What one answer counts: a stream's chunks, of one token each, or the answer itself."""
        return self.tokens if self.stream else 1


SHORT_REQUESTS = LoadShape(concurrency=32, tokens=SHORT_TOKENS, stream=False)
STREAMS = LoadShape(concurrency=32, tokens=200, stream=True)


@dataclass(frozen=True, slots=True)
class LoadRates:
    """What a load reached, in requests or chunks, by wall clock and by processor time."""

    per_s: float
    per_processor_s: float
    core_share: float
    not_whole: int
    """Answers that were not exactly the model's."""


@dataclass(frozen=True, slots=True)
class GatewayBenchOptions:
    """How long and how often to measure."""

    runs: int = 3
    seconds: float = 2.0
    heap_items: int = HEAP_ITEMS
    memory: bool = True
    fairness: bool = True
    profile: str = ""
    """File for the profile of the gateway's process; none when empty."""


class GatewayProcesses:
    """Engines, one gateway before them, a bare relay before the first engine, and callers."""

    def __init__(
        self,
        reactor: Any,
        engines: int,
        callers: int,
        slow_engines: bool = False,
        profile: str = "",
    ) -> None:
        speed = ["--slow"] if slow_engines else []
        self._reactor = reactor
        self.engines = [Child("engine", *speed) for _ in range(engines)]
        self.gateway = Child("gateway", f"--profile={profile}")
        self.relay = Child("relay")
        self.callers = [Child("caller") for _ in range(callers)]
        self.engine_addresses: list[str] = []
        self.relay_address = ""
        self.address = ""

    async def start(self) -> None:
        """Wait until the gateway may send work to every engine."""
        self.engine_addresses = [await engine.call("address") for engine in self.engines]
        self.relay_address = await self.relay.call("start", engine=self.engine_addresses[0])
        self.address = await self.gateway.call("start", engines=self.engine_addresses)

    async def latency(self) -> dict[str, float]:
        """Return medians in milliseconds: to the engine, through the relay and the gateway."""
        addresses = {
            "direct": self.engine_addresses[0],
            "relay": self.relay_address,
            "through": self.address,
        }
        medians: dict[str, float] = await self.callers[0].call(
            "latency", addresses=addresses, samples=LATENCY_SAMPLES
        )
        return medians

    async def load_gateway(self, shape: LoadShape, seconds: float) -> LoadRates:
        """Load the gateway and measure its process."""
        return await self._load([self.address], [self.gateway], shape, seconds)

    async def load_engines(self, shape: LoadShape, seconds: float) -> LoadRates:
        """Load the engines directly and measure their processes."""
        return await self._load(self.engine_addresses, self.engines, shape, seconds)

    async def _load(
        self, addresses: list[str], measured: list[Child], shape: LoadShape, seconds: float
    ) -> LoadRates:
        load = {"addresses": addresses, "seconds": seconds, **asdict(shape)}
        load["concurrency"] = shape.concurrency // len(self.callers)
        before_s = await _processor_s(measured)
        loads = await gatherResults([each.call("load", **load) for each in self.callers])
        processor_s = await _processor_s(measured) - before_s
        answers = [LoadAnswers(**each) for each in loads]
        wall_s = statistics.mean(each.wall_s for each in answers)
        units = shape.units * sum(each.whole for each in answers)
        not_whole = sum(each.not_whole for each in answers)
        return LoadRates(units / wall_s, units / processor_s, processor_s / wall_s, not_whole)

    async def open_streams(self, count: int) -> None:
        """Open streams at the gateway and keep them open."""
        await self.callers[0].call("open_streams", address=self.address, count=count)

    async def add_sessions(self, count: int) -> None:
        """Create sessions and take one turn in each."""
        names = await self.gateway.call("open_sessions", count=count)
        await self.callers[0].call("take_turns", address=self.address, sessions=names)

    async def memory_at(
        self, steps: tuple[int, ...], add: Callable[[int], Awaitable[None]]
    ) -> list[int]:
        """Return the gateway's resident bytes at each step."""
        resident = []
        for before, step in zip((0, *steps), steps, strict=False):
            await add(step - before)
            await deferLater(self._reactor, SETTLE_S)
            resident.append(self.gateway.resident_bytes())
        return resident

    def close(self) -> None:
        """End every process."""
        for child in (*self.callers, self.gateway, self.relay, *self.engines):
            child.close()


async def _processor_s(children: list[Child]) -> float:
    times_s = [await child.call("processor_s") for child in children]
    return sum(times_s)


async def run_gateway_bench(
    reactor: Any, folder: Path, progress: Progress, **parameters: Any
) -> BenchReport:
    """Run every part that the parameters ask for (see ``GatewayBenchOptions``)."""
    options = GatewayBenchOptions(**parameters)
    report = await _measure_rates(reactor, options, progress)
    figures = dict(report.figures)
    if options.memory:
        progress("memory")
        figures["memory"] = await _measure_memory(reactor)
    floods: tuple[FloodEffect, ...] = ()
    if options.fairness:
        progress("floods, on the virtual clock")
        floods = measure_floods()
    figures["floods"] = [asdict(flood) for flood in floods]
    targets = [
        Target(f"flood_p99_ratio_{flood.name}", MOST_FLOOD_RATIO, flood.p99_ratio)
        for flood in floods
    ]
    return replace(report, figures=figures, targets=(*report.targets, *targets))


async def _measure_rates(
    reactor: Any, options: GatewayBenchOptions, progress: Progress
) -> BenchReport:
    """Measure latency, short requests, chunks and the intake of a heap."""
    processes = GatewayProcesses(reactor, ENGINES, CALLERS, profile=options.profile)
    latencies, shorts, direct, chunks = [], [], [], []
    figures: dict[str, Any] = {}
    try:
        await processes.start()
        for run in range(options.runs):
            progress(f"run {run + 1} of {options.runs}")
            latencies.append(await processes.latency())
            shorts.append(await processes.load_gateway(SHORT_REQUESTS, options.seconds))
            direct.append(await processes.load_engines(SHORT_REQUESTS, options.seconds))
            chunks.append(await processes.load_gateway(STREAMS, options.seconds))
        if options.heap_items:
            progress("intake of a heap")
            figures["heap"] = await processes.callers[0].call(
                "heap", address=processes.address, items=options.heap_items
            )
    finally:
        processes.close()
    added_ms = [each["through_ms"] - each["direct_ms"] for each in latencies]
    figures |= {
        "latency_ms": latencies,
        "added_median_ms": added_ms,
        "relay_added_median_ms": [each["relay_ms"] - each["direct_ms"] for each in latencies],
        "short_requests": [asdict(each) for each in shorts],
        "direct_short_requests": [asdict(each) for each in direct],
        "chunks": [asdict(each) for each in chunks],
    }
    targets = (
        Target("added_median_ms", MOST_ADDED_MEDIAN_MS, statistics.median(added_ms)),
        Target("short_requests_per_core_s", LEAST_SHORT_REQUESTS_PER_CORE_S, _median(shorts), True),
        Target("chunks_per_core_s", LEAST_CHUNKS_PER_CORE_S, _median(chunks), True),
    )
    return BenchReport("gateway", figures, targets)


def _median(rates: list[LoadRates]) -> float:
    return statistics.median(each.per_processor_s for each in rates)


async def _measure_memory(reactor: Any) -> dict[str, Any]:
    """Return the gateway's resident bytes per open stream and per idle session, as slopes."""
    slow = GatewayProcesses(reactor, 1, 1, slow_engines=True)
    try:
        await slow.start()
        streams = await slow.memory_at(STREAM_STEPS, slow.open_streams)
    finally:
        slow.close()
    fast = GatewayProcesses(reactor, 1, 1)
    try:
        await fast.start()
        sessions = await fast.memory_at(SESSION_STEPS, fast.add_sessions)
    finally:
        fast.close()
    return {
        "streams": STREAM_STEPS,
        "resident_bytes": streams,
        "bytes_per_open_stream": slope(list(zip(STREAM_STEPS, streams, strict=True))),
        "sessions": SESSION_STEPS,
        "session_resident_bytes": sessions,
        "bytes_per_idle_session": slope(list(zip(SESSION_STEPS, sessions, strict=True))),
    }
