"""Reads log entries from the segment files."""

from rainsail.storage.interface import FileSystem, LogEntry
from rainsail.storage.record_file import RecordFileReader
from rainsail.storage.records import RecordKind
from rainsail.storage.segment_scan import segment_path
from rainsail.wire.codec import CodecError, decode_body


class EntryReader:
    """Reads entries in ascending order; raises ``RainsailError`` for damaged ones."""

    def __init__(self, files: FileSystem, folder: str, group: int) -> None:
        self._files = files
        self._folder = folder
        self._group = group
        self._sequence = 0
        self._reader: RecordFileReader | None = None

    def read(self, index: int, sequence: int, offset: int) -> LogEntry:
        """Return entry ``index`` from an offset of a segment."""
        reader = self._reader_of(sequence)
        record = reader.read_at(offset)
        if record.kind != RecordKind.ENTRY:
            raise reader.error(f"expected entry {index}, found {record.kind.name}", offset)
        try:
            entry: LogEntry = decode_body(LogEntry, record.body)
        except CodecError as error:
            raise reader.error(str(error), offset) from error
        if entry.index != index:
            raise reader.error(f"expected entry {index}, found entry {entry.index}", offset)
        return entry

    def _reader_of(self, sequence: int) -> RecordFileReader:
        if self._reader is None or sequence != self._sequence:
            path = segment_path(self._folder, sequence)
            self._reader = RecordFileReader(self._files, path, self._group, "read")
            self._sequence = sequence
        return self._reader
