"""Added latency and cost per request and per chunk of a gateway in this process.

Callers, gateway and engines share one reactor here, so what a request costs the gateway is the
processor time of a request through it less that of the same request to an engine directly.
``bench/gateway_fleet_bench.py`` measures the same with the gateway in a process of its own.
"""

import time
from dataclasses import dataclass

from rainsail.benchmarks.gateway_load import Callers, fresh_question
from rainsail.benchmarks.samples import Latency, latency_of

SHORT_TOKENS = 4
STREAM_TOKENS = 200
CONCURRENCY = 16
LATENCY_SAMPLES = 200


@dataclass(frozen=True, slots=True)
class PairedLatency:
    """One question at a time, to the engine and through the gateway by turns."""

    direct: Latency
    through: Latency

    @property
    def added_median_ms(self) -> float:
        """What the gateway adds to the median, milliseconds."""
        return self.through.p50_ms - self.direct.p50_ms


@dataclass(frozen=True, slots=True)
class PairedCost:
    """Processor seconds per unit of work (a request, or a chunk of a stream)."""

    direct_s: float
    through_s: float
    not_whole: int

    @property
    def gateway_per_core_s(self) -> float:
        """How much a gateway alone does with one second of a core."""
        return 1.0 / (self.through_s - self.direct_s)

    @property
    def ratio(self) -> float:
        """Cost through the gateway over the cost of asking the engine."""
        return self.through_s / self.direct_s


@dataclass(frozen=True, slots=True)
class Routes:
    """Where to ask: the engines, and the gateway before them."""

    engines: list[str]
    gateway: str


async def measure_latency(callers: Callers, routes: Routes, samples: int) -> PairedLatency:
    """Ask short questions one at a time, by turns; raises ``AssertionError`` on a wrong answer."""
    took: tuple[list[float], list[float]] = ([], [])
    for _ in range(samples):
        for address, times in zip((routes.engines[0], routes.gateway), took, strict=True):
            reply = await callers.ask(address, fresh_question(SHORT_TOKENS, False))
            assert reply.is_whole(), reply
            times.append(reply.took_s)
    return PairedLatency(latency_of(took[0]), latency_of(took[1]))


async def measure_cost(
    callers: Callers, routes: Routes, seconds: float, tokens: int, stream: bool
) -> PairedCost:
    """Load the engines, then the gateway, for ``seconds`` each; tokens of streams are units."""
    units = tokens if stream else 1
    direct_s, direct_other = await _cost(callers, routes.engines, seconds, tokens, stream)
    through_s, through_other = await _cost(callers, [routes.gateway], seconds, tokens, stream)
    return PairedCost(direct_s / units, through_s / units, direct_other + through_other)


async def _cost(
    callers: Callers, addresses: list[str], seconds: float, tokens: int, stream: bool
) -> tuple[float, int]:
    """Return the processor seconds per answer, and how many answers were not whole."""
    before_s = time.process_time()
    replies = await callers.ask_for(addresses, seconds, CONCURRENCY, tokens, stream)
    processor_s = time.process_time() - before_s
    not_whole = sum(not reply.is_whole() for reply in replies)
    return processor_s / len(replies), not_whole
