"""Memory of a gateway per open stream and per idle session, as slopes of Python's allocations.

Callers, gateway and engines share this process: what a stream costs the gateway is the slope
through it less the slope of streams straight from the engine. Kernel memory of sockets is not
counted. The slope of sessions holds the replicated record as well, which shares its strings with
the gateway here, and is therefore a bound from above.
"""

import gc
import tracemalloc
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred, gatherResults

from rainsail.benchmarks.gateway_bed import GatewayBed
from rainsail.benchmarks.gateway_load import Callers, fresh_question
from rainsail.benchmarks.samples import slope

STREAM_STEPS = (50, 100, 150, 200)
SESSION_STEPS = (100, 200, 300, 400)
OPEN_STREAM_TOKENS = 1000
SESSION_TURN_TOKENS = 16


@dataclass(frozen=True, slots=True)
class MemorySlopes:
    """Bytes of Python's allocations."""

    direct_bytes_per_stream: float
    through_bytes_per_stream: float
    bytes_per_idle_session: float

    @property
    def gateway_bytes_per_stream(self) -> float:
        """What one open stream costs the gateway."""
        return self.through_bytes_per_stream - self.direct_bytes_per_stream


async def measure_memory(
    callers: Callers, slow_engine: str, slow_gateway: str, fast: GatewayBed
) -> MemorySlopes:
    """Open streams at a slow engine and through a gateway before it; run sessions' turns."""

    async def open_direct(count: int) -> None:
        await _open_streams(callers, slow_engine, count)

    async def open_through(count: int) -> None:
        await _open_streams(callers, slow_gateway, count)

    async def take_turns(count: int) -> None:
        await _take_turns(callers, fast, count)

    tracemalloc.start()
    try:
        direct = await _slope(open_direct, STREAM_STEPS)
        through = await _slope(open_through, STREAM_STEPS)
        session = await _slope(take_turns, SESSION_STEPS)
    finally:
        tracemalloc.stop()
    return MemorySlopes(direct, through, session)


async def _slope(add: Callable[[int], Awaitable[None]], steps: tuple[int, ...]) -> float:
    points = []
    made = 0
    for step in steps:
        await add(step - made)
        made = step
        gc.collect()
        points.append((float(made), float(tracemalloc.get_traced_memory()[0])))
    return slope(points)


async def _open_streams(callers: Callers, address: str, count: int) -> None:
    opening = [
        Deferred.fromCoroutine(
            callers.open_stream(address, fresh_question(OPEN_STREAM_TOKENS, True))
        )
        for _ in range(count)
    ]
    await gatherResults(opening)


async def _take_turns(callers: Callers, bed: GatewayBed, count: int) -> None:
    names = bed.open_sessions(count)
    for name in names:
        reply = await callers.ask(bed.address, fresh_question(SESSION_TURN_TOKENS, False, name))
        assert reply.is_whole(), reply
