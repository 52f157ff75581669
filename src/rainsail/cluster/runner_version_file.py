"""A controller's copy on disk of the runners' software versions.

After a loss of all power the versions of most runners would be unknown until they report, while
clients resume the streams that the loss broke off. The file is apart from the journal of runners,
whose records earlier versions read. It is rewritten a little after a change; an older copy is as
good as none for the runners that it lacks.
"""

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.cluster.runner_versions import RunnerVersionPage, RunnerVersionTable
from rainsail.errors import Fault
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.storage.file_replacement import replace_file
from rainsail.storage.interface import FileSystem
from rainsail.storage.records import RecordKind, encode_record, scan
from rainsail.wire.codec import CodecError, decode_body, encode_body

PATH = "runners/versions"
NO_GROUP = 0
WRITE_AFTER_S = 0.5
"""Changes within this time are written together, as when many runners start at once."""


class RunnerVersionFile:
    """Reads and writes the versions of one controller's registry."""

    def __init__(self, files: FileSystem, clock: Clock, table: RunnerVersionTable) -> None:
        self._files = files
        self._clock = clock
        self._table = table
        self._written_revision = 0
        self._is_planned = False

    def load(self) -> None:
        """Put the versions on disk into the table; without a readable file there are none."""
        try:
            if not self._files.exists(PATH):
                return
            scanned = scan(self._files.read(PATH), NO_GROUP)
            for record in scanned.records[:1]:
                page: RunnerVersionPage = decode_body(RunnerVersionPage, record.body)
                for version in page.versions:
                    self._table.take(version)
            if scanned.damage is not None:
                logger.bind(reason=scanned.damage.reason).warning("runner_versions_unreadable")
        except (OSError, CodecError) as error:
            logger.bind(reason=str(error)).warning("runner_versions_unreadable")
        self._written_revision = self._table.revision

    def changed(self) -> None:
        """Plan to write the table if it has changed since it was written."""
        if self._is_planned or self._table.revision == self._written_revision:
            return
        self._is_planned = True
        self._clock.callLater(WRITE_AFTER_S, self._begin)

    def _begin(self) -> None:
        revision, page = self._table.revision, RunnerVersionPage(self._table.all())
        Deferred.fromCoroutine(self._write(page)).addCallback(self._end, revision)

    async def _write(self, page: RunnerVersionPage) -> Result[None, Fault]:
        content = encode_record(NO_GROUP, RecordKind.RUNNER_VERSIONS, encode_body(page))
        return await replace_file(self._files, PATH, content, "cluster.runner_version_file")

    def _end(self, result: Result[None, Fault], revision: int) -> None:
        """Write what has changed meanwhile; after a fault the next change retries."""
        self._is_planned = False
        if result.is_error():
            logger.bind(fault=str(result.error)).warning("runner_versions_not_written")
            return
        self._written_revision = revision
        self.changed()
