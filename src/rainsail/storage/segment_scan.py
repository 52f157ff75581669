"""Reads segments and distinguishes torn tails from damage."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from rainsail.errors import Fault
from rainsail.storage.faults import storage_fault
from rainsail.storage.interface import FileSystem
from rainsail.storage.log_records import FORMAT_VERSION, SegmentHeader
from rainsail.storage.records import Damage, Record, RecordKind, Scan, is_torn_tail, scan
from rainsail.wire.codec import CodecError, decode_body

SEGMENT_SUFFIX = ".log"
_SEQUENCE_DIGITS = 10
TORN_HEADER_BYTES = 256
"""Longest file that may consist of a torn header only.

A header is synced before any other record, so a longer file with an invalid header is damaged.
"""


@dataclass(frozen=True, slots=True)
class ScannedSegment:
    """A segment as read from disk: its header and the records after it."""

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
    """Return the sequence numbers of the segments in a folder, ascending."""
    names = [name for name in files.list(folder) if name.endswith(SEGMENT_SUFFIX)]
    stems = [name.removesuffix(SEGMENT_SUFFIX) for name in names]
    return sorted(int(stem) for stem in stems if stem.isascii() and stem.isdigit())


def newest_contiguous(sequences: list[int]) -> list[int]:
    """Return the newest sequence numbers that have no gap between them."""
    start = len(sequences) - 1
    while start > 0 and sequences[start - 1] == sequences[start] - 1:
        start -= 1
    return sequences[max(start, 0) :]


def scan_segment(
    files: FileSystem, folder: str, group: int, sequence: int, is_last: bool
) -> Result[ScannedSegment | None, Fault]:
    """Read a segment; None if it is the last one and its header is torn.

    Only the newest batch of the last segment may be torn; any other damage is a fault.
    """
    path = segment_path(folder, sequence)
    try:
        data = files.read(path)
    except OSError as error:
        return Error(storage_fault("open", path, str(error)))
    scanned = scan(data, group)
    damage = _fatal_damage(data, scanned, group, is_last)
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
    """Read the newest contiguous segments, oldest first.

    A crash during compaction may leave some of the segments that were being removed; they precede a
    gap. The replay checks that the contiguous segments reach back far enough.
    """
    sequences = newest_contiguous(list_segments(files, folder))
    found: list[ScannedSegment] = []
    for sequence in sequences:
        segment = scan_segment(files, folder, group, sequence, sequence == sequences[-1])
        if segment.is_error():
            return Error(segment.error)
        if segment.ok is not None:
            found.append(segment.ok)
    return Ok(found)


def _fatal_damage(data: bytes, scanned: Scan, group: int, is_last: bool) -> Damage | None:
    if scanned.damage is None:
        return None
    if not is_last or not is_torn_tail(data, scanned.damage, group):
        return scanned.damage
    if not scanned.records and len(data) > TORN_HEADER_BYTES:
        return scanned.damage
    return None


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
