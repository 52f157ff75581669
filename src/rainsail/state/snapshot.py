"""Encoding of snapshots in chunks: Avro records of the stores, packed into bounded parts.

A part exceeds its size limit by at most one record. The first part contains the format version,
so that a snapshot of another format is refused instead of misread.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from rainsail.errors import Fault, FaultCode, RainsailError
from rainsail.resources.specs import Resource
from rainsail.state.change_window import AnsweredChange
from rainsail.state.claims import Claim
from rainsail.state.job import StoredJob
from rainsail.state.job_items import StoredRange
from rainsail.state.lease_queue import StoredTenantShare, StoredVirtualTime
from rainsail.state.lease_requests import AnsweredLease, LedgerCounters
from rainsail.state.resource_store import StoredEvent, StoreRevisions
from rainsail.state.result_log import StoredResults
from rainsail.state.sessions import SessionFenceFloor, StoredSession
from rainsail.wire.codec import CodecError, decode, encode, wire_record

SNAPSHOT_FORMAT = 1
_SMALL_RECORD_BYTES = 512
"""Assumed size of a record without its byte blocks; avoids encoding records twice."""


@wire_record("SnapshotStart")
@dataclass(frozen=True, slots=True)
class SnapshotStart:
    """The first record of a snapshot."""

    format: int
    applied_index: int


SnapshotRecord = (
    SnapshotStart
    | StoreRevisions
    | Resource
    | StoredEvent
    | AnsweredChange
    | LedgerCounters
    | StoredJob
    | StoredRange
    | StoredResults
    | AnsweredLease
    | StoredVirtualTime
    | StoredTenantShare
    | Claim
    | SessionFenceFloor
    | StoredSession
)


@wire_record("SnapshotPart")
@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One chunk of a snapshot."""

    records: tuple[SnapshotRecord, ...]


def _approximate_bytes(record: SnapshotRecord) -> int:
    if isinstance(record, StoredRange):
        return _SMALL_RECORD_BYTES + len(record.bodies) + len(record.offsets)
    if isinstance(record, StoredResults):
        return _SMALL_RECORD_BYTES + len(record.segment)
    if isinstance(record, StoredJob):
        return _SMALL_RECORD_BYTES + len(record.item_phases)
    if isinstance(record, StoredSession):
        turns = record.view.turns
        return _SMALL_RECORD_BYTES + sum(len(turn.prompt) + len(turn.answer) for turn in turns)
    return _SMALL_RECORD_BYTES


def encode_parts(records: Iterable[SnapshotRecord], part_bytes: int) -> Iterator[bytes]:
    """Yield encoded parts of about ``part_bytes`` bytes."""
    gathered: list[SnapshotRecord] = []
    size = 0
    for record in records:
        gathered.append(record)
        size += _approximate_bytes(record)
        if size >= part_bytes:
            yield encode(SnapshotPart(tuple(gathered)))
            gathered = []
            size = 0
    if gathered:
        yield encode(SnapshotPart(tuple(gathered)))


def decode_parts(chunks: Iterable[bytes]) -> Iterator[SnapshotRecord]:
    """Yield the records of a snapshot; raises ``RainsailError`` if it is unreadable."""
    started = False
    for chunk in chunks:
        for record in _decode_part(chunk).records:
            if not started:
                _check_start(record)
                started = True
            yield record
    if not started:
        raise _unreadable("the snapshot has no records")


def _decode_part(chunk: bytes) -> SnapshotPart:
    try:
        part = decode(chunk)
    except CodecError as error:
        raise _unreadable(str(error)) from error
    if not isinstance(part, SnapshotPart):
        raise _unreadable(f"expected a snapshot part, found a {type(part).__name__}")
    return part


def _check_start(record: SnapshotRecord) -> None:
    if not isinstance(record, SnapshotStart):
        raise _unreadable("the snapshot does not start with a start record")
    if record.format != SNAPSHOT_FORMAT:
        raise _unreadable(f"format {record.format} is not supported, expected {SNAPSHOT_FORMAT}")


def _unreadable(detail: str) -> RainsailError:
    return RainsailError(Fault(FaultCode.STORAGE, "state.restore", detail))
