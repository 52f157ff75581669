"""The segments of one group's log: opening, writing in batches, removing old ones."""

from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from rainsail.errors import Fault
from rainsail.storage.faults import storage_fault
from rainsail.storage.interface import File, FileSystem
from rainsail.storage.log_records import FORMAT_VERSION, SegmentHeader
from rainsail.storage.records import (
    Damage,
    Record,
    RecordKind,
    Scan,
    encode_record,
    is_torn_tail,
    record_bytes,
    scan,
)
from rainsail.wire.codec import CodecError, decode_body, encode_body

SEGMENT_SUFFIX = ".log"
_SEQUENCE_DIGITS = 10


@dataclass(frozen=True, slots=True)
class PendingRecord:
    """A record that waits for the next batch; ``index`` is set for entries only."""

    kind: RecordKind
    body: bytes
    index: int = 0


@dataclass(frozen=True, slots=True)
class LogPosition:
    """Where a log stands: what a new segment's header says."""

    last_index: int
    last_term: int
    hard_term: int
    voted_for: str


@dataclass(slots=True)
class Segment:
    """One segment file; ``highest_index`` is the highest entry index ever written to it."""

    sequence: int
    path: str
    base_index: int
    highest_index: int


@dataclass(frozen=True, slots=True)
class ScannedSegment:
    """A segment read back: its header and its records after the header."""

    sequence: int
    path: str
    header: SegmentHeader
    records: tuple[Record, ...]
    end: int
    torn_bytes: int


def segment_path(folder: str, sequence: int) -> str:
    """Return the path of a segment."""
    return f"{folder}/{sequence:0{_SEQUENCE_DIGITS}d}{SEGMENT_SUFFIX}"


def list_segments(files: FileSystem, folder: str) -> list[int]:
    """Return the sequence numbers of the segments in a folder, rising."""
    names = [name for name in files.list(folder) if name.endswith(SEGMENT_SUFFIX)]
    stems = [name.removesuffix(SEGMENT_SUFFIX) for name in names]
    return sorted(int(stem) for stem in stems if stem.isascii() and stem.isdigit())


def scan_segment(
    files: FileSystem, folder: str, group: int, sequence: int, is_last: bool
) -> Result[ScannedSegment | None, Fault]:
    """Read a segment back; None when it is the last one and its header is torn.

    Only the newest batch of the last segment may be torn; any other damage is a fault.
    """
    path = segment_path(folder, sequence)
    try:
        data = files.read(path)
    except OSError as error:
        return Error(storage_fault("open", path, str(error)))
    scanned = scan(data, group)
    damage = _real_damage(data, scanned, group, is_last)
    if damage is not None:
        return Error(storage_fault("open", path, damage.reason, damage.offset))
    if not scanned.records:
        if is_last:
            return Ok(None)
        return Error(storage_fault("open", path, "no header", 0))
    return _checked_segment(path, sequence, scanned, len(data) - scanned.end)


def scan_segments(
    files: FileSystem, folder: str, group: int
) -> Result[list[ScannedSegment], Fault]:
    """Read back every segment of a folder, oldest first."""
    sequences = list_segments(files, folder)
    found: list[ScannedSegment] = []
    for sequence in sequences:
        segment = scan_segment(files, folder, group, sequence, sequence == sequences[-1])
        if segment.is_error():
            return Error(segment.error)
        if segment.ok is not None:
            found.append(segment.ok)
    return Ok(found)


def _real_damage(data: bytes, scanned: Scan, group: int, is_last: bool) -> Damage | None:
    if scanned.damage is None:
        return None
    if is_last and is_torn_tail(data, scanned.damage, group):
        return None
    return scanned.damage


def _checked_segment(
    path: str, sequence: int, scanned: Scan, torn_bytes: int
) -> Result[ScannedSegment | None, Fault]:
    header = _decode_header(scanned.records[0])
    if header is None:
        return Error(storage_fault("open", path, "no segment header", 0))
    if header.format_version > FORMAT_VERSION:
        reason = f"format {header.format_version} is newer than {FORMAT_VERSION}"
        return Error(storage_fault("open", path, reason, 0))
    if header.sequence != sequence:
        return Error(storage_fault("open", path, f"header of segment {header.sequence}", 0))
    records = scanned.records[1:]
    return Ok(ScannedSegment(sequence, path, header, records, scanned.end, torn_bytes))


def _decode_header(record: Record) -> SegmentHeader | None:
    if record.kind != RecordKind.SEGMENT_HEADER:
        return None
    try:
        header: SegmentHeader = decode_body(SegmentHeader, record.body)
    except CodecError:
        return None
    return header


