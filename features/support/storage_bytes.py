"""Bytes of valid files and alterations of them."""

from functools import cache

from features.support.storage import FIRST_SEGMENT, FOLDER, StorageRig, snapshot_chunks
from hypothesis import strategies

from rainsail.storage.interface import HardState, SnapshotMeta

SNAPSHOT_INDEX = 4


@cache
def valid_files() -> dict[str, bytes]:
    """Return a segment of 9 entries and the snapshot of the fourth, by path."""
    rig = StorageRig()
    rig.open()
    rig.append(9)
    rig.storage.save_hard_state(HardState(2, "replica-2"))
    rig.sync()
    meta = SnapshotMeta(SNAPSHOT_INDEX, 1, b"members")
    assert rig.wait(rig.storage.save_snapshot(meta, iter(snapshot_chunks(4)))).is_ok()
    snapshot = f"{FOLDER}/{SNAPSHOT_INDEX:020d}.snapshot"
    return {path: rig.disk.read(path) for path in (FIRST_SEGMENT, snapshot)}


def altered(data: bytes) -> strategies.SearchStrategy[bytes]:
    """Return a strategy that truncates ``data``, changes a byte, or repeats or drops a piece."""
    place = strategies.integers(0, len(data) - 1)
    return strategies.builds(_alter, strategies.just(data), place, place, strategies.integers(0, 3))


def _alter(data: bytes, first: int, second: int, way: int) -> bytes:
    start, end = min(first, second), max(first, second)
    ways = (
        data[:end],
        data[:end] + bytes([data[end] ^ 0x10]) + data[end + 1 :],
        data[:end] + data[start:],
        data[:start] + data[end:],
    )
    return ways[way]
