"""The durable state of one Raft group: log, hard state and snapshot."""

from collections.abc import Iterable, Iterator

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, DeferredLock, succeed

from rainsail.errors import Fault
from rainsail.storage.entry_reader import EntryReader
from rainsail.storage.faults import storage_fault
from rainsail.storage.interface import FileSystem, HardState, LogEntry, SnapshotMeta
from rainsail.storage.log_records import LogPosition, Reset, Truncation
from rainsail.storage.records import RecordKind
from rainsail.storage.recovery import RecoveredGroup, group_folder, recover_group
from rainsail.storage.segment_log import PendingRecord, SegmentLog
from rainsail.storage.settings import StorageSettings
from rainsail.storage.snapshot_checksum import SnapshotPiece
from rainsail.storage.snapshot_store import SnapshotStore, TemporarySnapshot
from rainsail.storage.write_queue import SyncResult, WriteQueue
from rainsail.wire.codec import encode_body


class DurableGroupStorage:
    """Implements ``GroupStorage`` on a ``FileSystem``; created by ``open_group_storage``.

    A failed write or sync of the log is final: all later calls of ``sync`` return the same fault.
    """

    def __init__(
        self,
        files: FileSystem,
        group: int,
        settings: StorageSettings,
        log: SegmentLog,
        recovered: RecoveredGroup,
    ) -> None:
        self._files = files
        self._group = group
        self._folder = group_folder(group)
        self._settings = settings
        self._log = log
        self._snapshots = SnapshotStore(files, self._folder, group)
        self._snapshot_lock = DeferredLock()
        self._index = recovered.log.index
        self._durable_index = self._index.last_index
        self._batch_index = self._index.last_index
        self.hard_state = recovered.log.hard_state
        self.snapshot_meta = recovered.snapshot_meta
        self._queue = WriteQueue(log, self, recovered.written)

    @property
    def first_index(self) -> int:
        """The index of the first entry of the log."""
        return self._index.base_index + 1

    @property
    def last_index(self) -> int:
        """The index of the last appended entry, durable or not."""
        return self._index.last_index

    @property
    def cached_entries(self) -> int:
        """The number of entries in the memory cache."""
        return self._index.cached_entries

    # --- writing -------------------------------------------------------------------------

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Queue entries that follow ``last_index``; raises ``ValueError`` for any others."""
        for entry in entries:
            self._index.append(entry)
            self._queue.add(PendingRecord(RecordKind.ENTRY, encode_body(entry), entry.index))

    def truncate_from(self, index: int) -> None:
        """Queue the removal of all entries from ``index`` on.

        Raises ``ValueError`` if the log starts after ``index``.
        """
        if index <= self._index.base_index:
            raise ValueError(f"entry {index} precedes the first entry of the log")
        if index > self._index.last_index:
            return
        self._index.truncate_from(index)
        self._durable_index = min(self._durable_index, index - 1)
        self._batch_index = min(self._batch_index, index - 1)
        truncation = Truncation(index, self._index.term_at(index - 1) or 0)
        self._queue.add(PendingRecord(RecordKind.TRUNCATION, encode_body(truncation), index))

    def save_hard_state(self, state: HardState) -> None:
        """Queue a new hard state; does nothing if it is unchanged."""
        if state == self.hard_state:
            return
        self.hard_state = state
        self._queue.add(PendingRecord(RecordKind.HARD_STATE, encode_body(state)))

    def sync(self) -> "Deferred[SyncResult]":
        """Make all queued writes durable; fires after the sync that covers them."""
        return self._queue.sync()

    # --- BatchObserver -------------------------------------------------------------------

    def position(self) -> LogPosition:
        """Return the position of the log including all queued writes."""
        last = self._index.last_index
        state = self.hard_state
        return LogPosition(last, self._index.term_at(last) or 0, state.term, state.voted_for)

    def batch_started(self) -> None:
        """Record the last index that the current batch covers."""
        self._batch_index = self._index.last_index

    def set_record_location(self, record: PendingRecord, sequence: int, offset: int) -> None:
        """Record the segment and offset of an entry."""
        if record.kind == RecordKind.ENTRY:
            self._index.set_location(sequence, offset)
        elif record.kind == RecordKind.TRUNCATION:
            self._index.drop_locations(record.index)

    def batch_durable(self) -> None:
        """Evict durable entries from the cache."""
        self._durable_index = self._batch_index
        self._index.shrink(self._durable_index)

    # --- reading -------------------------------------------------------------------------

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry or of the one before the first; None for any other."""
        if self.snapshot_meta is not None and index == self.snapshot_meta.last_index:
            return self.snapshot_meta.last_term
        return self._index.term_at(index)

    def entries(self, first: int, last: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries ``first..last``, at least one, up to ``max_bytes`` of payload.

        Raises ``ValueError`` for entries outside of the log and ``RainsailError`` if one can't
        be read from disk.
        """
        if not self.first_index <= first <= last <= self.last_index:
            held = f"{self.first_index}..{self.last_index}"
            raise ValueError(f"entries {first}..{last} requested, the log holds {held}")
        return _bounded(self._read_entries(first, last), max_bytes)

    def _read_entries(self, first: int, last: int) -> Iterator[LogEntry]:
        cache_first = self._index.cache_first
        if first < cache_first:
            reader = EntryReader(self._files, self._folder, self._group)
            for index in range(first, min(last, cache_first - 1) + 1):
                yield reader.read(index, *self._index.location_of(index))
        yield from self._index.cached(max(first, cache_first), last)

    # --- snapshots -----------------------------------------------------------------------

    def save_snapshot(
        self, meta: SnapshotMeta, chunks: Iterator[bytes]
    ) -> "Deferred[Result[None, Fault]]":
        """Write a snapshot durably, then drop the log up to ``meta.last_index``.

        ``chunks`` is consumed before this returns. A log without the snapshot's last entry (for a
        snapshot received from the leader) is replaced by the snapshot. A snapshot that is not
        newer than the current one is ignored. A full disk is a fault that leaves the log usable;
        a failed sync is final.
        """
        if self._queue.fault is not None:
            return succeed(Error(self._queue.fault))
        written = self._snapshots.write_temporary(meta, chunks)
        if written.is_error():
            return succeed(Error(written.error))
        return self._snapshot_lock.run(self._finish_snapshot, written.ok)

    def _finish_snapshot(self, written: TemporarySnapshot) -> "Deferred[SyncResult]":
        return Deferred.fromCoroutine(self._publish(written)).addCallback(self._record_failure)

    def _record_failure(self, result: SyncResult) -> SyncResult:
        if result.is_error():
            self._queue.fail(result.error)
        return result

    async def _publish(self, written: TemporarySnapshot) -> SyncResult:
        current = self.snapshot_meta
        if current is not None and current.last_index >= written.meta.last_index:
            self._snapshots.discard(written)
            return Ok(None)
        published = await self._snapshots.publish(written)
        if published.is_error():
            return published
        flushed = await self._queue.sync()
        if flushed.is_error():
            return flushed
        self._install_snapshot(written.meta)
        reset = await self._queue.sync()
        if reset.is_error():
            return reset
        return await self._remove_old_files()

    def _install_snapshot(self, meta: SnapshotMeta) -> None:
        self.snapshot_meta = meta
        if self._index.term_at(meta.last_index) == meta.last_term:
            self._index.retain_after(meta.last_index, self._settings.retained_entries)
            return
        self._queue.drop_entries()
        self._index.reset(meta.last_index, meta.last_term)
        self._durable_index = self._batch_index = meta.last_index
        self._queue_reset(meta)

    def _queue_reset(self, meta: SnapshotMeta) -> None:
        reset = Reset(meta.last_index, meta.last_term)
        self._queue.add(PendingRecord(RecordKind.RESET, encode_body(reset)))

    async def _remove_old_files(self) -> SyncResult:
        assert self.snapshot_meta is not None
        try:
            self._snapshots.remove_older(self.snapshot_meta.last_index)
            self._log.remove_until(self._index.base_index)
        except OSError as error:
            return Error(storage_fault("compact", self._folder, str(error)))
        return await self._files.sync_folder(self._folder)

    async def clean_up(self, needs_reset: bool) -> SyncResult:
        """Complete or remove operations that a crash interrupted; called once, at opening."""
        if needs_reset and self.snapshot_meta is not None:
            self._queue_reset(self.snapshot_meta)
            reset = await self._queue.sync()
            if reset.is_error():
                return reset
        try:
            self._snapshots.remove_temporary()
            self._log.remove_stale_segments()
        except OSError as error:
            return Error(storage_fault("open", self._folder, str(error)))
        if self.snapshot_meta is None:
            return Ok(None)
        return await self._remove_old_files()

    def read_snapshot(self) -> Iterator[SnapshotPiece]:
        """Yield the chunks of the current snapshot and their checksum; nothing without a snapshot.

        Raises ``RainsailError`` if the file is damaged or was replaced by a newer snapshot.
        """
        if self.snapshot_meta is None:
            return iter(())
        return self._snapshots.read(self.snapshot_meta)

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
    """Open a group's durable state, creating it if it does not exist.

    A torn tail is truncated and the files of an interrupted snapshot are removed. Any other damage
    is a STORAGE fault that names the file and the offset.
    """
    return Deferred.fromCoroutine(_open(files, group, settings))


async def _open(
    files: FileSystem, group: int, settings: StorageSettings
) -> Result[DurableGroupStorage, Fault]:
    recovered = recover_group(files, group, settings)
    if recovered.is_error():
        return Error(recovered.error)
    found = recovered.ok
    log = SegmentLog(files, group_folder(group), group, settings.segment_bytes)
    adopted = await log.adopt(found.segments, found.log.highest_indexes)
    if adopted.is_error():
        return Error(adopted.error)
    storage = DurableGroupStorage(files, group, settings, log, found)
    cleaned = await storage.clean_up(found.log.needs_reset)
    if cleaned.is_error():
        return Error(cleaned.error)
    return Ok(storage)
