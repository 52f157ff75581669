"""A controller's durable copy of the committed state, served to nodes right after a restart.

After a power loss of the whole fleet a controller can read its log, but it learns how far the log
is committed only when the group has elected a leader. State that it had applied earlier is
certainly committed, so it may be served at once: a node that has just started knows nothing newer.
A controller outside the group receives the state from its members. The copy is written after the
state is committed, so it may lag behind but is never ahead.
"""

from dataclasses import dataclass

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.messages import TableDocument
from rainsail.cluster.zone_drains import KnownZoneDrains
from rainsail.errors import Fault
from rainsail.logs import logger
from rainsail.quarantine.view import QuarantineView
from rainsail.state.cluster_commands import NO_QUARANTINE, Quarantine, ZoneDrain
from rainsail.storage.file_replacement import replace_file
from rainsail.storage.interface import FileSystem
from rainsail.storage.records import RecordKind, encode_record, scan
from rainsail.wire.codec import CodecError, decode_body, encode_body, wire_record

PATH = "committed/copy"
NO_GROUP = 0


@wire_record("CommittedCopy")
@dataclass(frozen=True, slots=True)
class CommittedCopy:
    """The routing table (version 0: none), the zone drain orders and the held requests."""

    version: int
    content: bytes
    zone_drains: tuple[ZoneDrain, ...]
    quarantine: Quarantine = NO_QUARANTINE


NOTHING = CommittedCopy(0, b"", ())


class CommittedCopies:
    """Holds the newest committed state: read from disk, applied here or received from others."""

    def __init__(
        self,
        files: FileSystem,
        state: FleetState,
        drains: KnownZoneDrains,
        quarantine: QuarantineView,
    ) -> None:
        """``drains`` and ``quarantine`` hold what this controller has learned so far."""
        self._files = files
        self._state = state
        self._drains = drains
        self._quarantine = quarantine
        self._received = TableDocument(0, b"")
        self._written = NOTHING
        self._writing = False

    def load(self) -> CommittedCopy:
        """Read the copy and return it.

        Without a readable copy, nodes get no state until the group has elected a leader.
        """
        try:
            if not self._files.exists(PATH):
                return NOTHING
            scanned = scan(self._files.read(PATH), NO_GROUP)
            if scanned.records:
                self._written = decode_body(CommittedCopy, scanned.records[0].body)
            if scanned.damage is not None:
                logger.bind(reason=scanned.damage.reason).warning("committed_copy_unreadable")
        except (OSError, CodecError) as error:
            logger.bind(reason=str(error)).warning("committed_copy_unreadable")
        self._received = TableDocument(self._written.version, self._written.content)
        return self._written

    def note_table(self, document: TableDocument) -> None:
        """Take a table received from another controller."""
        if document.version > self._received.version:
            self._received = document
            self.changed()

    @property
    def version(self) -> int:
        """The version of the newest table known to be committed, 0 for none."""
        return max(self._state.version, self._received.version)

    @property
    def content(self) -> bytes:
        """The content of that table."""
        ahead = self._received.version > self._state.version
        return self._received.content if ahead else self._state.content

    def changed(self) -> None:
        """Write the current state unless it is on disk already; one write at a time."""
        copy = CommittedCopy(
            self.version, self.content, self._drains.orders(), self._quarantine.current
        )
        if self._writing or copy == self._written:
            return
        self._writing = True
        Deferred.fromCoroutine(self._write(copy)).addCallback(self._end, copy)

    async def _write(self, copy: CommittedCopy) -> Result[None, Fault]:
        content = encode_record(NO_GROUP, RecordKind.COMMITTED_COPY, encode_body(copy))
        return await replace_file(self._files, PATH, content, "cluster.committed_copy")

    def _end(self, result: Result[None, Fault], copy: CommittedCopy) -> None:
        """Write what was applied in the meantime; after a fault, the next change retries."""
        self._writing = False
        if result.is_error():
            logger.bind(fault=str(result.error)).warning("committed_copy_not_written")
            return
        self._written = copy
        self.changed()
