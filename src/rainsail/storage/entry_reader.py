"""Reads entries back from the segments, in chunks."""

from rainsail.errors import RainsailError
from rainsail.storage.faults import storage_fault
from rainsail.storage.interface import LogEntry
from rainsail.storage.records import Damage, Record, RecordKind, read_record
from rainsail.storage.segment_log import SegmentLog
from rainsail.wire.codec import CodecError, decode_body

_READ_AHEAD_BYTES = 64 * 1024


class EntryReader:
    """Reads entries in rising order; each read from disk takes at least 64 KiB."""

    def __init__(self, log: SegmentLog, group: int) -> None:
        self._log = log
        self._group = group
        self._sequence = 0
        self._start = 0
        self._data = b""

    def read(self, index: int, sequence: int, offset: int) -> LogEntry:
        """Return the entry written at a place; raises ``RainsailError`` when it is damaged."""
        found = self._read_record(sequence, offset)
        if isinstance(found, Damage):
            raise self._error(sequence, offset, found.reason)
        if found.kind != RecordKind.ENTRY:
            raise self._error(sequence, offset, f"entry {index} expected, found {found.kind.name}")
        try:
            entry: LogEntry = decode_body(LogEntry, found.body)
        except CodecError as error:
            raise self._error(sequence, offset, str(error)) from error
        if entry.index != index:
            raise self._error(sequence, offset, f"entry {index} expected, found {entry.index}")
        return entry

    def _read_record(self, sequence: int, offset: int) -> Record | Damage:
        if sequence == self._sequence and offset >= self._start:
            found = read_record(self._data, offset - self._start, self._group)
            if isinstance(found, Record):
                return found
        size = _READ_AHEAD_BYTES
        while True:
            self._load(sequence, offset, size)
            found = read_record(self._data, 0, self._group)
            if isinstance(found, Record) or len(self._data) < size:
                return found
            size *= 2

    def _load(self, sequence: int, offset: int, size: int) -> None:
        try:
            self._data = self._log.read_range(sequence, offset, size)
        except OSError as error:
            raise self._error(sequence, offset, str(error)) from error
        self._sequence = sequence
        self._start = offset

    def _error(self, sequence: int, offset: int, reason: str) -> RainsailError:
        return RainsailError(storage_fault("read", self._log.path_of(sequence), reason, offset))
