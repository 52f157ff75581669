"""Bodies of the log's records: Avro, encoded through the wire codec."""

from dataclasses import dataclass

from rainsail.wire.names import wire_type

FORMAT_VERSION = 1
"""Version of the files of a data folder. A newer one is refused."""


@wire_type("SegmentHeader")
@dataclass(frozen=True, slots=True)
class SegmentHeader:
    """First record of a segment: the state of the log where the segment begins."""

    format_version: int
    sequence: int
    last_index: int
    last_term: int
    hard_term: int
    voted_for: str


@wire_type("Truncation")
@dataclass(frozen=True, slots=True)
class Truncation:
    """Every entry from ``first_removed`` on is removed; the one before it has ``last_term``."""

    first_removed: int
    last_term: int


@wire_type("Reset")
@dataclass(frozen=True, slots=True)
class Reset:
    """Every entry is removed; the next one follows ``last_index`` (a snapshot was installed)."""

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
    """Last record of a snapshot file: what came before it."""

    chunks: int
    size_bytes: int


@dataclass(frozen=True, slots=True)
class LogPosition:
    """Where a log stands: what a new segment's header says."""

    last_index: int
    last_term: int
    hard_term: int
    voted_for: str
