"""Reads the stored snapshot chunk by chunk for followers that are behind the log."""

from collections.abc import Iterator
from dataclasses import dataclass

from rainsail.storage.interface import GroupStorage


@dataclass(slots=True)
class _Reading:
    """One follower's place in the snapshot, read one chunk ahead to know the last."""

    snapshot_index: int
    chunks: Iterator[bytes]
    offset: int
    current: bytes
    following: bytes | None


@dataclass(frozen=True, slots=True)
class ChunkRead:
    """One chunk; ``offset`` may be lower than asked for when there is no such chunk."""

    offset: int
    data: bytes
    last: bool


class SnapshotSource:
    """Keeps one open reading per follower, so that chunks in sequence cost one read each."""

    def __init__(self, storage: GroupStorage) -> None:
        self._storage = storage
        self._readings: dict[str, _Reading] = {}

    def chunk(self, identity: str, offset: int) -> ChunkRead | None:
        """Return a chunk of the current snapshot, None when there is no snapshot."""
        meta = self._storage.snapshot_meta
        if meta is None:
            return None
        reading = self._readings.get(identity)
        if reading is None or reading.snapshot_index != meta.last_index or offset < reading.offset:
            reading = self._open(meta.last_index)
            self._readings[identity] = reading
        while reading.offset < offset and reading.following is not None:
            self._advance(reading)
        return ChunkRead(reading.offset, reading.current, reading.following is None)

    def forget(self, identity: str) -> None:
        """Close a follower's reading."""
        self._readings.pop(identity, None)

    def _open(self, snapshot_index: int) -> _Reading:
        chunks = iter(self._storage.read_snapshot())
        first = next(chunks, b"")
        return _Reading(snapshot_index, chunks, 0, first, next(chunks, None))

    def _advance(self, reading: _Reading) -> None:
        assert reading.following is not None
        reading.offset += 1
        reading.current = reading.following
        reading.following = next(reading.chunks, None)
