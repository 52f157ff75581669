"""The batch ledger alone: bytes per item, commands a second, snapshots, choice among jobs.

Memory is what ``tracemalloc`` counts, so it is the state's own and not the interpreter's.
"""

import time
import tracemalloc
from collections.abc import Callable, Generator
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from rainsail.benchmarks.ledger_commands import (
    RESULT_CHARACTERS,
    SERVICE,
    add_range,
    add_ranges,
    answer,
    item_body,
    open_job,
)
from rainsail.benchmarks.report import BenchReport, Progress
from rainsail.benchmarks.samples import MICROSECONDS, MILLISECONDS, slope
from rainsail.state.commands import (
    AddItems,
    Command,
    CommitResults,
    ItemResult,
    ItemsLeased,
    LeaseItems,
    SealJob,
)
from rainsail.state.machine import ReplicatedState
from rainsail.wire.codec import encode_body

SIZES = (10_000, 100_000, 500_000)
RANGE_ITEMS = 500
"""Items that one command adds."""
LEASE_ITEMS = 50
"""Items that one lease takes at most, and tokens that each result counts."""
JOBS = (1_000, 14_000)
TENANTS = 7_900
"""The larger number of jobs and the tenants are of the size that CONTRIBUTING.md states."""
ITEMS_PER_SMALL_JOB = 10
LEASES = 2_000
"""Leases that the mean cost of one is taken over."""
SAMPLED_BODIES = 1_000
"""Items whose encoded bodies give the mean size."""
UNLIMITED_TOKENS = 10**9


class LocalLedger:
    """A state and the index of its next command, without replication."""

    def __init__(self) -> None:
        self.state = ReplicatedState()
        self.index = 0

    def apply(self, command: Command) -> Any:
        """Apply the next command."""
        self.index += 1
        return self.state.apply(self.index, command)

    def fill(self, commands: list[AddItems], job_id: str) -> None:
        """Add every range and accept the job."""
        for command in commands:
            self.apply(command)
        self.apply(SealJob(job_id))

    def finish_all(self) -> int:
        """Lease and commit every item; return the number of commands."""
        commands = 0
        while True:
            request = f"request-{commands}"
            lease = LeaseItems("holder", request, SERVICE, LEASE_ITEMS, UNLIMITED_TOKENS)
            leased = self.apply(lease)
            assert isinstance(leased, ItemsLeased)
            if not leased.items:
                return commands
            results = tuple(
                ItemResult(item.ref, answer(item.ref.index), LEASE_ITEMS) for item in leased.items
            )
            self.apply(CommitResults("holder", results))
            commands += 2


def timed(action: Callable[[], Any]) -> tuple[float, Any]:
    """Return how long an action took in seconds, and its result."""
    begin_s = time.perf_counter()
    result = action()
    return time.perf_counter() - begin_s, result


