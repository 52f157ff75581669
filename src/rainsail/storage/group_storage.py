"""The durable state of one group: log, hard state and snapshots.

Writes gather in memory. ``sync`` writes everything gathered as one batch and syncs once; while a
sync is under way, new writes gather for the next batch. A failed write or sync is final: every
later call answers with the same fault, because what the disk holds is no longer known.
"""

from collections.abc import Iterable, Iterator

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.errors import Fault
from rainsail.storage.entry_reader import EntryReader
from rainsail.storage.interface import (
    FileSystem,
    HardState,
    LogEntry,
    SnapshotMeta,
)
from rainsail.storage.log_index import LogIndex
from rainsail.storage.log_records import Truncation
from rainsail.storage.log_replay import ReplayedLog, replay_segments
from rainsail.storage.records import RecordKind
from rainsail.storage.segment_log import LogPosition, PendingRecord, SegmentLog, scan_segments
from rainsail.storage.settings import StorageSettings
from rainsail.wire.codec import encode_body

SyncResult = Result[None, Fault]


def group_folder(group: int) -> str:
    """Return the folder of a group inside the data folder."""
    return f"group-{group}"


class DurableGroupStorage:
    """Implements ``GroupStorage`` over a ``FileSystem``; made by ``open_group_storage``."""

    def __init__(
        self, group: int, settings: StorageSettings, log: SegmentLog, replayed: ReplayedLog
    ) -> None:
        self._group = group
        self._settings = settings
        self._log = log
        self._index: LogIndex = replayed.index
        self.hard_state = replayed.hard_state
        self.snapshot_meta: SnapshotMeta | None = None
        self._pending: list[PendingRecord] = []
        self._waiters: list[Deferred[SyncResult]] = []
        self._under_way: list[Deferred[SyncResult]] | None = None
        self._is_writing = False
        self._fault: Fault | None = None
        self._written = self._position()
        self._durable_index = self._index.last_index
        self._batch_index = self._index.last_index

    @property
    def first_index(self) -> int:
        """The index of the first entry held."""
        return self._index.base_index + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry appended, durable or not."""
        return self._index.last_index

    def _position(self) -> LogPosition:
        last = self._index.last_index
        state = self.hard_state
        return LogPosition(last, self._index.term_at(last) or 0, state.term, state.voted_for)

    # --- writing -------------------------------------------------------------------------

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Queue entries that follow ``last_index``; raises ``ValueError`` for others."""
        for entry in entries:
            self._index.append(entry)
            body = encode_body(entry)
            self._pending.append(PendingRecord(RecordKind.ENTRY, body, entry.index))

    def truncate_from(self, index: int) -> None:
        """Queue the removal of the entries from ``index`` on.

        Raises ``ValueError`` when the log begins after ``index``.
        """
        if index <= self._index.base_index:
            raise ValueError(f"entry {index} lies below the log")
        if index > self._index.last_index:
            return
        self._index.truncate_from(index)
        self._durable_index = min(self._durable_index, index - 1)
        self._batch_index = min(self._batch_index, index - 1)
        body = encode_body(Truncation(index))
        self._pending.append(PendingRecord(RecordKind.TRUNCATION, body, index))

    def save_hard_state(self, state: HardState) -> None:
        """Queue a hard state."""
        if state == self.hard_state:
            return
        self.hard_state = state
        self._pending.append(PendingRecord(RecordKind.HARD_STATE, encode_body(state)))

    def sync(self) -> "Deferred[SyncResult]":
        """Make everything queued durable; fires after the sync that covers it."""
        if self._fault is not None:
            return succeed(Error(self._fault))
        waiter: Deferred[SyncResult] = Deferred()
        if self._pending:
            self._waiters.append(waiter)
        elif self._under_way is not None:
            self._under_way.append(waiter)
        else:
            return succeed(Ok(None))
        if not self._is_writing:
            Deferred.fromCoroutine(self._write_batches())
        return waiter

    async def _write_batches(self) -> None:
        self._is_writing = True
        while self._waiters:
            waiters, self._waiters = self._waiters, []
            self._under_way = waiters
            result = await self._write_batch()
            self._under_way = None
            if result.is_error():
                self._fault = result.error
                waiters += self._waiters
                self._waiters = []
            for waiter in waiters:
                waiter.callback(result)
        self._is_writing = False

    async def _write_batch(self) -> SyncResult:
        batch, self._pending = self._pending, []
        before = self._written
        self._written = self._position()
        self._batch_index = self._index.last_index
        result = await self._log.write(batch, before, self._placed)
        if result.is_ok():
            self._durable_index = self._batch_index
            self._index.shrink(self._durable_index)
        return result

    def _placed(self, record: PendingRecord, sequence: int, offset: int) -> None:
        if record.kind == RecordKind.ENTRY:
            self._index.place(sequence, offset)
        elif record.kind == RecordKind.TRUNCATION:
            self._index.forget_places(record.index)

    # --- reading -------------------------------------------------------------------------

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry or of the place before the first; None elsewhere."""
        if self.snapshot_meta is not None and index == self.snapshot_meta.last_index:
            return self.snapshot_meta.last_term
        return self._index.term_at(index)

    def entries(self, first: int, last: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries ``first..last``, at least one, up to ``max_bytes`` of payload.

        Raises ``ValueError`` for entries that aren't held and ``OSError`` or ``RainsailError``
        when the disk doesn't give one back.
        """
        if not self.first_index <= first <= last <= self.last_index:
            held = f"{self.first_index}..{self.last_index}"
            raise ValueError(f"entries {first}..{last} asked for, {held} held")
        if first >= self._index.cache_first:
            return _bounded(self._index.cached(first, last), max_bytes)
        return _bounded(self._read_entries(first, last), max_bytes)

    def _read_entries(self, first: int, last: int) -> Iterator[LogEntry]:
        cache_first = self._index.cache_first
        reader = EntryReader(self._log, self._group)
        for index in range(first, min(last, cache_first - 1) + 1):
            yield reader.read(index, *self._index.place_of(index))
        if last >= cache_first:
            yield from self._index.cached(cache_first, last)

    def close(self) -> None:
        """Close the files without syncing."""
        self._log.close()


def _bounded(entries: Iterable[LogEntry], max_bytes: int) -> tuple[LogEntry, ...]:
    taken: list[LogEntry] = []
    size = 0
    for entry in entries:
        size += len(entry.payload)
        if taken and size > max_bytes:
            break
        taken.append(entry)
    return tuple(taken)


def open_group_storage(
    files: FileSystem, group: int, settings: StorageSettings
) -> "Deferred[Result[DurableGroupStorage, Fault]]":
    """Open a group's durable state, creating it when there is none.

    A torn tail is cut off; any other damage is a STORAGE fault with the file and the offset.
    """
    return Deferred.fromCoroutine(_open(files, group, settings))


async def _open(
    files: FileSystem, group: int, settings: StorageSettings
) -> Result[DurableGroupStorage, Fault]:
    folder = group_folder(group)
    scanned = scan_segments(files, folder, group)
    if scanned.is_error():
        return Error(scanned.error)
    replayed = replay_segments(scanned.ok, settings.cache_bytes)
    if replayed.is_error():
        return Error(replayed.error)
    log = SegmentLog(files, folder, group, settings.segment_bytes)
    adopted = await log.adopt(scanned.ok)
    if adopted.is_error():
        return Error(adopted.error)
    return Ok(DurableGroupStorage(group, settings, log, replayed.ok))
