"""Compares ways to hold runners that warm up to their rate, on the same drawn requests.

``python tools/warm_up_ways.py`` prints a table for docs/design/warm_up.md. All runners of a service
are cold at once, and clients ask for some seconds:

- ``keeper``: the ledger's leader grants each send (what rainsail does, over its own classes);
- ``owners``: each runner belongs to one gateway by rendezvous hash, which alone sends to it;
- ``shares``: each gateway has an equal part of each runner's rate, and one request at least.

Everything runs in virtual time.
"""

import random
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from features.support.warm_up_world import BOUND, KEEPERS, LASTS_S, RATE_PER_S, WarmUpWorld

from rainsail.routing.prefix_memory import preferred_runner
from rainsail.routing.token_bucket import TokenBucket

GATEWAYS = (58, 190, 380)
RUNNERS = 10
COURSE_S = LASTS_S
LOADS = {"within the rate": 50.0, "beyond the rate": 150.0}
SEEDS = (1, 2, 3)


@dataclass(frozen=True)
class Outcome:
    """What a way made of a course: shares of the requests, and processor seconds of all nodes."""

    served: float
    over: float
    messages_per_s: float
    processor_s: float


def by_keeper(gateways: int, per_s: float, seed: int) -> Outcome:
    """Play the product's own way."""
    world = WarmUpWorld(seed, gateways, RUNNERS)
    world.lead(KEEPERS[0])
    world.clock.advance(2.0)
    for runner in world.runners:
        world.go_cold(runner, 0.0)
    world.clock.advance(0.2)
    before = world.messages_sent()
    began_s = time.process_time()
    world.press(per_s, COURSE_S - 0.3)
    world.clock.advance(COURSE_S + 1)
    messages = 2 * (world.messages_sent() - before) / COURSE_S
    return Outcome(world.served(), world.most_over(), messages, time.process_time() - began_s)


def drawn(gateways: int, per_s: float, seed: int) -> list[tuple[float, int]]:
    """Draw when requests come, and to which gateway."""
    draw = random.Random(seed)
    requests = []
    at_s = draw.expovariate(per_s)
    while at_s < COURSE_S - 0.3:
        requests.append((at_s, draw.randrange(gateways)))
        at_s += draw.expovariate(per_s)
    return requests


def judged(
    gateways: int, per_s: float, seed: int, buckets: dict[tuple[int, int], TokenBucket]
) -> Outcome:
    """Have each gateway send by its own buckets, to the first runner that has room."""
    requests = drawn(gateways, per_s, seed)
    draw = random.Random(seed)
    sent: list[list[float]] = [[] for _ in range(RUNNERS)]
    began_s = time.process_time()
    for at_s, gateway in requests:
        for runner in draw.sample(range(RUNNERS), RUNNERS):
            bucket = buckets.get((gateway, runner))
            if bucket is not None and bucket.wait_s(1.0, at_s) <= 0:
                bucket.take(1.0, at_s)
                sent[runner].append(at_s)
                break
    served = sum(map(len, sent)) / len(requests)
    over = max(map(fullest_second, sent)) - BOUND.in_window(RATE_PER_S)
    return Outcome(served, over, 0.0, time.process_time() - began_s)


def fullest_second(times_s: list[float]) -> int:
    """Return how many of the (sorted) times the fullest second holds."""
    most = first = 0
    for place, at_s in enumerate(times_s):
        while times_s[first] < at_s - 1.0:
            first += 1
        most = max(most, place - first + 1)
    return most


def by_owners(gateways: int, per_s: float, seed: int) -> Outcome:
    """Give each runner to one gateway."""
    names = [f"gateway-{number}" for number in range(gateways)]
    owners = {
        (names.index(preferred_runner(f"runner-{runner}", names)), runner): TokenBucket(
            RATE_PER_S, 5.0, 0.0
        )
        for runner in range(RUNNERS)
    }
    return judged(gateways, per_s, seed, owners)


def by_shares(gateways: int, per_s: float, seed: int) -> Outcome:
    """Give each gateway an equal part of each runner."""
    part = RATE_PER_S / gateways
    buckets = {
        (gateway, runner): TokenBucket(part, 1.0, 0.0)
        for gateway in range(gateways)
        for runner in range(RUNNERS)
    }
    return judged(gateways, per_s, seed, buckets)


WAYS = {"keeper": by_keeper, "owners": by_owners, "shares": by_shares}


def main() -> None:
    """Print the table: means over the seeds, and the worst second."""
    print(
        "| load | gateways | way | sent at once | over the bound by | messages/s | processor ms/s |"
    )
    print("|---|---|---|---|---|---|---|")
    for load, per_s in LOADS.items():
        for gateways in GATEWAYS:
            for name, way in WAYS.items():
                outcomes = [way(gateways, per_s, seed) for seed in SEEDS]
                served = sum(each.served for each in outcomes) / len(SEEDS)
                over = max(each.over for each in outcomes)
                messages = sum(each.messages_per_s for each in outcomes) / len(SEEDS)
                processor = sum(each.processor_s for each in outcomes) / len(SEEDS) / COURSE_S
                print(
                    f"| {load} ({per_s:g}/s) | {gateways} | {name} | {served:.2f} | {over:.1f} "
                    f"| {messages:.0f} | {processor * 1000:.0f} |"
                )


if __name__ == "__main__":
    main()