def measure_memory(items: int) -> dict[str, float]:
    """Return bytes per pending and per completed item, with and without their own content."""
    sampled = range(0, items, max(1, items // SAMPLED_BODIES))
    content = sum(len(encode_body(item_body(index))) for index in sampled) / len(sampled)
    tracemalloc.start()
    ledger = LocalLedger()
    ledger.apply(open_job("job", items))
    for first in range(0, items, RANGE_ITEMS):
        ledger.apply(add_range("job", first, min(items, first + RANGE_ITEMS)))
    ledger.apply(SealJob("job"))
    pending_bytes = tracemalloc.get_traced_memory()[0]
    ledger.finish_all()
    completed_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "items": items,
        "pending_bytes": pending_bytes,
        "completed_bytes": completed_bytes,
        "encoded_body_bytes": round(content, 1),
        "result_characters": RESULT_CHARACTERS,
        "bytes_per_pending_item": round(pending_bytes / items, 1),
        "overhead_per_pending_item": round(pending_bytes / items - content, 1),
        "bytes_per_completed_item": round(completed_bytes / items, 1),
    }


def measure_speed(items: int) -> dict[str, float]:
    """Return rates of filling, of leasing and committing, and the cost of a snapshot."""
    ledger = LocalLedger()
    ledger.apply(open_job("job", items))
    commands = add_ranges("job", items, RANGE_ITEMS)
    fill_s, _ = timed(lambda: ledger.fill(commands, "job"))
    commands.clear()
    capture_s, captured = timed(ledger.state.snapshot)
    captured.close()
    pending_s, chunks = timed(lambda: list(ledger.state.snapshot()))
    finish_s, count = timed(ledger.finish_all)
    completed_s, done_chunks = timed(lambda: list(ledger.state.snapshot()))
    restore_s, _ = timed(lambda: ReplicatedState().restore(done_chunks))
    return {
        "items": items,
        "added_items_per_s": round(items / fill_s),
        "seconds_per_add_command": round(fill_s / (items / RANGE_ITEMS), 5),
        "lease_and_commit_items_per_s": round(items / finish_s),
        "lease_and_commit_commands_per_s": round(count / finish_s),
        "snapshot_capture_s": round(capture_s, 4),
        "snapshot_pending_s": round(pending_s, 3),
        "snapshot_pending_bytes": sum(map(len, chunks)),
        "snapshot_completed_s": round(completed_s, 3),
        "snapshot_completed_bytes": sum(map(len, done_chunks)),
        "restore_completed_s": round(restore_s, 3),
    }


def measure_jobs(jobs: int) -> dict[str, float]:
    """Return what one lease costs among many jobs and tenants, and memory per small job."""
    tracemalloc.start()
    ledger = LocalLedger()
    items = tuple(item_body(index) for index in range(ITEMS_PER_SMALL_JOB))
    before = tracemalloc.get_traced_memory()[0]
    for number in range(jobs):
        job_id = f"job-{number}"
        ledger.apply(open_job(job_id, len(items), f"tenant-{number % TENANTS}"))
        ledger.apply(AddItems(job_id, 0, items))
        ledger.apply(SealJob(job_id))
    per_job = (tracemalloc.get_traced_memory()[0] - before) / jobs
    tracemalloc.stop()
    leases = [
        LeaseItems("holder", f"request-{number}", SERVICE, 1, UNLIMITED_TOKENS)
        for number in range(LEASES)
    ]
    lease_s, _ = timed(lambda: [ledger.apply(command) for command in leases])
    views_s, _ = timed(ledger.state.jobs)
    return {
        "jobs": jobs,
        "tenants": min(jobs, TENANTS),
        "bytes_per_small_job": round(per_job),
        "lease_of_one_item_us": round(lease_s / len(leases) * MICROSECONDS, 1),
        "all_job_views_ms": round(views_s * MILLISECONDS, 1),
    }


@inlineCallbacks
def run_ledger_bench(
    reactor: Any,
    folder: Path,
    progress: Progress,
    sizes: tuple[int, ...] = SIZES,
    jobs: tuple[int, ...] = JOBS,
) -> Generator[Deferred[Any], Any, BenchReport]:
    """Measure every size; the slopes are bytes per further item."""
    memory, speed, many_jobs = [], [], []
    for size in sizes:
        progress(f"{size} items: memory")
        memory.append(measure_memory(size))
        progress(f"{size} items: speed")
        speed.append(measure_speed(size))
        yield deferLater(reactor, 0, lambda: None)
    for count in jobs:
        progress(f"{count} jobs")
        many_jobs.append(measure_jobs(count))
    figures = {
        "pending_item_slope_bytes": _slope(memory, "pending_bytes"),
        "completed_item_slope_bytes": _slope(memory, "completed_bytes"),
        "memory": memory,
        "speed": speed,
        "jobs": many_jobs,
    }
    return BenchReport("ledger", figures)


def _slope(rows: list[dict[str, float]], field: str) -> float:
    return round(slope([(row["items"], row[field]) for row in rows]), 1)
