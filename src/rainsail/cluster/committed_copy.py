"""A controller's copy of what it has last applied, to tell nodes of right after a start.

After a loss of all power a controller knows its log, but what of it is committed only once the
group has a leader again. What it had applied before was committed, so it may tell nodes of that at
once: a node that starts knows nothing newer. The copy is written after it counts, so it may lag; it
never runs ahead.
"""

from dataclasses import dataclass

from expression import Error, Result
from twisted.internet.defer import Deferred

from rainsail.cluster.fleet_state import FleetState
from rainsail.errors import Fault, FaultCode
from rainsail.logs import logger
from rainsail.state.cluster_commands import ZoneDrain
from rainsail.storage.interface import FileSystem
from rainsail.storage.records import RecordKind, encode_record, scan
from rainsail.wire.codec import CodecError, decode_body, encode_body, wire_record

FOLDER = "committed"
PATH = f"{FOLDER}/copy"
NEW_PATH = f"{FOLDER}/copy.new"
NO_GROUP = 0


@wire_record
@dataclass(frozen=True, slots=True)
class CommittedCopy:
    """The routing table (version 0: none) and the newest order on each zone."""

    version: int
    content: bytes
    zone_drains: tuple[ZoneDrain, ...]


NOTHING = CommittedCopy(0, b"", ())


class CommittedCopies:
    """Keeps the copy on disk, and answers from it until the state itself has come as far."""

    def __init__(self, files: FileSystem, state: FleetState) -> None:
        self._files = files
        self._state = state
        self._loaded = NOTHING
        self._written = NOTHING
        self._writing = False

    def load(self) -> None:
        """Read the copy; without one that can be read nothing is told before the group leads."""
        try:
            if not self._files.exists(PATH):
                return
            records = scan(self._files.read(PATH), NO_GROUP).records
            if records:
                self._loaded = self._written = decode_body(CommittedCopy, records[0].body)
        except (OSError, CodecError) as error:
            logger.bind(reason=str(error)).warning("committed_copy_unreadable")

    @property
    def version(self) -> int:
        """The version of the newest table that is surely committed, 0 for none."""
        return max(self._state.version, self._loaded.version)

    @property
    def content(self) -> bytes:
        """The content of that table."""
        ahead = self._loaded.version > self._state.version
        return self._loaded.content if ahead else self._state.content

    @property
    def zone_drains(self) -> tuple[ZoneDrain, ...]:
        """Orders that are surely committed; nodes take the newest on each zone."""
        return (*self._loaded.zone_drains, *self._state.zone_drains())

    def applied(self) -> None:
        """Write what is applied now, unless that has been done; one writing at a time."""
        state = self._state
        copy = CommittedCopy(state.version, state.content, state.zone_drains())
        behind = state.version < self._written.version
        if self._writing or behind or copy == self._written:
            return
        self._writing = True
        Deferred.fromCoroutine(self._write(copy)).addCallback(self._end, copy)

    async def _write(self, copy: CommittedCopy) -> Result[None, Fault]:
        try:
            file = self._files.open(NEW_PATH)
            try:
                file.truncate(0)
                file.append(encode_record(NO_GROUP, RecordKind.COMMITTED_COPY, encode_body(copy)))
                synced = await file.sync()
            finally:
                file.close()
            if synced.is_error():
                return Error(synced.error)
            self._files.rename(NEW_PATH, PATH)
            return await self._files.sync_folder(FOLDER)
        except OSError as error:
            return Error(Fault(FaultCode.STORAGE, "cluster.committed_copy", str(error)))

    def _end(self, result: Result[None, Fault], copy: CommittedCopy) -> None:
        """Go on with what was applied meanwhile; after a fault the next change tries again."""
        self._writing = False
        if result.is_error():
            logger.bind(fault=str(result.error)).warning("committed_copy_not_written")
            return
        self._written = copy
        self.applied()
