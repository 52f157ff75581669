"""Snapshots of one group: written to a temporary name, synced, renamed, folder synced.

A snapshot file holds a header record, one record per chunk and an end record with the counts. A
temporary file left by a crash is ignored and removed at the next opening.
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
    """A snapshot written under a temporary name and not yet synced."""

    meta: SnapshotMeta
    path: str
    file: File


def snapshot_name(last_index: int) -> str:
    """Return the file name of a snapshot."""
    return f"{last_index:0{_INDEX_DIGITS}d}{SNAPSHOT_SUFFIX}"


def list_snapshots(files: FileSystem, folder: str) -> list[int]:
    """Return the last indexes of the snapshots in a folder, rising."""
    names = [name for name in files.list(folder) if name.endswith(SNAPSHOT_SUFFIX)]
    stems = [name.removesuffix(SNAPSHOT_SUFFIX) for name in names]
    return sorted(int(stem) for stem in stems if stem.isascii() and stem.isdigit())


class SnapshotReader:
    """Reads one snapshot file in order; raises ``RainsailError`` at the first damage."""

    def __init__(self, files: FileSystem, path: str, group: int) -> None:
        self._records = RecordFileReader(files, path, group, "snapshot")

    def header(self) -> SnapshotMeta:
        """Return what the header says."""
        record = self._records.read()
        header: SnapshotHeader = self._decode(record, RecordKind.SNAPSHOT_HEADER, SnapshotHeader)
        if header.format_version > FORMAT_VERSION:
            reason = f"format {header.format_version} is newer than {FORMAT_VERSION}"
            raise self._records.error(reason, record.offset)
        return SnapshotMeta(header.last_index, header.last_term, header.membership)

    def pieces(self) -> Iterator[SnapshotPiece]:
        """Yield the chunks, check them against the end record, then yield their sum.

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
            expected = f"{end.chunks} chunks of {end.size_bytes} bytes expected"
            reason = f"{expected}, {read.chunks} of {read.size_bytes} found"
            raise self._records.error(reason, record.offset)
        if not self._records.at_end():
            raise self._records.error("bytes follow the end of the snapshot", record.offset)
        yield read

    def _decode(self, record: Record, kind: RecordKind, body_type: type) -> Any:
        if record.kind != kind:
            reason = f"{kind.name} expected, found {record.kind.name}"
            raise self._records.error(reason, record.offset)
        try:
            return decode_body(body_type, record.body)
        except CodecError as error:
            raise self._records.error(str(error), record.offset) from error


class SnapshotStore:
    """The snapshots in one group's folder; only the newest is kept."""

    def __init__(self, files: FileSystem, folder: str, group: int) -> None:
        self._files = files
        self._folder = folder
        self._group = group
        self._written = 0

    def path(self, last_index: int) -> str:
        """Return the path of a snapshot."""
        return f"{self._folder}/{snapshot_name(last_index)}"

    def find_newest(self) -> Result[SnapshotMeta | None, Fault]:
        """Read the newest snapshot through; damage in it is a fault."""
        found = list_snapshots(self._files, self._folder)
        if not found:
            return Ok(None)
        try:
            meta = verify_snapshot(self._files, self.path(found[-1]), self._group)
        except RainsailError as error:
            return Error(error.fault)
        if meta.last_index != found[-1]:
            reason = f"holds the snapshot of entry {meta.last_index}"
            return Error(storage_fault("snapshot", self.path(found[-1]), reason, 0))
        return Ok(meta)

    def read(self, meta: SnapshotMeta) -> Iterator[SnapshotPiece]:
        """Yield a snapshot's pieces; raises ``RainsailError`` when it is gone or damaged."""
        reader = SnapshotReader(self._files, self.path(meta.last_index), self._group)
        reader.header()
        yield from reader.pieces()

    def write_temporary(
        self, meta: SnapshotMeta, chunks: Iterable[bytes]
    ) -> Result[TemporarySnapshot, Fault]:
        """Write a snapshot under a temporary name without waiting for the disk.

        The chunks are taken at once, because the state they come from must not change meanwhile.
        A full disk is a fault that leaves the rest of the storage as it was.
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
        """Sync, rename and sync the folder; a fault leaves the disk in doubt."""
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
        """Throw a temporary snapshot away; raises ``OSError``."""
        self._discard(temporary.file, temporary.path)

    def remove_older(self, last_index: int) -> None:
        """Remove snapshots older than one; raises ``OSError``."""
        for older in list_snapshots(self._files, self._folder):
            if older < last_index:
                self._files.remove(self.path(older))

    def remove_temporary(self) -> None:
        """Remove what interrupted snapshots left; raises ``OSError``. Only while opening."""
        for name in self._files.list(self._folder):
            if name.endswith(TEMPORARY_SUFFIX):
                self._files.remove(f"{self._folder}/{name}")


def verify_snapshot(files: FileSystem, path: str, group: int) -> SnapshotMeta:
    """Read a snapshot through and return its header; raises ``RainsailError`` at damage."""
    reader = SnapshotReader(files, path, group)
    meta = reader.header()
    for _ in reader.pieces():
        pass
    return meta
