"""Append-only store of the results of one job's items, read by item index.

Records are stored one after the other in segments. Each starts with a header of item index and
size, so that the location of each record can be rebuilt from the segments alone.
"""

import struct
from array import array
from collections.abc import Iterator
from dataclasses import dataclass

from rainsail.wire.codec import decode_body, encode_body, wire_record
from rainsail.wire.names import wire_type

SEGMENT_BYTES = 65_536
_HEADER = struct.Struct("<II")
_SEGMENT_SHIFT = 32
_OFFSET_MASK = (1 << _SEGMENT_SHIFT) - 1


@wire_type("FinishedItem")
@dataclass(frozen=True, slots=True)
class FinishedItem:
    """Result of an item: its text, or the failure for which it was set aside."""

    custom_id: str
    text: str
    generated_tokens: int
    failure: str


@wire_record("StoredResults")
@dataclass(frozen=True, slots=True)
class StoredResults:
    """One segment of a job's results, in a snapshot."""

    job_id: str
    segment: bytes


class ResultLog:
    """Results in segments, with a location per item: segment number and offset in one integer."""

    __slots__ = ("_item_count", "_places", "_segments")

    def __init__(self, item_count: int) -> None:
        self._item_count = item_count
        self._places: array[int] = array("Q")
        self._segments: list[bytearray] = []

    def append(self, index: int, item: FinishedItem) -> None:
        """Append the result of an item that has none yet."""
        if not self._segments or len(self._segments[-1]) >= SEGMENT_BYTES:
            self._segments.append(bytearray())
        payload = encode_body(item)
        segment = self._segments[-1]
        self._set_location(index, len(self._segments) - 1, len(segment))
        segment += _HEADER.pack(index, len(payload))
        segment += payload

    def _set_location(self, index: int, segment: int, offset: int) -> None:
        if not self._places:
            self._places = array("Q", bytes(8 * self._item_count))
        self._places[index] = segment << _SEGMENT_SHIFT | offset

    def get(self, index: int) -> FinishedItem:
        """Return the result of an item that has one."""
        location = self._places[index]
        segment = self._segments[location >> _SEGMENT_SHIFT]
        offset = location & _OFFSET_MASK
        _, size = _HEADER.unpack_from(segment, offset)
        start = offset + _HEADER.size
        return decode_body(FinishedItem, bytes(segment[start : start + size]))

    def records(self, job_id: str) -> Iterator[StoredResults]:
        """Yield all segments for a snapshot."""
        for segment in self._segments:
            yield StoredResults(job_id, bytes(segment))

    def restore(self, record: StoredResults) -> None:
        """Restore one segment of a snapshot and the locations of its records."""
        segment = bytearray(record.segment)
        self._segments.append(segment)
        offset = 0
        while offset < len(segment):
            index, size = _HEADER.unpack_from(segment, offset)
            self._set_location(index, len(self._segments) - 1, offset)
            offset += _HEADER.size + size