class SegmentLog:
    """Writes batches to the newest segment and begins a new one when it is full."""

    def __init__(self, files: FileSystem, folder: str, group: int, segment_bytes: int) -> None:
        self._files = files
        self._folder = folder
        self._group = group
        self._segment_bytes = segment_bytes
        self._segments: list[Segment] = []
        self._file: File | None = None
        self._durable_bytes = 0
        self._written_bytes = 0

    async def adopt(self, scanned: list[ScannedSegment]) -> Result[None, Fault]:
        """Take over the segments found at opening; the torn tail of the last one is cut off.

        The last segment is synced: after a process crash its newest batch may have reached only
        the page cache.
        """
        for each in scanned:
            base = each.header.last_index
            self._segments.append(Segment(each.sequence, each.path, base, base))
        if not scanned:
            return Ok(None)
        last = scanned[-1]
        try:
            self._file = self._files.open(last.path)
            if last.torn_bytes:
                self._file.truncate(last.end)
        except OSError as error:
            return Error(storage_fault("open", last.path, str(error)))
        self._durable_bytes = self._written_bytes = last.end
        return await self._file.sync()

    def note_entry(self, sequence: int, index: int) -> None:
        """Note, while reading back, that a segment holds an entry."""
        for segment in reversed(self._segments):
            if segment.sequence == sequence:
                segment.highest_index = max(segment.highest_index, index)
                return

    @property
    def newest_sequence(self) -> int:
        """The sequence number of the segment that is written to (0 when there is none)."""
        return self._segments[-1].sequence if self._segments else 0

    @property
    def segments(self) -> int:
        """How many segment files there are."""
        return len(self._segments)

    async def write(
        self,
        batch: list[PendingRecord],
        position: LogPosition,
        placed: Callable[[PendingRecord, int, int], None],
    ) -> Result[None, Fault]:
        """Write a batch and sync it; ``position`` is where the log stood before the batch.

        ``placed(record, sequence, offset)`` is called for each record before the sync.
        """
        begin_segment = self._file is None or self._written_bytes >= self._segment_bytes
        try:
            if begin_segment:
                self._begin_segment(position)
            self._append_batch(batch, placed)
        except OSError as error:
            return Error(self._write_fault(error))
        return await self._make_durable(begin_segment)

    def _write_fault(self, error: OSError) -> Fault:
        path = self.path_of(self.newest_sequence)
        return storage_fault("append", path, str(error), self._written_bytes)

    def _begin_segment(self, position: LogPosition) -> None:
        sequence = self.newest_sequence + 1
        path = self.path_of(sequence)
        if self._file is not None:
            self._file.close()
        base = position.last_index
        self._segments.append(Segment(sequence, path, base, base))
        self._file = self._files.open(path)
        self._file.truncate(0)
        self._durable_bytes = self._written_bytes = 0
        header = SegmentHeader(
            FORMAT_VERSION,
            sequence,
            base,
            position.last_term,
            position.hard_term,
            position.voted_for,
        )
        record = encode_record(self._group, RecordKind.SEGMENT_HEADER, encode_body(header))
        self._file.append(record)
        self._written_bytes = len(record)

    def _append_batch(
        self, batch: list[PendingRecord], placed: Callable[[PendingRecord, int, int], None]
    ) -> None:
        assert self._file is not None
        segment = self._segments[-1]
        durable = self._durable_bytes
        offset = self._written_bytes
        frames = []
        for record in batch:
            placed(record, segment.sequence, offset)
            segment.highest_index = max(segment.highest_index, record.index)
            frames.append(encode_record(self._group, record.kind, record.body, durable))
            offset += record_bytes(len(record.body))
        self._file.append(b"".join(frames))
        self._written_bytes = offset

    async def _make_durable(self, new_segment: bool) -> Result[None, Fault]:
        assert self._file is not None
        size = self._written_bytes
        result = await self._file.sync()
        if result.is_ok() and new_segment:
            result = await self._files.sync_folder(self._folder)
        if result.is_ok():
            self._durable_bytes = size
        return result

    def mark_durable(self) -> None:
        """Add an unsynced record saying how far the segment is durable; raises ``OSError``.

        It lets a later opening tell damage in the newest batch from a torn tail.
        """
        assert self._file is not None
        mark = encode_record(self._group, RecordKind.DURABLE_MARK, b"", self._durable_bytes)
        self._file.append(mark)
        self._written_bytes += len(mark)

    def path_of(self, sequence: int) -> str:
        """Return the path of a segment."""
        return segment_path(self._folder, sequence)

    def read_range(self, sequence: int, offset: int, size: int) -> bytes:
        """Return up to ``size`` bytes of a segment from ``offset`` on."""
        return self._files.read_range(self.path_of(sequence), offset, size)

    async def remove_until(self, index: int) -> Result[None, Fault]:
        """Remove the oldest segments whose entries all lie at or below ``index``."""
        removed = 0
        try:
            while len(self._segments) > 1 and self._segments[0].highest_index <= index:
                self._files.remove(self._segments[0].path)
                del self._segments[0]
                removed += 1
        except OSError as error:
            return Error(storage_fault("compact", self._segments[0].path, str(error)))
        if not removed:
            return Ok(None)
        return await self._files.sync_folder(self._folder)

    def close(self) -> None:
        """Close the open segment without syncing."""
        if self._file is not None:
            self._file.close()
