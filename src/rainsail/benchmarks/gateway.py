"""``rainsail bench gateway``: what one gateway adds, does and holds.

Wall clock: added latency, short requests and relayed chunks per core, memory slopes, and the
effect of a heap of batch items taken in. Virtual clock: what one tenant's flood does to another.
"""

import os
import statistics
import sys
from dataclasses import asdict, dataclass
from typing import Any

from rich.console import Console
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from rainsail.benchmarks.gateway_bed import FAST_ENGINE, SLOW_ENGINE, EngineBed, GatewayBed
from rainsail.benchmarks.gateway_fairness import FloodEffect, measure_floods
from rainsail.benchmarks.gateway_heap import HEAP_ITEMS, HeapEffect, measure_heap
from rainsail.benchmarks.gateway_load import Callers
from rainsail.benchmarks.gateway_memory import MemorySlopes, measure_memory
from rainsail.benchmarks.gateway_rates import (
    LATENCY_SAMPLES,
    SHORT_TOKENS,
    STREAM_TOKENS,
    PairedCost,
    PairedLatency,
    Routes,
    measure_cost,
    measure_latency,
)
from rainsail.benchmarks.report import BenchReport, Progress, Target, no_progress
from rainsail.runtime.collector import exempt_startup_objects

ENGINES = 2
READY_CHECK_S = 0.05
MOST_ADDED_MEDIAN_MS = 2.0
LEAST_SHORT_REQUESTS_PER_CORE_S = 500.0
LEAST_CHUNKS_PER_CORE_S = 20_000.0
MOST_FLOOD_RATIO = 1.10


@dataclass(frozen=True, slots=True)
class GatewayBenchOptions:
    """How long and how often to measure."""

    runs: int = 3
    seconds: float = 2.0
    heap_items: int = HEAP_ITEMS
    memory: bool = True
    fairness: bool = True


@dataclass(slots=True)
class GatewayMeasurements:
    """All that one bench has measured."""

    latencies: list[PairedLatency]
    short_requests: list[PairedCost]
    chunks: list[PairedCost]
    heap: HeapEffect | None = None
    memory: MemorySlopes | None = None
    floods: tuple[FloodEffect, ...] = ()


def run_gateway_bench(
    runs: int = 3,
    seconds: float = 2.0,
    heap_items: int = HEAP_ITEMS,
    memory: bool = True,
    fairness: bool = True,
) -> BenchReport:
    """Run the bench under the reactor (once per process) and return its report.

    Raises what the bench raised, and ``KeyboardInterrupt`` when it was stopped from outside.
    """
    from twisted.internet import reactor as any_reactor

    reactor: Any = any_reactor
    options = GatewayBenchOptions(runs, seconds, heap_items, memory, fairness)
    progress = Console(stderr=True).print if sys.stderr.isatty() else no_progress
    load_before = os.getloadavg()[0]
    results: list[GatewayMeasurements] = []
    failures: list[Any] = []

    def start() -> None:
        ended = Deferred.fromCoroutine(measure(reactor, options, progress))
        ended.addCallbacks(results.append, failures.append)
        ended.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    for failure in failures:
        failure.raiseException()
    if not results:
        raise KeyboardInterrupt
    return report_of(results[0], load_before)


async def measure(
    reactor: Any, options: GatewayBenchOptions, progress: Progress
) -> GatewayMeasurements:
    """Run every part of the bench."""
    engines = EngineBed(reactor, ENGINES, FAST_ENGINE)
    gateway = GatewayBed(reactor, engines.addresses)
    callers = Callers(reactor)
    routes = Routes(engines.addresses, gateway.address)
    measured = GatewayMeasurements([], [], [])
    await _wait_ready(reactor, gateway)
    exempt_startup_objects()
    for run in range(options.runs):
        progress(f"run {run + 1} of {options.runs}")
        seconds = options.seconds
        measured.latencies.append(await measure_latency(callers, routes, LATENCY_SAMPLES))
        short = await measure_cost(callers, routes, seconds, SHORT_TOKENS, stream=False)
        measured.short_requests.append(short)
        chunks = await measure_cost(callers, routes, seconds, STREAM_TOKENS, stream=True)
        measured.chunks.append(chunks)
    if options.heap_items:
        progress("intake of a heap")
        measured.heap = await measure_heap(callers, gateway.address, options.heap_items)
    if options.memory:
        progress("memory")
        measured.memory = await _measure_memory(reactor, callers, gateway)
    if options.fairness:
        progress("floods, on the virtual clock")
        measured.floods = measure_floods()
    await callers.close()
    await gateway.close()
    await engines.close()
    return measured


async def _measure_memory(reactor: Any, callers: Callers, fast: GatewayBed) -> MemorySlopes:
    engines = EngineBed(reactor, 1, SLOW_ENGINE)
    slow = GatewayBed(reactor, engines.addresses)
    await _wait_ready(reactor, slow)
    return await measure_memory(callers, engines.addresses[0], slow.address, fast)


async def _wait_ready(reactor: Any, gateway: GatewayBed) -> None:
    while not gateway.is_ready():
        await deferLater(reactor, READY_CHECK_S)


def report_of(measured: GatewayMeasurements, load_before: float) -> BenchReport:
    """Return the report; medians over the runs are held against the targets."""
    added_ms = statistics.median(each.added_median_ms for each in measured.latencies)
    requests = statistics.median(each.gateway_per_core_s for each in measured.short_requests)
    chunks = statistics.median(each.gateway_per_core_s for each in measured.chunks)
    targets = [
        Target("added_median_ms", MOST_ADDED_MEDIAN_MS, added_ms),
        Target("short_requests_per_core_s", LEAST_SHORT_REQUESTS_PER_CORE_S, requests, True),
        Target("chunks_per_core_s", LEAST_CHUNKS_PER_CORE_S, chunks, True),
    ]
    targets += [
        Target(f"flood_p99_ratio_{flood.name}", MOST_FLOOD_RATIO, flood.p99_ratio)
        for flood in measured.floods
    ]
    figures: dict[str, Any] = {
        "latency": [asdict(each) for each in measured.latencies],
        "short_requests": [_cost_figures(each) for each in measured.short_requests],
        "chunks": [_cost_figures(each) for each in measured.chunks],
        "floods": [asdict(each) for each in measured.floods],
        "load_average_before": load_before,
        "load_average_after": os.getloadavg()[0],
    }
    if measured.heap is not None:
        figures["heap"] = asdict(measured.heap)
    if measured.memory is not None:
        stream_bytes = measured.memory.gateway_bytes_per_stream
        figures["memory"] = {
            **asdict(measured.memory),
            "gateway_bytes_per_stream": stream_bytes,
        }
    return BenchReport("gateway", figures, tuple(targets))


def _cost_figures(cost: PairedCost) -> dict[str, Any]:
    per_core = {"gateway_per_core_s": cost.gateway_per_core_s, "ratio_to_direct": cost.ratio}
    return {**asdict(cost), **per_core}
