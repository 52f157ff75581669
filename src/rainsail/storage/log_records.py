"""Bodies of the records in segment and snapshot files, encoded as Avro by the wire codec."""

from dataclasses import dataclass

from rainsail.wire.names import wire_type

FORMAT_VERSION = 1
"""Format version of the files of a data folder. Newer versions are refused."""


@wire_type("SegmentHeader")
@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """First record of a segment: the position of the log at the start of the segment."""

    format_version: int
    sequence: int
    last_index: int
    last_term: int
    hard_term: int
    voted_for: str


@wire_type("Truncation")
@dataclass(frozen=True, slots=True)
class Truncation:
    """All entries from ``first_removed`` on are removed; the one before it has ``last_term``."""

    first_removed: int
    last_term: int


@wire_type("Reset")
@dataclass(frozen=True, slots=True)
class Reset:
    """All entries are removed; the next one follows ``last_index`` (of an installed snapshot)."""

    last_index: int
    last_term: int


@wire_type("SnapshotHeader")
@dataclass(frozen=True, slots=True)
class SnapshotHeader:
    """First record of a snapshot file."""

    format_version: int
    last_index: int
    last_term: int
    membership: bytes


@wire_type("SnapshotEnd")
@dataclass(frozen=True, slots=True)
class SnapshotEnd:
    """Last record of a snapshot file: the number and total size of its chunks."""

    chunks: int
    size_bytes: int


@dataclass(frozen=True, slots=True)
class LogPosition:
    """Position of a log, as written to the header of a new segment."""

    last_index: int
    last_term: int
    hard_term: int
    voted_for: str
