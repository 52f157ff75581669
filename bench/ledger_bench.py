"""Measure the batch ledger: bytes per item, commands per second, snapshots, choice among jobs.

``python bench/ledger_bench.py [memory|speed|jobs|all] [SIZES]`` prints one JSON object a line.
Memory is what ``tracemalloc`` counts, so it is the state's own and not the interpreter's.
"""

import json
import sys
import time
import tracemalloc
from collections.abc import Callable
from functools import cache
from typing import Any

from rainsail.state.commands import (
    AddItems,
    Command,
    CommitResults,
    ItemBody,
    ItemResult,
    ItemsLeased,
    JobSpec,
    LeaseItems,
    OpenJob,
    SealJob,
)
from rainsail.state.machine import ReplicatedState
from rainsail.wire.codec import encode_body

SIZES = (10_000, 100_000, 500_000)
RANGE_ITEMS = 500
LEASE_ITEMS = 50
PROMPT_CHARACTERS = 200
RESULT_CHARACTERS = 200
JOBS = 14_000
TENANTS = 7_900
SERVICE = "reports"
DEADLINE_UNIX_S = 1_800_000_000.0
DIFFERENT_TEXTS = 1_000
VOCABULARY = (
    "reefer voyage alarm summary container position seal broker manifest linen pickup "
    "shortage contract clause hotel van dispatch dock scan delivery customs exporter"
)


class Ledger:
    """A state and the index of its next command."""

    def __init__(self) -> None:
        self.state = ReplicatedState()
        self.index = 0

    def apply(self, command: Command) -> Any:
        """Apply the next command."""
        self.index += 1
        return self.state.apply(self.index, command)

    def open(self, job_id: str, items: int, tenant: str = "north") -> None:
        """Open a job."""
        spec = JobSpec(job_id, tenant, SERVICE, items, "digest", DEADLINE_UNIX_S)
        self.apply(OpenJob(job_id, spec))

    def fill(self, commands: list[AddItems], job_id: str) -> None:
        """Add every range and accept the job."""
        for command in commands:
            self.apply(command)
        self.apply(SealJob(job_id))


@cache
def texts(characters: int) -> list[str]:
    """Return texts of common words, made once so that making them isn't measured."""
    words = VOCABULARY.split()
    return [
        f"{seed} {' '.join(words[(seed * 7 + place**2) % len(words)] for place in range(40))}"[
            :characters
        ]
        for seed in range(DIFFERENT_TEXTS)
    ]


def body(index: int) -> ItemBody:
    """Return an item's body."""
    prompt = texts(PROMPT_CHARACTERS)[index % DIFFERENT_TEXTS]
    return ItemBody(f"item-{index}", prompt, 128)


def ranges(job_id: str, items: int) -> list[AddItems]:
    """Return the commands that fill a job."""
    return [
        AddItems(
            job_id, first, tuple(body(n) for n in range(first, min(items, first + RANGE_ITEMS)))
        )
        for first in range(0, items, RANGE_ITEMS)
    ]


def finish_all(ledger: Ledger) -> int:
    """Lease and commit every item; return the number of commands."""
    commands = 0
    answers = texts(RESULT_CHARACTERS)
    while True:
        request = LeaseItems("holder", f"request-{commands}", SERVICE, LEASE_ITEMS, 10**9)
        leased = ledger.apply(request)
        assert isinstance(leased, ItemsLeased)
        if not leased.items:
            return commands
        results = tuple(
            ItemResult(item.ref, answers[item.ref.index % DIFFERENT_TEXTS], 50)
            for item in leased.items
        )
        ledger.apply(CommitResults("holder", results))
        commands += 2


def timed(action: Callable[[], Any]) -> tuple[float, Any]:
    """Return how long an action took in seconds, and its result."""
    begin_s = time.perf_counter()
    result = action()
    return time.perf_counter() - begin_s, result


