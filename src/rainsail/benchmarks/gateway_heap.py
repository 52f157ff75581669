"""Online latency at a gateway while a heap of batch items is taken in by the same gateway."""

import json
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from rainsail.benchmarks.gateway_load import Callers
from rainsail.benchmarks.loopback_gateway import SERVICE
from rainsail.benchmarks.samples import Latency, latency_of

HEAP_ITEMS = 20_000
"""Not measured; chosen so that the intake lasts for some hundred questions."""
QUIET_SAMPLES = 200


@dataclass(frozen=True, slots=True)
class HeapEffect:
    """Short questions one at a time, without and during the intake of a heap."""

    items: int
    quiet: Latency
    during: Latency


async def measure_heap(callers: Callers, gateway: str, items: int = HEAP_ITEMS) -> HeapEffect:
    """Submit one batch of ``items`` and ask online questions until it is accepted."""
    lines = batch_file(items)
    quiet = [await callers.time_short(gateway) for _ in range(QUIET_SAMPLES)]
    during: list[float] = []
    accepted = Deferred.fromCoroutine(callers.submit_batch(gateway, lines))
    while not accepted.called:
        during.append(await callers.time_short(gateway))
    await accepted
    return HeapEffect(items, latency_of(quiet), latency_of(during))


def batch_file(items: int) -> bytes:
    """Return the lines of a batch's input file."""
    lines = []
    for index in range(items):
        body = {"model": SERVICE, "prompt": f"seal report {index}", "max_tokens": 16}
        line = {"custom_id": f"item-{index}", "method": "POST", "url": "/v1/completions"}
        lines.append(json.dumps({**line, "body": body}))
    return "\n".join(lines).encode()
