"""The durable log on a real disk.

Times of a bare sync and of one entry through the log, entries a second and processor time by
entries per batch.
"""

import os
import random
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from rainsail.benchmarks.report import BenchReport, Progress
from rainsail.benchmarks.results import ok
from rainsail.benchmarks.samples import MICROSECONDS, Latency, latency_of
from rainsail.storage.group_storage import DurableGroupStorage, open_group_storage
from rainsail.storage.interface import LogEntry
from rainsail.storage.local_files import LocalFileSystem
from rainsail.storage.settings import StorageSettings

BATCH_ENTRIES = (1, 8, 32, 128, 512)
SYNC_SAMPLES = 500
"""Not measured; chosen so that a p99 stands on five samples."""
GROUP = 0
PAYLOAD_BYTES = 300
"""Not measured; chosen as the size of a small command, such as one item of 200 characters."""


@dataclass(frozen=True, slots=True)
class Throughput:
    """What one batch size reached."""

    batch_entries: int
    entries_per_s: float
    syncs_per_s: float
    cpu_us_per_entry: float


def entries_after(index: int, count: int) -> tuple[LogEntry, ...]:
    """Return entries with payloads that don't compress and aren't shared."""
    draw = random.Random(index)
    return tuple(
        LogEntry(index + number, 1, draw.randbytes(PAYLOAD_BYTES)) for number in range(1, count + 1)
    )


def bare_sync_times(folder: Path) -> list[float]:
    """Return seconds of write + fsync of one payload, without threads or framing."""
    path = folder / "bare-sync"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    data = random.Random(1).randbytes(PAYLOAD_BYTES)
    times_s = []
    try:
        for _ in range(SYNC_SAMPLES):
            began_s = time.perf_counter()
            os.write(descriptor, data)
            os.fsync(descriptor)
            times_s.append(time.perf_counter() - began_s)
    finally:
        os.close(descriptor)
        path.unlink()
    return times_s


class StorageBench:
    """Measures logs, each in a folder of its own below ``folder``."""

    def __init__(self, reactor: Any, folder: Path) -> None:
        self._reactor = reactor
        self._folder = folder

    async def _opened(self, name: str) -> DurableGroupStorage:
        files = LocalFileSystem(self._folder / name, self._reactor)
        settings = StorageSettings.model_validate({})
        storage: DurableGroupStorage = ok(await open_group_storage(files, GROUP, settings))
        return storage

    async def lone_entry(self) -> Latency:
        """Time one entry from append to durable, one at a time."""
        storage = await self._opened("lone")
        samples_s = []
        for _ in range(SYNC_SAMPLES):
            entries = entries_after(storage.last_index, 1)
            began_s = time.perf_counter()
            storage.append(entries)
            ok(await storage.sync())
            samples_s.append(time.perf_counter() - began_s)
        storage.close()
        return latency_of(samples_s)

    async def throughput(self, batch: int, seconds: float) -> Throughput:
        """Append batches, each queued while the sync before it runs."""
        storage = await self._opened(f"batch-{batch}")
        payloads = [entry.payload for entry in entries_after(0, batch)]
        began_s, cpu_began_s = time.perf_counter(), time.process_time()
        batches = 0
        waiting: Deferred[Any] | None = None
        while time.perf_counter() - began_s < seconds:
            first = storage.last_index + 1
            entries = (LogEntry(first + n, 1, payload) for n, payload in enumerate(payloads))
            storage.append(tuple(entries))
            batches += 1
            following = storage.sync()
            if waiting is not None:
                ok(await waiting)
            waiting = following
        ok(await storage.sync())
        took_s, cpu_s = time.perf_counter() - began_s, time.process_time() - cpu_began_s
        storage.close()
        count = batches * batch
        cpu_us = round(cpu_s / count * MICROSECONDS, 2)
        return Throughput(batch, round(count / took_s), round(batches / took_s), cpu_us)


async def run_storage_bench(
    reactor: Any, folder: Path, progress: Progress, seconds: float = 3.0
) -> BenchReport:
    """Measure the disk under ``folder``, ``seconds`` per batch size."""
    bench = StorageBench(reactor, folder)
    syncs_s = bare_sync_times(folder)
    progress("one entry")
    lone_entry = await bench.lone_entry()
    loads = []
    for batch in BATCH_ENTRIES:
        progress(f"batches of {batch}")
        loads.append(await bench.throughput(batch, seconds))
    figures: dict[str, Any] = {
        "payload_bytes": PAYLOAD_BYTES,
        "bare_sync": asdict(latency_of(syncs_s)),
        "lone_entry": asdict(lone_entry),
        "throughput": [asdict(load) for load in loads],
    }
    return BenchReport("storage", figures)
