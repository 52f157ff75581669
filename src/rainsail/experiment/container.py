"""Avro container files of one record type, read within bounds whatever the bytes are.

Files are written without compression, so that what is read into memory is bounded by the size of
the file. The schema in a file's header must be the one that this program writes: a foreign schema
could describe any amount of data in a few bytes.
"""

import io
import struct
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import fastavro
from expression import Error, Ok, Result
from fastavro.schema import SchemaParseException, UnknownType, to_parsing_canonical_form

from rainsail.errors import Fault, FaultCode
from rainsail.runtime.files import read_bounded
from rainsail.wire.codec import from_avro_value, parsed_schema, to_avro_value

MAX_FILE_BYTES = 256 * 1024 * 1024
MAGIC = b"Obj\x01"
CODEC = "null"
"""The codec name that Avro gives to uncompressed blocks."""
SYNC_MARKER = bytes(range(16))
"""The same in every file, so that the same records give the same bytes."""

_MALFORMED = (
    EOFError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    AssertionError,
    OverflowError,
    MemoryError,
    RecursionError,
    StopIteration,
    struct.error,
    SchemaParseException,
    UnknownType,
)
"""What fastavro raises for bytes that are not a container file."""

Progress = Callable[[int], None]
"""Hears how many bytes more have been read."""


def write_container(path: Path, record_type: Any, records: Iterable[Any]) -> None:
    """Write records to a file; the same records give the same bytes."""
    plain = (to_avro_value(record) for record in records)
    with path.open("wb") as file:
        fastavro.writer(
            file, parsed_schema(record_type), plain, codec=CODEC, sync_marker=SYNC_MARKER
        )


def read_container(
    path: Path,
    record_type: Any,
    step: str,
    max_bytes: int = MAX_FILE_BYTES,
    progress: Progress = lambda count: None,
) -> Result[list[Any], Fault]:
    """Read every record; the fault names the file and the offset at which it is damaged."""
    content = read_bounded(path, max_bytes)
    if content.is_error():
        return Error(Fault(FaultCode.INVALID, step, f"{path}: {content.error}"))
    reader = _ContainerReader(content.ok, record_type, progress)
    problem = reader.read()
    if problem:
        return Error(Fault(FaultCode.INVALID, step, f"{path}: {problem}"))
    return Ok(reader.records)


class _ContainerReader:
    """Reads one file's bytes and remembers how far it came."""

    def __init__(self, content: bytes, record_type: Any, progress: Progress) -> None:
        self.records: list[Any] = []
        self._file = io.BytesIO(content)
        self._record_type = record_type
        self._progress = progress
        self._offset = 0

    def read(self) -> str:
        """Read the records; return what is wrong and where, or an empty string."""
        try:
            problem = self._read()
        except _MALFORMED as error:
            problem = f"malformed: {error!r}"
        return f"offset {self._offset}: {problem}" if problem else ""

    def _read(self) -> str:
        if not self._file.getvalue().startswith(MAGIC):
            return "expected an Avro container file"
        blocks = fastavro.block_reader(self._file, return_record_name=True)
        if blocks.codec != CODEC:
            return f"expected the codec {CODEC!r}, got {blocks.codec!r}"
        schema = parsed_schema(self._record_type)
        if to_parsing_canonical_form(blocks.writer_schema) != to_parsing_canonical_form(schema):
            return f"expected records of {self._record_type.__name__} as this version writes them"
        self._offset = self._file.tell()
        for block in blocks:
            self._read_block(block)
        return ""

    def _read_block(self, block: Any) -> None:
        for plain in block:
            self.records.append(from_avro_value(self._record_type, plain))
        self._progress(self._file.tell() - self._offset)
        self._offset = self._file.tell()
