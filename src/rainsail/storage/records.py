"""Framing of durable records: pure encoding and scanning.

A record is a header followed by a body::

    magic     4 bytes  RSR1
    crc       uint32   CRC-32C over the rest of the header and the body
    length    uint32   bytes of the body
    group     uint32   group id
    kind      uint8    ``RecordKind``
    durable   uint32   bytes of the file known to be durable when the record was written

``durable`` decides between a torn tail and damage. A batch is written only after the one before
it was synced, so every record of the newest batch carries the offset at which that batch began.
Bytes from there on may be torn by a crash. Bytes before it were acknowledged: when they no longer
read back, the file is damaged.
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
    """What the body of a record holds."""

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


@dataclass(frozen=True, slots=True)
class Record:
    """One record read back, with its offset in the file."""

    offset: int
    kind: RecordKind
    durable: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Damage:
    """Where a scan had to stop and why.

    ``can_be_torn`` is False when the record is sound but doesn't belong there.
    """

    offset: int
    reason: str
    can_be_torn: bool = True


@dataclass(frozen=True, slots=True)
class Scan:
    """The whole records at the start of a file; ``end`` is the offset after the last one."""

    records: tuple[Record, ...]
    end: int
    damage: Damage | None


def encode_record(group: int, kind: RecordKind, body: bytes, durable: int = 0) -> bytes:
    """Frame a body."""
    checked = _CHECKED.pack(len(body), group, kind, durable)
    crc = crc32c.crc32c(body, crc32c.crc32c(checked))
    return b"".join((MAGIC, crc.to_bytes(4, "little"), checked, body))


def record_bytes(body_length: int) -> int:
    """Return the framed size of a body in bytes."""
    return HEADER_BYTES + body_length


def read_record(data: bytes, offset: int, group: int) -> Record | Damage:
    """Read the record at ``offset``; a record that is not whole and sound is damage."""
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
    """Yield the whole records that begin behind an offset, whatever lies between them."""
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        found = read_record(data, position, group)
        if isinstance(found, Record):
            yield found
        position = data.find(MAGIC, position + 1)


def is_torn_tail(data: bytes, damage: Damage, group: int) -> bool:
    """Tell whether ``damage`` can be the trace of a crash during the newest batch.

    It can't when a sound record further on says that the bytes at the damage were durable.
    """
    if not damage.can_be_torn:
        return False
    later = records_after(data, damage.offset, group)
    return all(record.durable <= damage.offset for record in later)
