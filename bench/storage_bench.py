"""Measure the durable log on a real disk.

Prints one JSON object: the time of a bare fsync and of one entry through the log, entries a second
by entries per batch, memory per entry held in memory and per entry left on the disk, and the time
to open a log again. The machine's load is stated beside the figures.

    python bench/storage_bench.py [--folder FOLDER] [--seconds S]

FOLDER must lie on the disk to be measured; a temporary folder is made in it.
"""

import argparse
import dataclasses
import gc
import json
import os
import random
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import react

from rainsail.storage.group_storage import DurableGroupStorage, open_group_storage
from rainsail.storage.interface import LogEntry, SnapshotMeta
from rainsail.storage.local_files import LocalFileSystem
from rainsail.storage.settings import StorageSettings

PAYLOAD_BYTES = 300
BATCH_ENTRIES = (1, 8, 32, 128, 512)
SYNC_SAMPLES = 500
RESTART_ENTRIES = 50_000
RESTART_RUNS = 5
MEMORY_ENTRIES = 50_000
SNAPSHOT_BYTES = 16 * 1024 * 1024
CHUNK_BYTES = 128 * 1024
MILLISECONDS = 1000
GROUP = 0


@dataclass(frozen=True, slots=True)
class Latency:
    """Percentiles of one operation in milliseconds."""

    samples: int
    p50_ms: float
    p99_ms: float


@dataclass(frozen=True, slots=True)
class Throughput:
    """What one batch size reached."""

    batch_entries: int
    entries_per_s: float
    syncs_per_s: float
    cpu_us_per_entry: float


@dataclass(frozen=True, slots=True)
class Restart:
    """Seconds until a log is open again, median and worst of several runs."""

    entries: int
    snapshot_bytes: int
    median_s: float
    worst_s: float


def latency_of(samples_s: list[float]) -> Latency:
    """Return the percentiles of samples in seconds."""
    cuts = statistics.quantiles(samples_s, n=100)
    return Latency(
        len(samples_s),
        round(statistics.median(samples_s) * MILLISECONDS, 3),
        round(cuts[98] * MILLISECONDS, 3),
    )


def entries_after(index: int, count: int) -> tuple[LogEntry, ...]:
    """Return entries with payloads that don't compress and aren't shared."""
    return tuple(
        LogEntry(index + number, 1, random.randbytes(PAYLOAD_BYTES))
        for number in range(1, count + 1)
    )


async def opened(folder: Path, settings: StorageSettings) -> DurableGroupStorage:
    """Open the storage in a folder."""
    result = await open_group_storage(LocalFileSystem(folder, reactor), GROUP, settings)
    if result.is_error():
        raise SystemExit(str(result.error))
    return result.ok


async def synced(storage: DurableGroupStorage) -> None:
    """Sync, or end the bench."""
    result = await storage.sync()
    if result.is_error():
        raise SystemExit(str(result.error))


