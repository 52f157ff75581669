"""Buffered reader of the records of a file."""

from rainsail.errors import RainsailError
from rainsail.storage.faults import storage_fault
from rainsail.storage.interface import FileSystem
from rainsail.storage.records import Damage, Record, read_record, record_bytes

READ_AHEAD_BYTES = 64 * 1024


class RecordFileReader:
    """A reader with a position in one file.

    Buffers 64 KiB of the file, or one record if it is longer. Errors are raised as
    ``RainsailError`` with a STORAGE fault that names ``step``, the file and the offset.
    """

    def __init__(self, files: FileSystem, path: str, group: int, step: str) -> None:
        self.path = path
        self._files = files
        self._group = group
        self._step = step
        self._offset = 0
        self._start = 0
        self._data = b""

    def read(self) -> Record:
        """Return the next record; the end of the file is an error."""
        return self.read_at(self._offset)

    def read_at(self, offset: int) -> Record:
        """Return the record at an offset; the next ``read`` continues after it."""
        found = self._read_held(offset)
        size = READ_AHEAD_BYTES
        while isinstance(found, Damage):
            self._load(offset, size)
            found = self._read_held(offset)
            if isinstance(found, Damage) and len(self._data) < size:
                raise self.error(found.reason, offset)
            size *= 2
        self._offset = offset + record_bytes(len(found.body))
        return found

    def at_end(self) -> bool:
        """Return whether the file ends after the last record read."""
        self._load(self._offset, 1)
        return not self._data

    def _read_held(self, offset: int) -> Record | Damage:
        if not self._start <= offset < self._start + len(self._data):
            return Damage(offset, "no record: end of file")
        found = read_record(self._data, offset - self._start, self._group)
        if isinstance(found, Damage):
            return found
        return Record(offset, found.kind, found.durable, found.body)

    def _load(self, offset: int, size: int) -> None:
        try:
            self._data = self._files.read_range(self.path, offset, size)
        except OSError as error:
            raise self.error(str(error), offset) from error
        self._start = offset

    def error(self, reason: str, offset: int) -> RainsailError:
        """Return an error about this file."""
        return RainsailError(storage_fault(self._step, self.path, reason, offset))
