"""The segment files of one group's log: open, write in batches, remove old ones."""

from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from rainsail.errors import Fault
from rainsail.storage.faults import storage_fault
from rainsail.storage.interface import File, FileSystem
from rainsail.storage.log_records import FORMAT_VERSION, LogPosition, SegmentHeader
from rainsail.storage.records import RecordKind, encode_record, record_bytes
from rainsail.storage.segment_scan import ScannedSegment, list_segments, segment_path
from rainsail.wire.codec import encode_body


@dataclass(frozen=True, slots=True)
class PendingRecord:
    """A record queued for the next batch.

    ``index`` is that of the entry, or of the first entry that a truncation removes; 0 for others.
    """

    kind: RecordKind
    body: bytes
    index: int = 0


@dataclass(slots=True)
class Segment:
    """One segment file; ``highest_index`` is the highest entry index ever written to it."""

    sequence: int
    path: str
    highest_index: int


class SegmentLog:
    """Writes batches to the newest segment and starts a new one when it is full."""

    def __init__(self, files: FileSystem, folder: str, group: int, segment_bytes: int) -> None:
        self._files = files
        self._folder = folder
        self._group = group
        self._segment_bytes = segment_bytes
        self._segments: list[Segment] = []
        self._file: File | None = None
        self._durable_bytes = 0
        self._written_bytes = 0

    async def adopt(
        self, scanned: list[ScannedSegment], highest_indexes: list[int]
    ) -> Result[None, Fault]:
        """Take over the segments found at opening; truncates the torn tail of the last one.

        Syncs the last segment and the folder: if only the process died, its last writes may have
        reached the page cache but not the disk.
        """
        for each, highest in zip(scanned, highest_indexes, strict=True):
            self._segments.append(Segment(each.sequence, each.path, highest))
        if not scanned:
            return await self._files.sync_folder(self._folder)
        last = scanned[-1]
        try:
            self._file = self._files.open(last.path)
            if last.torn_bytes:
                self._file.truncate(last.end)
        except OSError as error:
            return Error(storage_fault("open", last.path, str(error)))
        self._durable_bytes = self._written_bytes = last.end
        synced = await self._file.sync()
        if synced.is_error():
            return synced
        return await self._files.sync_folder(self._folder)

    @property
    def newest_sequence(self) -> int:
        """The sequence number of the segment that is written to (0 if there is none)."""
        return self._segments[-1].sequence if self._segments else 0

    async def write(
        self,
        batch: list[PendingRecord],
        position: LogPosition,
        set_location: Callable[[PendingRecord, int, int], None],
    ) -> Result[None, Fault]:
        """Write and sync a batch; ``position`` is the position of the log before the batch.

        ``set_location(record, sequence, offset)`` is called for each record before the sync.
        """
        if self._file is None or self._written_bytes >= self._segment_bytes:
            begun = await self._begin_segment(position)
            if begun.is_error():
                return begun
        try:
            self._append_batch(batch, set_location)
        except OSError as error:
            return Error(self._write_fault(error))
        return await self._make_durable()

    def _write_fault(self, error: OSError) -> Fault:
        path = segment_path(self._folder, self.newest_sequence)
        return storage_fault("append", path, str(error), self._written_bytes)

    async def _begin_segment(self, position: LogPosition) -> Result[None, Fault]:
        """Create the next segment and make its header durable before any other record."""
        try:
            self._create_segment(position)
        except OSError as error:
            return Error(self._write_fault(error))
        result = await self._make_durable()
        if result.is_error():
            return result
        return await self._files.sync_folder(self._folder)

    def _create_segment(self, position: LogPosition) -> None:
        if self._file is not None:
            self._file.close()
        sequence = self.newest_sequence + 1
        path = segment_path(self._folder, sequence)
        self._segments.append(Segment(sequence, path, position.last_index))
        self._durable_bytes = self._written_bytes = 0
        self._file = self._files.open(path)
        self._file.truncate(0)
        header = SegmentHeader(
            FORMAT_VERSION,
            sequence,
            position.last_index,
            position.last_term,
            position.hard_term,
            position.voted_for,
        )
        record = encode_record(self._group, RecordKind.SEGMENT_HEADER, encode_body(header))
        self._file.append(record)
        self._written_bytes = len(record)

    def _append_batch(
        self, batch: list[PendingRecord], set_location: Callable[[PendingRecord, int, int], None]
    ) -> None:
        assert self._file is not None
        segment = self._segments[-1]
        durable = self._durable_bytes
        offset = self._written_bytes
        frames = []
        for record in batch:
            set_location(record, segment.sequence, offset)
            segment.highest_index = max(segment.highest_index, record.index)
            frames.append(encode_record(self._group, record.kind, record.body, durable))
            offset += record_bytes(len(record.body))
        self._file.append(b"".join(frames))
        self._written_bytes = offset

    async def _make_durable(self) -> Result[None, Fault]:
        assert self._file is not None
        size = self._written_bytes
        result = await self._file.sync()
        if result.is_ok():
            self._durable_bytes = size
        return result

    def mark_durable(self) -> Result[None, Fault]:
        """Append an unsynced record with the number of durable bytes of the segment.

        With it, a later opening can distinguish damage in the newest batch from a torn tail. A
        full segment gets none, so that a closed segment never ends with unsynced bytes.
        """
        mark = encode_record(self._group, RecordKind.DURABLE_MARK, b"", self._durable_bytes)
        size = self._written_bytes + len(mark)
        if self._file is None or size >= self._segment_bytes:
            return Ok(None)
        try:
            self._file.append(mark)
        except OSError:
            return self._truncate_mark()
        self._written_bytes = size
        return Ok(None)

    def _truncate_mark(self) -> Result[None, Fault]:
        """Truncate a durable mark that did not fit on the disk; the mark is optional."""
        assert self._file is not None
        try:
            self._file.truncate(self._written_bytes)
        except OSError as error:
            return Error(self._write_fault(error))
        return Ok(None)

    def remove_until(self, index: int) -> None:
        """Remove the oldest segments that have no entry above ``index``.

        Raises ``OSError``. Durable with the next sync of the folder; the newest segment stays.
        """
        while len(self._segments) > 1 and self._segments[0].highest_index <= index:
            self._files.remove(self._segments[0].path)
            del self._segments[0]

    def remove_stale_segments(self) -> None:
        """Remove segments before a gap in the sequence; raises ``OSError``. Only at opening."""
        for sequence in list_segments(self._files, self._folder):
            if self._segments and sequence < self._segments[0].sequence:
                self._files.remove(segment_path(self._folder, sequence))

    def close(self) -> None:
        """Close the open segment without syncing."""
        if self._file is not None:
            self._file.close()
