"""Reads a group's folder at opening: newest snapshot and segments, checked for consistency."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from rainsail.errors import Fault
from rainsail.storage.faults import storage_fault
from rainsail.storage.interface import FileSystem, SnapshotMeta
from rainsail.storage.log_records import LogPosition
from rainsail.storage.log_replay import ReplayedLog, replay_segments
from rainsail.storage.segment_scan import ScannedSegment, scan_segments
from rainsail.storage.settings import StorageSettings
from rainsail.storage.snapshot_store import SnapshotStore

GROUP_PREFIX = "group-"


@dataclass(frozen=True, slots=True)
class RecoveredGroup:
    """Contents of a group's folder; ``written`` is the log position of the segments alone."""

    segments: list[ScannedSegment]
    written: LogPosition
    log: ReplayedLog
    snapshot_meta: SnapshotMeta | None


def group_folder(group: int) -> str:
    """Return the folder of a group inside the data folder."""
    return f"{GROUP_PREFIX}{group}"


def recover_group(
    files: FileSystem, group: int, settings: StorageSettings
) -> Result[RecoveredGroup, Fault]:
    """Read a group's folder without changing it."""
    folder = group_folder(group)
    snapshot = SnapshotStore(files, folder, group).find_newest()
    if snapshot.is_error():
        return Error(snapshot.error)
    scanned = scan_segments(files, folder, group)
    if scanned.is_error():
        return Error(scanned.error)
    replayed = replay_segments(scanned.ok, settings.cache_bytes)
    if replayed.is_error():
        return Error(replayed.error)
    written = replayed.ok.position()
    if not replayed.ok.align_to_snapshot(snapshot.ok, settings.retained_entries):
        return Error(_gap_fault(replayed.ok, scanned.ok, snapshot.ok, folder))
    return Ok(RecoveredGroup(scanned.ok, written, replayed.ok, snapshot.ok))


def _gap_fault(
    log: ReplayedLog, segments: list[ScannedSegment], meta: SnapshotMeta | None, folder: str
) -> Fault:
    first = segments[0].path if segments else folder
    reached = "there is no snapshot" if meta is None else f"the snapshot ends at {meta.last_index}"
    return storage_fault(
        "open", first, f"log begins at {log.index.base_index + 1}, but {reached}", 0
    )
