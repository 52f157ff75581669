"""Rebuilds the in-memory log from its segments."""

from expression import Error, Ok, Result

from rainsail.errors import Fault
from rainsail.storage.faults import storage_fault
from rainsail.storage.interface import HardState, LogEntry, SnapshotMeta
from rainsail.storage.log_index import LogIndex
from rainsail.storage.log_records import LogPosition, Reset, Truncation
from rainsail.storage.records import Record, RecordKind
from rainsail.storage.segment_scan import ScannedSegment
from rainsail.wire.codec import CodecError, decode_body


class ReplayedLog:
    """The log and the hard state after the segments replayed so far.

    ``highest_indexes`` holds, per segment, the highest entry index ever written to it.
    ``needs_reset`` is set if the segments still hold a log that a snapshot has replaced.
    """

    def __init__(self, cache_bytes: int) -> None:
        self.index = LogIndex(cache_bytes)
        self.hard_state = HardState(0, "")
        self.highest_indexes: list[int] = []
        self.needs_reset = False

    def position(self) -> LogPosition:
        """Return the position of the log after the replayed segments."""
        last = self.index.last_index
        state = self.hard_state
        return LogPosition(last, self.index.term_at(last) or 0, state.term, state.voted_for)

    def replay(self, segment: ScannedSegment, is_first: bool) -> Result[None, Fault]:
        """Apply one segment; a record that contradicts earlier ones is a fault."""
        offset = 0
        try:
            self._begin(segment, is_first)
            for record in segment.records:
                offset = record.offset
                self._apply(record, segment.sequence)
        except (CodecError, ValueError) as error:
            return Error(storage_fault("open", segment.path, str(error), offset))
        return Ok(None)

    def _begin(self, segment: ScannedSegment, is_first: bool) -> None:
        header = segment.header
        hard_state = HardState(header.hard_term, header.voted_for)
        self.highest_indexes.append(header.last_index)
        if is_first:
            self.index.reset(header.last_index, header.last_term)
            self.hard_state = hard_state
            return
        found = (self.index.last_index, self.index.term_at(self.index.last_index))
        if found != (header.last_index, header.last_term) or hard_state != self.hard_state:
            raise ValueError(f"does not follow the previous segment, which ends at {found[0]}")

    def _apply(self, record: Record, sequence: int) -> None:
        if record.kind == RecordKind.ENTRY:
            entry: LogEntry = decode_body(LogEntry, record.body)
            self.index.append(entry)
            self.highest_indexes[-1] = max(self.highest_indexes[-1], entry.index)
            self.index.set_location(sequence, record.offset)
            self.index.shrink(entry.index)
        elif record.kind == RecordKind.HARD_STATE:
            self.hard_state = decode_body(HardState, record.body)
        elif record.kind == RecordKind.TRUNCATION:
            self._truncate(decode_body(Truncation, record.body))
        elif record.kind == RecordKind.RESET:
            reset: Reset = decode_body(Reset, record.body)
            self.index.reset(reset.last_index, reset.last_term)
        elif record.kind != RecordKind.DURABLE_MARK:
            raise ValueError(f"unexpected record kind {record.kind.name}")

    def _truncate(self, truncation: Truncation) -> None:
        first_removed = truncation.first_removed
        if first_removed <= self.index.base_index:
            # The segments with the earlier entries were removed after a snapshot.
            self.index.reset(first_removed - 1, truncation.last_term)
            return
        self.index.truncate_from(first_removed)
        self.index.drop_locations(first_removed)

    def align_to_snapshot(self, meta: SnapshotMeta | None, retained_entries: int) -> bool:
        """Align the log with the newest snapshot; False if entries between them are missing.

        A log without the snapshot's last entry of the same term is replaced by the snapshot: a
        crash interrupted the installation before the log was reset.
        """
        if meta is None:
            return self.index.base_index == 0
        if self.index.base_index > meta.last_index:
            return False
        if self.index.term_at(meta.last_index) != meta.last_term:
            self.index.reset(meta.last_index, meta.last_term)
            self.needs_reset = True
        self.index.retain_after(meta.last_index, retained_entries)
        return True


def replay_segments(segments: list[ScannedSegment], cache_bytes: int) -> Result[ReplayedLog, Fault]:
    """Replay contiguous segments, oldest first."""
    replayed = ReplayedLog(cache_bytes)
    for position, segment in enumerate(segments):
        result = replayed.replay(segment, position == 0)
        if result.is_error():
            return Error(result.error)
    return Ok(replayed)
