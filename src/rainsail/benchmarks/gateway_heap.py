"""Online latency at a gateway while a heap of batch items is taken in by the same gateway."""

import json
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from rainsail.benchmarks.gateway_bed import SERVICE
from rainsail.benchmarks.gateway_load import Callers, fresh_question
from rainsail.benchmarks.samples import Latency, latency_of

HEAP_ITEMS = 20_000
QUIET_SAMPLES = 200
SHORT_TOKENS = 4


@dataclass(frozen=True, slots=True)
class HeapEffect:
    """Short questions one at a time, without and during the intake of a heap."""

    items: int
    quiet: Latency
    during: Latency


async def measure_heap(callers: Callers, gateway: str, items: int = HEAP_ITEMS) -> HeapEffect:
    """Submit one batch of ``items`` and ask online questions until it is accepted."""
    lines = batch_file(items)
    quiet = [await _ask(callers, gateway) for _ in range(QUIET_SAMPLES)]
    during: list[float] = []
    accepted = Deferred.fromCoroutine(callers.submit_batch(gateway, lines))
    while not accepted.called:
        during.append(await _ask(callers, gateway))
    await accepted
    return HeapEffect(items, latency_of(quiet), latency_of(during))


async def _ask(callers: Callers, gateway: str) -> float:
    reply = await callers.ask(gateway, fresh_question(SHORT_TOKENS, False))
    assert reply.is_whole(), reply
    return reply.took_s


def batch_file(items: int) -> bytes:
    """Return the lines of a batch's input file."""
    lines = []
    for index in range(items):
        body = {"model": SERVICE, "prompt": f"seal report {index}", "max_tokens": 16}
        line = {"custom_id": f"item-{index}", "method": "POST", "url": "/v1/completions"}
        lines.append(json.dumps({**line, "body": body}))
    return "\n".join(lines).encode()
