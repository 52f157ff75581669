"""The durable log on a real disk.

Times of a bare sync and of one entry through the log, entries a second by entries per batch,
memory per entry held in memory and per entry left on the disk, and the time to open a log again.
"""

import gc
import os
import random
import statistics
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from rainsail.benchmarks.report import BenchReport, Progress
from rainsail.benchmarks.results import ok
from rainsail.benchmarks.samples import MICROSECONDS, Latency, latency_of
from rainsail.storage.group_storage import DurableGroupStorage, open_group_storage
from rainsail.storage.interface import LogEntry, SnapshotMeta
from rainsail.storage.local_files import LocalFileSystem
from rainsail.storage.settings import StorageSettings

BATCH_ENTRIES = (1, 8, 32, 128, 512)
SYNC_SAMPLES = 500
RESTART_ENTRIES = 50_000
RESTART_RUNS = 5
MEMORY_ENTRIES = 50_000
FILL_ENTRIES = 1_000
SNAPSHOT_BYTES = 16 * 1024 * 1024
CHUNK_BYTES = 128 * 1024
UNBOUNDED_BYTES = 1 << 40
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


@dataclass(frozen=True, slots=True)
class LogOpening:
    """Seconds until a log is open again, median and worst of several runs."""

    entries: int
    snapshot_bytes: int
    median_s: float
    worst_s: float


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

    async def _opened(
        self, name: str, settings: StorageSettings | None = None
    ) -> DurableGroupStorage:
        files = LocalFileSystem(self._folder / name, self._reactor)
        chosen = settings or StorageSettings.model_validate({})
        storage: DurableGroupStorage = ok(await open_group_storage(files, GROUP, chosen))
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

    async def memory_per_entry(self, name: str, cache_bytes: int) -> float:
        """Return bytes of Python memory per entry, payload included."""
        storage = await self._opened(name, StorageSettings(cache_bytes=cache_bytes))
        gc.collect()
        tracemalloc.start()
        await self._fill(storage, MEMORY_ENTRIES)
        gc.collect()
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        storage.close()
        return round(used / MEMORY_ENTRIES, 1)

    async def _fill(self, storage: DurableGroupStorage, count: int) -> None:
        while storage.last_index < count:
            storage.append(entries_after(storage.last_index, FILL_ENTRIES))
            ok(await storage.sync())

    async def opening(self, name: str, snapshot_bytes: int) -> LogOpening:
        """Time opening a log of many entries, behind a snapshot when it has bytes."""
        storage = await self._opened(name)
        await self._fill(storage, RESTART_ENTRIES)
        if snapshot_bytes:
            draw = random.Random(1)
            chunks = [draw.randbytes(CHUNK_BYTES) for _ in range(snapshot_bytes // CHUNK_BYTES)]
            ok(await storage.save_snapshot(SnapshotMeta(1, 1, b""), iter(chunks)))
        storage.close()
        samples_s = [await self._open_once(name) for _ in range(RESTART_RUNS)]
        median_s, worst_s = statistics.median(samples_s), max(samples_s)
        return LogOpening(RESTART_ENTRIES, snapshot_bytes, round(median_s, 3), round(worst_s, 3))

    async def _open_once(self, name: str) -> float:
        began_s = time.perf_counter()
        storage = await self._opened(name)
        for _ in storage.read_snapshot():
            pass
        took_s = time.perf_counter() - began_s
        assert storage.last_index == RESTART_ENTRIES
        storage.close()
        return took_s


def run_storage_bench(
    reactor: Any, folder: Path, progress: Progress, seconds: float = 3.0
) -> "Deferred[BenchReport]":
    """Measure the disk under ``folder``, ``seconds`` per batch size."""
    return Deferred.fromCoroutine(_run(reactor, folder, progress, seconds))


async def _run(reactor: Any, folder: Path, progress: Progress, seconds: float) -> BenchReport:
    bench = StorageBench(reactor, folder)

    async def step(name: str, run: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
        progress(name)
        return await run(*arguments)

    figures: dict[str, Any] = {"payload_bytes": PAYLOAD_BYTES}
    figures["bare_sync"] = asdict(latency_of(bare_sync_times(folder)))
    figures["lone_entry"] = asdict(await step("one entry", bench.lone_entry))
    loads = [
        await step(f"batches of {batch}", bench.throughput, batch, seconds)
        for batch in BATCH_ENTRIES
    ]
    figures["throughput"] = [asdict(load) for load in loads]
    memory = bench.memory_per_entry
    figures["bytes_per_cached_entry"] = await step("cached", memory, "cached", UNBOUNDED_BYTES)
    figures["bytes_per_entry_on_disk_only"] = await step("uncached", memory, "uncached", 0)
    openings = [
        await step("open a log", bench.opening, "log", 0),
        await step("open a log and snapshot", bench.opening, "snapshot", SNAPSHOT_BYTES),
    ]
    figures["opening"] = [asdict(each) for each in openings]
    return BenchReport("storage", figures)