async def bare_sync(folder: Path) -> Latency:
    """Time write + fsync of one entry's bytes, without threads or framing."""
    samples = []
    descriptor = os.open(folder / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    data = random.randbytes(PAYLOAD_BYTES)
    for _ in range(SYNC_SAMPLES):
        began = time.perf_counter()
        os.write(descriptor, data)
        os.fsync(descriptor)
        samples.append(time.perf_counter() - began)
    os.close(descriptor)
    return latency_of(samples)


async def lone_entry(folder: Path) -> Latency:
    """Time one entry from append to durable, one at a time."""
    storage = await opened(folder, StorageSettings())
    samples = []
    for _ in range(SYNC_SAMPLES):
        entries = entries_after(storage.last_index, 1)
        began = time.perf_counter()
        storage.append(entries)
        await synced(storage)
        samples.append(time.perf_counter() - began)
    storage.close()
    return latency_of(samples)


async def throughput(folder: Path, batch: int, seconds: float) -> Throughput:
    """Append batches, each queued while the sync before it runs."""
    storage = await opened(folder, StorageSettings())
    payloads = entries_after(0, batch)
    began, cpu_began = time.perf_counter(), time.process_time()
    batches = 0
    waiting: Deferred[Any] | None = None
    while time.perf_counter() - began < seconds:
        first = storage.last_index + 1
        storage.append(
            tuple(LogEntry(first + n, 1, entry.payload) for n, entry in enumerate(payloads))
        )
        batches += 1
        following = storage.sync()
        if waiting is not None:
            await waiting
        waiting = following
    await synced(storage)
    wall, cpu = time.perf_counter() - began, time.process_time() - cpu_began
    storage.close()
    count = batches * batch
    return Throughput(
        batch, round(count / wall), round(batches / wall), round(cpu / count * 1e6, 2)
    )


async def filled(folder: Path, settings: StorageSettings, count: int) -> DurableGroupStorage:
    """Return a storage with entries in it."""
    storage = await opened(folder, settings)
    while storage.last_index < count:
        storage.append(entries_after(storage.last_index, 1000))
        await synced(storage)
    return storage


async def memory_per_entry(folder: Path, cache_bytes: int) -> float:
    """Return bytes of Python memory per entry, payload included."""
    storage = await opened(folder, StorageSettings(cache_bytes=cache_bytes))
    gc.collect()
    tracemalloc.start()
    while storage.last_index < MEMORY_ENTRIES:
        storage.append(entries_after(storage.last_index, 1000))
        await synced(storage)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    storage.close()
    return round(used / MEMORY_ENTRIES, 1)


async def restart(folder: Path, snapshot_bytes: int) -> Restart:
    """Time opening a log of many entries, behind a snapshot when it has bytes."""
    storage = await filled(folder, StorageSettings(), RESTART_ENTRIES)
    if snapshot_bytes:
        chunks = [random.randbytes(CHUNK_BYTES) for _ in range(snapshot_bytes // CHUNK_BYTES)]
        meta = SnapshotMeta(1, 1, b"")
        await storage.save_snapshot(meta, iter(chunks))
    storage.close()
    samples = []
    for _ in range(RESTART_RUNS):
        began = time.perf_counter()
        storage = await opened(folder, StorageSettings())
        for _ in storage.read_snapshot():
            pass
        samples.append(time.perf_counter() - began)
        assert storage.last_index == RESTART_ENTRIES
        storage.close()
    return Restart(
        RESTART_ENTRIES,
        snapshot_bytes,
        round(statistics.median(samples), 3),
        round(max(samples), 3),
    )


async def measure(folder: Path, seconds: float) -> dict[str, Any]:
    """Run every measurement, each in a folder of its own."""

    async def apart(name: str, run: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
        own = folder / name
        own.mkdir()
        return await run(own, *arguments)

    report: dict[str, Any] = {
        "bench": "storage",
        "payload_bytes": PAYLOAD_BYTES,
        "load_average_before": os.getloadavg()[0],
        "bare_sync": dataclasses.asdict(await apart("bare", bare_sync)),
        "lone_entry": dataclasses.asdict(await apart("lone", lone_entry)),
    }
    report["throughput"] = [
        dataclasses.asdict(await apart(f"batch-{batch}", throughput, batch, seconds))
        for batch in BATCH_ENTRIES
    ]
    report["bytes_per_cached_entry"] = await apart("cached", memory_per_entry, 1 << 40)
    report["bytes_per_entry_on_disk_only"] = await apart("uncached", memory_per_entry, 0)
    report["restart"] = [
        dataclasses.asdict(await apart("restart-log", restart, 0)),
        dataclasses.asdict(await apart("restart-snapshot", restart, SNAPSHOT_BYTES)),
    ]
    report["load_average_after"] = os.getloadavg()[0]
    return report


async def run(arguments: argparse.Namespace) -> None:
    """Measure in a temporary folder and print the report."""
    with tempfile.TemporaryDirectory(prefix="storage-bench-", dir=arguments.folder) as folder:
        report = await measure(Path(folder), arguments.seconds)
    print(json.dumps(report, indent=2))


def main() -> None:
    """Read the command line and run under the reactor."""
    parser = argparse.ArgumentParser(description="Measure the durable log on a real disk.")
    parser.add_argument("--folder", default=".", help="a folder on the disk to measure")
    parser.add_argument("--seconds", type=float, default=3.0, help="duration per batch size")
    arguments = parser.parse_args()
    react(lambda _: Deferred.fromCoroutine(run(arguments)))


if __name__ == "__main__":
    main()
