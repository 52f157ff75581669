"""A client's load of ledger commands on a group, with a bounded number of proposals under way."""

import itertools
import time
from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks

from rainsail.benchmarks.ledger_commands import add_range, open_job
from rainsail.benchmarks.loopback_replicas import ok
from rainsail.benchmarks.samples import Latency, latency_of
from rainsail.control.interface import ControlClient
from rainsail.state.commands import NoOperation

PROPOSAL_TIMEOUT_S = 10.0
JOB_ITEMS = 600_000
"""Room for the items of one load; the job is never sealed, so nothing is leased."""
WARM_UP_SHARE = 0.2
"""First part of a load that isn't counted."""


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What a load reached after its warm-up. An entry is one command in the replicated log."""

    items_per_command: int
    concurrent_proposals: int
    seconds: float
    entries_per_s: float
    item_records_per_s: float
    latency: Latency


@dataclass(slots=True)
class _Tally:
    began_s: float
    ends_s: float
    committed: int = 0
    latencies_s: list[float] = field(default_factory=list)


@inlineCallbacks
def lone_changes(client: ControlClient, count: int) -> Generator[Deferred[Any], Any, list[float]]:
    """Commit commands one at a time; return how long each took in seconds."""
    times_s = []
    for _ in range(count):
        began_s = time.perf_counter()
        committed = yield client.propose(NoOperation(), PROPOSAL_TIMEOUT_S)
        times_s.append(time.perf_counter() - began_s)
        ok(committed)
    return times_s


@inlineCallbacks
def run_load(
    client: ControlClient, job_id: str, items_per_command: int, concurrent: int, seconds: float
) -> Generator[Deferred[Any], Any, LoadResult]:
    """Add items to an open job as fast as the group commits them."""
    opened = yield client.propose(open_job(job_id, JOB_ITEMS), PROPOSAL_TIMEOUT_S)
    ok(opened)
    now_s = time.perf_counter()
    tally = _Tally(now_s + seconds * WARM_UP_SHARE, now_s + seconds)
    firsts = itertools.count(0, items_per_command)
    loops = [
        _propose_until_end(client, job_id, items_per_command, firsts, tally)
        for _ in range(concurrent)
    ]
    yield DeferredList(loops, fireOnOneErrback=True)
    counted_s = tally.ends_s - tally.began_s
    entries_per_s = tally.committed / counted_s
    return LoadResult(
        items_per_command,
        concurrent,
        round(counted_s, 2),
        round(entries_per_s),
        round(entries_per_s * items_per_command),
        latency_of(tally.latencies_s),
    )


@inlineCallbacks
def _propose_until_end(
    client: ControlClient, job_id: str, items: int, firsts: "itertools.count[int]", tally: _Tally
) -> Generator[Deferred[Any], Any, None]:
    while time.perf_counter() < tally.ends_s:
        first = next(firsts) % (JOB_ITEMS - items)
        command = add_range(job_id, first, first + items)
        began_s = time.perf_counter()
        committed = yield client.propose(command, PROPOSAL_TIMEOUT_S)
        ended_s = time.perf_counter()
        ok(committed)
        if tally.began_s <= ended_s <= tally.ends_s:
            tally.committed += 1
            tally.latencies_s.append(ended_s - began_s)
