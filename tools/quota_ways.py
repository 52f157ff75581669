"""Compares ways to keep a tenant's rate over many gateways, on the same drawn requests.

``python tools/quota_ways.py`` prints a table for docs/design/shifted.md. Three ways:

- ``keeper``: each request is admitted by one keeper (what rainsail does, ``rainsail.tenancy``);
- ``sums``: each gateway counts by itself and hears at fixed times what all others have admitted;
- ``shares``: each gateway has an equal part of the rate and burst, and nothing is said.

Delays are those between two zones; everything runs in virtual time.
"""

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from features.support.quota_world import KEEPERS, QuotaWorld

from rainsail.routing.token_bucket import TokenBucket
from rainsail.tenancy.quota_terms import QuotaTerms
from rainsail.tenancy.tenants import RateLimit

GATEWAYS = (49, 190, 380)
COURSE_S = 30.0
EXCHANGE_PERIOD_S = 0.25
LOW_S, HIGH_S = 3.6, 2.4
SEEDS = (1, 2, 3)
HEADING = (
    "| load | gateways | way | admitted | refused within the limit | window over by | messages/s |"
)


@dataclass(frozen=True)
class Load:
    """Requests of one tenant: a rate while low and while high, at some of the gateways."""

    name: str
    limit: RateLimit
    low_per_s: float
    high_per_s: float
    at_gateways: int
    """How many gateways its clients come to; 0: all."""


LOADS = (
    Load("small tenant within its limit", RateLimit(3.0, 3.0), 0.8, 3.6, 5),
    Load("large tenant within its limit", RateLimit(100.0, 100.0), 25.0, 119.0, 0),
    Load("small tenant, 10 x its limit", RateLimit(3.0, 3.0), 30.0, 30.0, 5),
    Load("large tenant, 5 x its limit", RateLimit(100.0, 100.0), 500.0, 500.0, 0),
)


@dataclass(frozen=True)
class Request:
    """When a request comes, and to which gateway."""

    at_s: float
    gateway: int


@dataclass(frozen=True)
class Outcome:
    """What a way made of a load."""

    asked: int
    admitted: int
    refused_within: int
    over: float
    messages_per_s: float


def drawn(load: Load, gateways: int, seed: int) -> list[Request]:
    """Draw the requests of a course."""
    draw = random.Random(seed)
    places = [draw.randrange(gateways) for _ in range(load.at_gateways)] or list(range(gateways))
    requests = []
    at_s = 0.0
    while at_s < COURSE_S:
        in_cycle_s = at_s % (LOW_S + HIGH_S)
        per_s = load.low_per_s if in_cycle_s < LOW_S else load.high_per_s
        at_s += draw.expovariate(per_s)
        requests.append(Request(at_s, draw.choice(places)))
    return requests


def judged(
    load: Load, requests: list[Request], admits: Callable[[Request], bool], messages: int
) -> Outcome:
    """Judge a way that decides at once, by the window's bound and by one bucket over all."""
    terms = QuotaTerms()
    ideal = TokenBucket(load.limit.rate_per_s, load.limit.burst, 0.0)
    admitted_s: list[float] = []
    refused_within = 0
    for request in requests:
        within = ideal.wait_s(1.0, request.at_s) <= 0
        if within:
            ideal.take(1.0, request.at_s)
        if admits(request):
            admitted_s.append(request.at_s)
        else:
            refused_within += within
    over = fullest_window(admitted_s, terms.window_s) - allowed_in_window(load.limit, terms)
    return Outcome(len(requests), len(admitted_s), refused_within, over, messages / COURSE_S)


def allowed_in_window(limit: RateLimit, terms: QuotaTerms) -> float:
    """Return how many requests any window may hold."""
    window = limit.rate_per_s * terms.window_s + limit.burst
    return window * (1 + terms.overshoot) + terms.slack


def fullest_window(times_s: list[float], window_s: float) -> int:
    """Return how many of the (sorted) times the fullest window holds."""
    most = first = 0
    for place, at_s in enumerate(times_s):
        while times_s[first] < at_s - window_s:
            first += 1
        most = max(most, place - first + 1)
    return most


def by_keeper(load: Load, gateways: int, requests: list[Request], seed: int) -> Outcome:
    """Play the product's own way."""
    world = QuotaWorld(seed, gateways, load.limit)
    world.lead(KEEPERS[0])
    world.clock.advance(0.1)
    for request in requests:
        world.clock.callLater(request.at_s, world.request, world.gateways[request.gateway])
    world.clock.advance(COURSE_S + 1)
    counted = world.admissions
    return Outcome(
        counted.asked,
        len(counted.admitted_s),
        counted.refused_within,
        world.most_over(load.limit),
        2 * world.messages_sent() / COURSE_S,
    )


def by_sums(load: Load, gateways: int, requests: list[Request], seed: int) -> Outcome:
    """Count locally; every ``EXCHANGE_PERIOD_S`` hear what all others have admitted."""
    rate, burst = load.limit.rate_per_s, load.limit.burst
    buckets = [TokenBucket(rate, burst, 0.0) for _ in range(gateways)]
    fresh = [0] * gateways
    messages = 0
    exchanged_s = 0.0

    def admits(request: Request) -> bool:
        nonlocal messages, exchanged_s
        while request.at_s - exchanged_s >= EXCHANGE_PERIOD_S:
            exchanged_s += EXCHANGE_PERIOD_S
            total = sum(fresh)
            if total:
                messages += sum(1 for own in fresh if own) + gateways
            for number, bucket in enumerate(buckets):
                bucket.take(total - fresh[number], exchanged_s)
            fresh[:] = [0] * gateways
        bucket = buckets[request.gateway]
        if bucket.wait_s(1.0, request.at_s) > 0:
            return False
        bucket.take(1.0, request.at_s)
        fresh[request.gateway] += 1
        return True

    outcome = judged(load, requests, admits, 0)
    return Outcome(
        outcome.asked,
        outcome.admitted,
        outcome.refused_within,
        outcome.over,
        messages / COURSE_S,
    )


def by_shares(load: Load, gateways: int, requests: list[Request], seed: int) -> Outcome:
    """Give each gateway an equal part."""
    part = 1.0 / gateways
    rate, burst = load.limit.rate_per_s * part, load.limit.burst * part + 1.0
    buckets = [TokenBucket(rate, burst, 0.0) for _ in range(gateways)]

    def admits(request: Request) -> bool:
        bucket = buckets[request.gateway]
        if bucket.wait_s(1.0, request.at_s) > 0:
            return False
        bucket.take(1.0, request.at_s)
        return True

    return judged(load, requests, admits, 0)


WAYS = {"keeper": by_keeper, "sums": by_sums, "shares": by_shares}


def mean(values: list[float]) -> float:
    """Return the mean."""
    return sum(values) / len(values)


def main() -> None:
    """Print the table: means over the seeds, and the worst window."""
    print(HEADING)
    print("|---|---|---|---|---|---|---|")
    for load in LOADS:
        for gateways in GATEWAYS:
            for name, way in WAYS.items():
                outcomes = [
                    way(load, gateways, drawn(load, gateways, seed), seed) for seed in SEEDS
                ]
                admitted = mean([each.admitted / each.asked for each in outcomes])
                refused = mean([each.refused_within / each.asked for each in outcomes])
                over = max(each.over for each in outcomes)
                messages = mean([each.messages_per_s for each in outcomes])
                print(
                    f"| {load.name} | {gateways} | {name} | {admitted:.3f} | {refused:.3f} "
                    f"| {over:.0f} | {messages:.0f} |"
                )


if __name__ == "__main__":
    main()
