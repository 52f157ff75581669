"""Durable journal of a controller's runner records, so that it knows them right after a restart.

Runners report about once a second. After a power loss of the whole fleet most of them would be
unknown for that long, just when all clients reconnect. The journal is a file of records; the last
record of a runner counts. A report that a runner drains or is gone is synced before it is
acknowledged, so that no controller of a quorum considers the runner ready after a restart. Other
reports are synced a little later; lost ones are replaced by the runner's next report.

A file that has grown too large, or that a write to has failed, is rewritten from the registry.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from expression import Error, Result
from twisted.internet.defer import Deferred

from rainsail.cluster.messages import RunnerRecord
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.storage.interface import File, FileSystem
from rainsail.storage.records import (
    Record,
    RecordKind,
    encode_record,
    is_torn_tail,
    records_after,
    scan,
)
from rainsail.wire.codec import CodecError, decode_body, encode_body, wire_record

FOLDER = "runners"
PATH = f"{FOLDER}/journal"
REWRITTEN_PATH = f"{FOLDER}/journal.new"
NO_GROUP = 0
SYNC_AFTER_S = 0.5
"""Reports without a pending acknowledgement are synced this long after the first of them."""
MIN_REWRITE_BYTES = 256 * 1024
REWRITE_GROWTH_FACTOR = 4
"""The journal is rewritten once it exceeds its size after the last rewrite by this factor."""


@wire_record("JournaledRunner")
@dataclass(frozen=True, slots=True)
class JournaledRunner:
    """A runner's record, with the wall-clock end of its warm-up (seconds since 1970)."""

    record: RunnerRecord
    warm_at_unix_s: float


class RunnerJournal:
    """The journal of one controller."""

    def __init__(
        self,
        files: FileSystem,
        clock: Clock,
        unix_seconds: Callable[[], float],
        records: Callable[[], Iterable[RunnerRecord]],
    ) -> None:
        """``records`` returns the records of all runners, ``unix_seconds`` the wall-clock time."""
        self._files = files
        self._clock = clock
        self._unix_seconds = unix_seconds
        self._records = records
        self._file: File | None = None
        self._busy = False
        self._planned = False
        self._stale = False
        self._rewritten_bytes = 0
        self._waiting: list[Deferred[Result[None, Fault]]] = []

    def load(self) -> list[RunnerRecord]:
        """Return the runners in the journal, oldest report first; none if it cannot be read.

        The journal is rewritten with the next report.
        """
        self._stale = True
        try:
            data = self._files.read(PATH) if self._files.exists(PATH) else b""
            entries = [decode_body(JournaledRunner, each.body) for each in _readable_records(data)]
        except (OSError, CodecError) as error:
            logger.bind(reason=str(error)).warning("runner_journal_unreadable")
            return []
        now = self._unix_seconds()
        return [
            replace(
                each.record,
                warm_up_left_s=min(each.record.warm_up_left_s, max(0.0, each.warm_at_unix_s - now)),
            )
            for each in entries
        ]

    def note(self, records: Iterable[RunnerRecord]) -> None:
        """Append runners' records, to be synced a little later."""
        if not self._stale:
            self._append(self._encoded(records))
        if not self._planned:
            self._planned = True
            self._clock.callLater(SYNC_AFTER_S, self._sync_planned)

    def sync(self) -> "Deferred[Result[None, Fault]]":
        """Sync everything appended so far; the result is a fault if that failed."""
        done: Deferred[Result[None, Fault]] = Deferred()
        self._waiting.append(done)
        self._begin()
        return done

    def _sync_planned(self) -> None:
        self._planned = False
        self.sync()

    def _begin(self) -> None:
        if self._busy or not self._waiting:
            return
        self._busy = True
        waiting, self._waiting = self._waiting, []
        Deferred.fromCoroutine(self._make_durable()).addCallback(self._end, waiting)

    def _end(
        self, result: Result[None, Fault], waiting: "list[Deferred[Result[None, Fault]]]"
    ) -> None:
        self._busy = False
        if result.is_error():
            self._stale = True
            logger.bind(fault=str(result.error)).warning("runner_journal_not_written")
        for done in waiting:
            done.callback(result)
        self._begin()

    async def _make_durable(self) -> Result[None, Fault]:
        try:
            if self._stale or self._has_grown():
                return await self._rewrite()
            assert self._file is not None
            return await self._file.sync()
        except OSError as error:
            return Error(_fault(str(error)))

    def _has_grown(self) -> bool:
        assert self._file is not None
        limit = max(MIN_REWRITE_BYTES, REWRITE_GROWTH_FACTOR * self._rewritten_bytes)
        return self._file.size() > limit

    async def _rewrite(self) -> Result[None, Fault]:
        """Write a new file next to the old one and rename it into place once it is synced."""
        file = self._files.open(REWRITTEN_PATH)
        file.truncate(0)
        former, self._file, self._stale = self._file, file, False
        if former is not None:
            former.close()
        content = self._encoded(self._records())
        self._rewritten_bytes = len(content)
        file.append(content)
        synced = await file.sync()
        if synced.is_error():
            return Error(synced.error)
        self._files.rename(REWRITTEN_PATH, PATH)
        return await self._files.sync_folder(FOLDER)

    def _append(self, data: bytes) -> None:
        assert self._file is not None
        try:
            self._file.append(data)
        except OSError as error:
            self._stale = True
            logger.bind(reason=str(error)).warning("runner_journal_not_written")

    def _encoded(self, records: Iterable[RunnerRecord]) -> bytes:
        now = self._unix_seconds()
        return b"".join(
            encode_record(
                NO_GROUP,
                RecordKind.RUNNER,
                encode_body(JournaledRunner(record, now + record.warm_up_left_s)),
            )
            for record in records
        )


def _readable_records(data: bytes) -> Iterator[Record]:
    """Yield the readable records; a damaged record loses only itself, not the ones behind it.

    Those may include an acknowledged report that a runner drains or is gone. A torn tail is what a
    power loss leaves of reports that were not synced yet.
    """
    scanned = scan(data, NO_GROUP)
    yield from scanned.records
    damage = scanned.damage
    if damage is None:
        return
    behind = list(records_after(data, damage.offset, NO_GROUP))
    log = logger.bind(offset=damage.offset, reason=damage.reason, bytes=len(data))
    log = log.bind(read_before=len(scanned.records), read_behind=len(behind))
    if behind or not is_torn_tail(data, damage, NO_GROUP):
        log.warning("runner_journal_damaged")
    else:
        log.info("runner_journal_torn")
    yield from behind


def _fault(detail: str) -> Fault:
    return Fault(FaultCode.STORAGE, "cluster.runner_journal", detail, outcome=Outcome.UNKNOWN)
