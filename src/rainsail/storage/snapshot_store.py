"""Snapshot files of one group.

A snapshot is written under a temporary name, synced and renamed; then the folder is synced. Its
file contains a header record, one record per chunk and an end record with the counts. A temporary
file that a crash left behind is ignored and removed at the next opening.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from rainsail.errors import Fault, RainsailError
from rainsail.storage.faults import storage_fault
from rainsail.storage.interface import File, FileSystem, SnapshotMeta
from rainsail.storage.log_records import FORMAT_VERSION, SnapshotEnd, SnapshotHeader
from rainsail.storage.record_file import RecordFileReader
from rainsail.storage.records import Record, RecordKind, encode_record
from rainsail.storage.snapshot_checksum import SnapshotChecksum, SnapshotPiece
from rainsail.wire.codec import CodecError, decode_body, encode_body

SNAPSHOT_SUFFIX = ".snapshot"
TEMPORARY_SUFFIX = ".part"
_INDEX_DIGITS = 20


@dataclass(frozen=True, slots=True)
class TemporarySnapshot:
    """A snapshot that is written under a temporary name but not synced yet."""

    meta: SnapshotMeta
    path: str
    file: File


def snapshot_name(last_index: int) -> str:
    """Return the file name of a snapshot."""
    return f"{last_index:0{_INDEX_DIGITS}d}{SNAPSHOT_SUFFIX}"


def list_snapshots(files: FileSystem, folder: str) -> list[int]:
    """Return the last indexes of the snapshots in a folder, ascending."""
    names = [name for name in files.list(folder) if name.endswith(SNAPSHOT_SUFFIX)]
    stems = [name.removesuffix(SNAPSHOT_SUFFIX) for name in names]
    return sorted(int(stem) for stem in stems if stem.isascii() and stem.isdigit())


class SnapshotReader:
    """Sequential reader of a snapshot file; raises ``RainsailError`` at the first damage."""

    def __init__(self, files: FileSystem, path: str, group: int) -> None:
        self._records = RecordFileReader(files, path, group, "snapshot")

    def header(self) -> SnapshotMeta:
        """Return the metadata in the header."""
        record = self._records.read()
        header: SnapshotHeader = self._decode(record, RecordKind.SNAPSHOT_HEADER, SnapshotHeader)
        if header.format_version > FORMAT_VERSION:
            reason = f"format {header.format_version} is newer than {FORMAT_VERSION}"
            raise self._records.error(reason, record.offset)
        return SnapshotMeta(header.last_index, header.last_term, header.membership)

    def pieces(self) -> Iterator[SnapshotPiece]:
        """Yield the chunks, check them against the end record, then yield their checksum.

        Call ``header`` first.
        """
        read = SnapshotChecksum()
        record = self._records.read()
        while record.kind == RecordKind.SNAPSHOT_CHUNK:
            read = read.with_chunk(record.body)
            yield record.body
            record = self._records.read()
        end: SnapshotEnd = self._decode(record, RecordKind.SNAPSHOT_END, SnapshotEnd)
        if (end.chunks, end.size_bytes) != (read.chunks, read.size_bytes):
            expected = f"expected {end.chunks} chunks of {end.size_bytes} bytes"
            reason = f"{expected}, found {read.chunks} of {read.size_bytes}"
            raise self._records.error(reason, record.offset)
        if not self._records.at_end():
            raise self._records.error("bytes follow the end of the snapshot", record.offset)
        yield read

    def _decode(self, record: Record, kind: RecordKind, body_type: type) -> Any:
        if record.kind != kind:
            reason = f"expected {kind.name}, found {record.kind.name}"
            raise self._records.error(reason, record.offset)
        try:
            return decode_body(body_type, record.body)
        except CodecError as error:
            raise self._records.error(str(error), record.offset) from error


class SnapshotStore:
    """The snapshots in one group's folder; only the newest one is retained."""

    def __init__(self, files: FileSystem, folder: str, group: int) -> None:
        self._files = files
        self._folder = folder
        self._group = group
        self._written = 0

    def path(self, last_index: int) -> str:
        """Return the path of a snapshot."""
        return f"{self._folder}/{snapshot_name(last_index)}"

    def find_newest(self) -> Result[SnapshotMeta | None, Fault]:
        """Verify the newest snapshot and return its metadata; damage is a fault."""
        found = list_snapshots(self._files, self._folder)
        if not found:
            return Ok(None)
        try:
            meta = verify_snapshot(self._files, self.path(found[-1]), self._group)
        except RainsailError as error:
            return Error(error.fault)
        if meta.last_index != found[-1]:
            reason = f"contains the snapshot of entry {meta.last_index}"
            return Error(storage_fault("snapshot", self.path(found[-1]), reason, 0))
        return Ok(meta)

    def read(self, meta: SnapshotMeta) -> Iterator[SnapshotPiece]:
        """Yield a snapshot's pieces; raises ``RainsailError`` if it is missing or damaged."""
        reader = SnapshotReader(self._files, self.path(meta.last_index), self._group)
        reader.header()
        yield from reader.pieces()

    def write_temporary(
        self, meta: SnapshotMeta, chunks: Iterable[bytes]
    ) -> Result[TemporarySnapshot, Fault]:
        """Write a snapshot under a temporary name, without syncing it.

        Consumes all chunks before it returns, because the state they come from must not change
        in between. A full disk is a fault that leaves the rest of the storage unchanged.
        """
        self._written += 1
        path = f"{self.path(meta.last_index)}.{self._written}{TEMPORARY_SUFFIX}"
        try:
            file = self._files.open(path)
        except OSError as error:
            return Error(storage_fault("snapshot", path, str(error)))
        try:
            self._write(file, meta, chunks)
        except OSError as error:
            fault = storage_fault("snapshot", path, str(error), file.size())
            self._discard(file, path)
            return Error(fault)
        return Ok(TemporarySnapshot(meta, path, file))

    def _write(self, file: File, meta: SnapshotMeta, chunks: Iterable[bytes]) -> None:
        file.truncate(0)
        header = SnapshotHeader(FORMAT_VERSION, meta.last_index, meta.last_term, meta.membership)
        self._append(file, RecordKind.SNAPSHOT_HEADER, encode_body(header))
        count = 0
        size = 0
        for chunk in chunks:
            self._append(file, RecordKind.SNAPSHOT_CHUNK, chunk)
            count += 1
            size += len(chunk)
        self._append(file, RecordKind.SNAPSHOT_END, encode_body(SnapshotEnd(count, size)))

    def _append(self, file: File, kind: RecordKind, body: bytes) -> None:
        file.append(encode_record(self._group, kind, body))

    def _discard(self, file: File, path: str) -> None:
        file.close()
        self._files.remove(path)

    async def publish(self, temporary: TemporarySnapshot) -> Result[None, Fault]:
        """Sync, rename and sync the folder; after a fault the content of the disk is unknown."""
        synced = await temporary.file.sync()
        temporary.file.close()
        if synced.is_error():
            return Error(synced.error)
        target = self.path(temporary.meta.last_index)
        try:
            self._files.rename(temporary.path, target)
        except OSError as error:
            return Error(storage_fault("snapshot", target, str(error)))
        return await self._files.sync_folder(self._folder)

    def discard(self, temporary: TemporarySnapshot) -> None:
        """Remove a temporary snapshot; raises ``OSError``."""
        self._discard(temporary.file, temporary.path)

    def remove_older(self, last_index: int) -> None:
        """Remove the snapshots before ``last_index``; raises ``OSError``."""
        for older in list_snapshots(self._files, self._folder):
            if older < last_index:
                self._files.remove(self.path(older))

    def remove_temporary(self) -> None:
        """Remove files of interrupted snapshots; raises ``OSError``. Only at opening."""
        for name in self._files.list(self._folder):
            if name.endswith(TEMPORARY_SUFFIX):
                self._files.remove(f"{self._folder}/{name}")


def verify_snapshot(files: FileSystem, path: str, group: int) -> SnapshotMeta:
    """Check a whole snapshot and return its metadata; raises ``RainsailError`` if damaged."""
    reader = SnapshotReader(files, path, group)
    meta = reader.header()
    for _ in reader.pieces():
        pass
    return meta
