"""A controller's copy on disk of the service versions that gateways have shared with it.

A controller that has acknowledged a version counts for a quorum that knows it, also after a
restart, so the file is written before the acknowledgement.
"""

from collections.abc import Iterable

from expression import Result

from rainsail.cluster.service_versions import ServiceVersions, ShareServiceVersions
from rainsail.errors import Fault
from rainsail.logs import logger
from rainsail.storage.file_replacement import replace_file
from rainsail.storage.interface import FileSystem
from rainsail.storage.records import RecordKind, encode_record, scan
from rainsail.wire.codec import CodecError, decode_body, encode_body

PATH = "runners/service_versions"
NO_GROUP = 0
STEP = "cluster.service_version_file"


class ServiceVersionFile:
    """Implements ``rainsail.cluster.service_versions.SharedVersionStore``."""

    def __init__(self, files: FileSystem) -> None:
        self._files = files

    def load(self) -> tuple[tuple[str, str], ...]:
        """Return the services and versions on disk; none without a readable file."""
        try:
            if not self._files.exists(PATH):
                return ()
            scanned = scan(self._files.read(PATH), NO_GROUP)
            if scanned.damage is not None or not scanned.records:
                reason = "empty" if scanned.damage is None else scanned.damage.reason
                logger.bind(reason=reason).warning("service_versions_unreadable")
                return ()
            page: ShareServiceVersions = decode_body(ShareServiceVersions, scanned.records[0].body)
        except (OSError, CodecError) as error:
            logger.bind(reason=str(error)).warning("service_versions_unreadable")
            return ()
        return tuple((each.service, version) for each in page.services for version in each.versions)

    async def write(self, pairs: Iterable[tuple[str, str]]) -> Result[None, Fault]:
        """Replace what is on disk; done once it is synced."""
        page = ShareServiceVersions(
            tuple(ServiceVersions(service, (version,)) for service, version in pairs)
        )
        content = encode_record(NO_GROUP, RecordKind.RUNNER_VERSIONS, encode_body(page))
        return await replace_file(self._files, PATH, content, STEP)