def measure_memory(items: int) -> dict[str, float]:
    """Return bytes per pending and per completed item, with and without their own content."""
    content = sum(len(encode_body(body(n))) for n in range(0, items, items // 1000)) / 1000
    tracemalloc.start()
    ledger = Ledger()
    ledger.open("job", items)
    for first in range(0, items, RANGE_ITEMS):
        bodies = tuple(body(n) for n in range(first, min(items, first + RANGE_ITEMS)))
        ledger.apply(AddItems("job", first, bodies))
    del bodies
    ledger.apply(SealJob("job"))
    pending = tracemalloc.get_traced_memory()[0] / items
    finish_all(ledger)
    completed = tracemalloc.get_traced_memory()[0] / items
    tracemalloc.stop()
    return {
        "items": items,
        "encoded_body_bytes": round(content, 1),
        "bytes_per_pending_item": round(pending, 1),
        "overhead_per_pending_item": round(pending - content, 1),
        "result_characters": RESULT_CHARACTERS,
        "bytes_per_completed_item": round(completed, 1),
    }


def measure_speed(items: int) -> dict[str, float]:
    """Return rates of filling, of leasing and committing, and the cost of a snapshot."""
    ledger = Ledger()
    ledger.open("job", items)
    commands = ranges("job", items)
    fill_s, _ = timed(lambda: ledger.fill(commands, "job"))
    commands.clear()
    capture_s, captured = timed(ledger.state.snapshot)
    captured.close()
    snapshot_s, chunks = timed(lambda: list(ledger.state.snapshot()))
    finish_s, count = timed(lambda: finish_all(ledger))
    done_s, done_chunks = timed(lambda: list(ledger.state.snapshot()))
    restore_s, _ = timed(lambda: ReplicatedState().restore(done_chunks))
    return {
        "items": items,
        "added_items_per_s": round(items / fill_s),
        "seconds_per_add_command": round(fill_s / (items / RANGE_ITEMS), 5),
        "lease_and_commit_items_per_s": round(items / finish_s),
        "lease_and_commit_commands_per_s": round(count / finish_s),
        "snapshot_capture_s": round(capture_s, 4),
        "snapshot_pending_s": round(snapshot_s, 3),
        "snapshot_pending_bytes": sum(map(len, chunks)),
        "snapshot_completed_s": round(done_s, 3),
        "snapshot_completed_bytes": sum(map(len, done_chunks)),
        "restore_completed_s": round(restore_s, 3),
    }


def measure_jobs(jobs: int) -> dict[str, float]:
    """Return what one lease costs among many jobs and tenants, and memory per small job."""
    tracemalloc.start()
    ledger = Ledger()
    items = tuple(body(n) for n in range(10))
    before = tracemalloc.get_traced_memory()[0]
    for number in range(jobs):
        job_id = f"job-{number}"
        ledger.open(job_id, len(items), f"tenant-{number % TENANTS}")
        ledger.apply(AddItems(job_id, 0, items))
        ledger.apply(SealJob(job_id))
    per_job = (tracemalloc.get_traced_memory()[0] - before) / jobs
    tracemalloc.stop()
    leases = [LeaseItems("holder", f"r{n}", SERVICE, 1, 10**9) for n in range(2000)]
    lease_s, _ = timed(lambda: [ledger.apply(command) for command in leases])
    views_s, _ = timed(ledger.state.jobs)
    return {
        "jobs": jobs,
        "tenants": min(jobs, TENANTS),
        "bytes_per_job_of_10_items": round(per_job),
        "lease_of_one_item_us": round(lease_s / len(leases) * 1e6, 1),
        "all_job_views_ms": round(views_s * 1e3, 1),
    }


def main() -> None:
    """Run what the command line names."""
    what = sys.argv[1] if len(sys.argv) > 1 else "all"
    sizes = tuple(int(size) for size in sys.argv[2:]) or SIZES
    for size in sizes:
        if what in ("memory", "all"):
            print(json.dumps({"memory": measure_memory(size)}), flush=True)
        if what in ("speed", "all"):
            print(json.dumps({"speed": measure_speed(size)}), flush=True)
    if what in ("jobs", "all"):
        for jobs in (1_000, JOBS):
            print(json.dumps({"jobs": measure_jobs(jobs)}), flush=True)


if __name__ == "__main__":
    main()
