"""Interfaces of the file system and of a group's durable state.

All durable data goes through ``FileSystem``. ``rainsail.storage.local_files.LocalFileSystem`` is
the production implementation and syncs in a worker thread.
``rainsail.simulation.disk.SimulatedDisk`` loses unsynced bytes at a crash, tears the last record,
fails syncs or acknowledges them falsely, and fills up.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.errors import Fault
from rainsail.storage.snapshot_checksum import SnapshotPiece
from rainsail.wire.names import wire_type


class File(Protocol):
    """An open file. Bytes are durable only after a successful ``sync``."""

    def append(self, data: bytes) -> None:
        """Append to the file; raises ``OSError``, for instance when the disk is full."""
        ...

    def sync(self) -> "Deferred[Result[None, Fault]]":
        """Make all bytes appended so far durable; a fault is fatal for the replica."""
        ...

    def truncate(self, size: int) -> None:
        """Truncate the file to ``size`` bytes (durable with the next sync)."""
        ...

    def size(self) -> int:
        """Return the current size in bytes."""
        ...

    def close(self) -> None:
        """Close without syncing."""
        ...


class FileSystem(Protocol):
    """One data folder. Paths are relative to it, with forward slashes."""

    def open(self, path: str) -> File:
        """Open for appending, creating the file and its folders if missing."""
        ...

    def read(self, path: str) -> bytes:
        """Return the whole content; raises ``FileNotFoundError``."""
        ...

    def read_range(self, path: str, offset: int, size: int) -> bytes:
        """Return up to ``size`` bytes from ``offset`` on; raises ``FileNotFoundError``."""
        ...

    def exists(self, path: str) -> bool:
        """Return whether a file exists."""
        ...

    def list(self, folder: str) -> list[str]:
        """Return the sorted names in a folder; empty if it does not exist."""
        ...

    def rename(self, source: str, target: str) -> None:
        """Rename atomically (durable with the next ``sync_folder``)."""
        ...

    def remove(self, path: str) -> None:
        """Remove a file (durable with the next ``sync_folder``)."""
        ...

    def sync_folder(self, folder: str) -> "Deferred[Result[None, Fault]]":
        """Make creations, renames and removals in a folder durable."""
        ...


@wire_type("LogEntry")
@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of a group's log."""

    index: int
    term: int
    payload: bytes


@wire_type("HardState")
@dataclass(frozen=True, slots=True)
class HardState:
    """The Raft state that must survive restarts: current term and the vote in that term."""

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class SnapshotMeta:
    """The last log entry that a snapshot covers and the membership at that entry."""

    last_index: int
    last_term: int
    membership: bytes


class GroupStorage(Protocol):
    """The durable state of one group on one replica.

    Writes are queued by ``append``, ``truncate_from`` and ``save_hard_state`` in call order and
    become durable together with the next successful ``sync``.
    """

    hard_state: HardState
    snapshot_meta: SnapshotMeta | None

    @property
    def last_index(self) -> int:
        """The index of the last entry, including queued ones."""
        ...

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Queue entries that follow ``last_index``."""
        ...

    def truncate_from(self, index: int) -> None:
        """Queue the removal of all entries from ``index`` on."""
        ...

    def save_hard_state(self, state: HardState) -> None:
        """Queue a new hard state."""
        ...

    def sync(self) -> "Deferred[Result[None, Fault]]":
        """Make all queued writes durable with one sync."""
        ...

    def entries(self, first: int, last: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries ``first..last`` inclusive, at least one, up to ``max_bytes``."""
        ...

    def save_snapshot(
        self, meta: SnapshotMeta, chunks: Iterator[bytes]
    ) -> "Deferred[Result[None, Fault]]":
        """Write a snapshot durably, then drop the log up to ``meta.last_index``."""
        ...

    def read_snapshot(self) -> Iterator[SnapshotPiece]:
        """Yield the chunks of the current snapshot, then their checksum.

        Raises ``RainsailError`` if they can't be read. Without the checksum at the end, the
        chunks read are incomplete.
        """
        ...
