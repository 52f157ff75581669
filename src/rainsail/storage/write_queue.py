"""Group commit: queues records and writes them in batches, with one sync per batch.

Records added while a sync is running go into the next batch. A failed write or sync is final: all
later calls return the same fault, because the content of the disk is unknown after it.
"""

from typing import Protocol

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.errors import Fault
from rainsail.storage.log_records import LogPosition
from rainsail.storage.records import RecordKind
from rainsail.storage.segment_log import PendingRecord, SegmentLog

SyncResult = Result[None, Fault]


class BatchObserver(Protocol):
    """Callbacks of the queue to the owner of the log."""

    def position(self) -> LogPosition:
        """Return the position of the log including all queued writes."""
        ...

    def batch_started(self) -> None:
        """Called when the queue starts to write everything queued so far."""
        ...

    def set_record_location(self, record: PendingRecord, sequence: int, offset: int) -> None:
        """Called with the segment and offset of a record."""
        ...

    def batch_durable(self) -> None:
        """Called when the batch is durable."""
        ...


class WriteQueue:
    """The queued records and the callers that wait for their sync.

    ``written`` is the position of the log on disk.
    """

    def __init__(self, log: SegmentLog, observer: BatchObserver, written: LogPosition) -> None:
        self._log = log
        self._observer = observer
        self._written = written
        self._pending: list[PendingRecord] = []
        self._waiters: list[Deferred[SyncResult]] = []
        self._in_flight: list[Deferred[SyncResult]] | None = None
        self._is_writing = False
        self.fault: Fault | None = None

    def add(self, record: PendingRecord) -> None:
        """Queue a record."""
        self._pending.append(record)

    def drop_entries(self) -> None:
        """Remove queued entries and truncations; queued hard states stay."""
        self._pending = [each for each in self._pending if each.kind == RecordKind.HARD_STATE]

    def fail(self, fault: Fault) -> None:
        """Make all later calls return ``fault``; for disk failures outside of the queue."""
        if self.fault is None:
            self.fault = fault

    def sync(self) -> "Deferred[SyncResult]":
        """Return a Deferred that fires when everything queued so far is durable."""
        if self.fault is not None:
            return succeed(Error(self.fault))
        waiter: Deferred[SyncResult] = Deferred()
        if self._pending:
            self._waiters.append(waiter)
        elif self._in_flight is not None:
            self._in_flight.append(waiter)
        else:
            return succeed(Ok(None))
        if not self._is_writing:
            Deferred.fromCoroutine(self._write_batches())
        return waiter

    async def _write_batches(self) -> None:
        self._is_writing = True
        while self._waiters:
            waiters, self._waiters = self._waiters, []
            self._in_flight = waiters
            result = await self._write_batch()
            self._in_flight = None
            if result.is_error():
                self.fail(result.error)
                waiters += self._waiters
                self._waiters = []
            for waiter in waiters:
                waiter.callback(result)
        self._is_writing = False

    async def _write_batch(self) -> SyncResult:
        if self.fault is not None:
            return Error(self.fault)
        batch, self._pending = self._pending, []
        before = self._written
        self._written = self._observer.position()
        self._observer.batch_started()
        result = await self._log.write(batch, before, self._observer.set_record_location)
        if result.is_error():
            return result
        self._observer.batch_durable()
        if self._pending:
            return result
        return self._log.mark_durable()
