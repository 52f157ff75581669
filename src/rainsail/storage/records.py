"""Framing of durable records: encoding and scanning, without I/O.

A record is a header followed by a body::

    magic     4 bytes  RSR1
    crc       uint32   CRC-32C over the rest of the header and the body
    length    uint32   bytes of the body
    group     uint32   group id
    kind      uint8    ``RecordKind``
    durable   uint32   bytes of the file known to be durable when the record was written

``durable`` distinguishes a torn tail from damage. A batch is written only after the previous one
was synced, so each record of the newest batch carries the offset at which that batch starts. A
crash may tear the bytes from there on. The bytes before it were acknowledged as durable: if they
are unreadable, the file is damaged.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

import crc32c

MAGIC = b"RSR1"
_HEADER = struct.Struct("<4sIIIBI")
_CHECKED = struct.Struct("<IIBI")
HEADER_BYTES = _HEADER.size
_CHECKED_START = HEADER_BYTES - _CHECKED.size


class RecordKind(IntEnum):
    """Type of the body of a record."""

    SEGMENT_HEADER = 1
    ENTRY = 2
    TRUNCATION = 3
    HARD_STATE = 4
    RESET = 5
    DURABLE_MARK = 6
    SNAPSHOT_HEADER = 7
    SNAPSHOT_CHUNK = 8
    SNAPSHOT_END = 9
    FORMAT = 10
    IDENTITY = 11
    RUNNER = 12
    COMMITTED_COPY = 13
    RUNNER_VERSIONS = 14


@dataclass(frozen=True, slots=True)
class Record:
    """One record read back, with its offset in the file."""

    offset: int
    kind: RecordKind
    durable: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Damage:
    """Offset and reason at which a scan stopped.

    ``can_be_torn`` is False if the record is intact but does not belong into this file.
    """

    offset: int
    reason: str
    can_be_torn: bool = True


@dataclass(frozen=True, slots=True)
class Scan:
    """The valid records at the start of a file; ``end`` is the offset after the last one."""

    records: tuple[Record, ...]
    end: int
    damage: Damage | None


def encode_record(group: int, kind: RecordKind, body: bytes, durable: int = 0) -> bytes:
    """Return a body with its header."""
    checked = _CHECKED.pack(len(body), group, kind, durable)
    crc = crc32c.crc32c(body, crc32c.crc32c(checked))
    return b"".join((MAGIC, crc.to_bytes(4, "little"), checked, body))


def record_bytes(body_length: int) -> int:
    """Return the size in bytes of a record with a body of ``body_length`` bytes."""
    return HEADER_BYTES + body_length


def read_record(data: bytes, offset: int, group: int) -> Record | Damage:
    """Read the record at ``offset``; a truncated or invalid record is returned as damage."""
    if offset + HEADER_BYTES > len(data):
        return Damage(offset, f"record header cut short after {len(data) - offset} bytes")
    magic, crc, length, found_group, kind, durable = _HEADER.unpack_from(data, offset)
    if magic != MAGIC:
        return Damage(offset, "no record begins here")
    start = offset + HEADER_BYTES
    end = start + length
    if end > len(data):
        return Damage(offset, f"record of {length} bytes cut short")
    body = data[start:end]
    if crc32c.crc32c(body, crc32c.crc32c(data[offset + _CHECKED_START : start])) != crc:
        return Damage(offset, "CRC-32C does not match")
    if found_group != group:
        reason = f"record of group {found_group} in the files of group {group}"
        return Damage(offset, reason, can_be_torn=False)
    if kind not in RecordKind._value2member_map_:
        return Damage(offset, f"unknown record kind {kind}", can_be_torn=False)
    return Record(offset, RecordKind(kind), durable, body)


def scan(data: bytes, group: int) -> Scan:
    """Read records from the start until the end of the data or the first damage."""
    records: list[Record] = []
    offset = 0
    while offset < len(data):
        found = read_record(data, offset, group)
        if isinstance(found, Damage):
            return Scan(tuple(records), offset, found)
        records.append(found)
        offset += record_bytes(len(found.body))
    return Scan(tuple(records), offset, None)


def records_after(data: bytes, offset: int, group: int) -> Iterator[Record]:
    """Yield the valid records that start after an offset, skipping any other bytes."""
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        found = read_record(data, position, group)
        if isinstance(found, Record):
            yield found
        position = data.find(MAGIC, position + 1)


def is_torn_tail(data: bytes, damage: Damage, group: int) -> bool:
    """Return whether ``damage`` may result from a crash while the newest batch was written.

    It may not if a later valid record states that the bytes at the damage were durable.
    """
    if not damage.can_be_torn:
        return False
    later = records_after(data, damage.offset, group)
    return all(record.durable <= damage.offset for record in later)
