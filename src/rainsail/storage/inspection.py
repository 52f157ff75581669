"""Reads a data folder offline, without changing it, and reports its contents."""

from dataclasses import dataclass

from rainsail.errors import Fault, RainsailError
from rainsail.storage.faults import storage_fault
from rainsail.storage.identity import IDENTITY_PATH, DataFolderRecord, read_identity
from rainsail.storage.interface import FileSystem, HardState, SnapshotMeta
from rainsail.storage.recovery import GROUP_PREFIX, group_folder, recover_group
from rainsail.storage.segment_scan import (
    ScannedSegment,
    list_segments,
    newest_contiguous,
    scan_segment,
    segment_path,
)
from rainsail.storage.settings import StorageSettings
from rainsail.storage.snapshot_store import (
    TEMPORARY_SUFFIX,
    list_snapshots,
    snapshot_name,
    verify_snapshot,
)

_NO_CACHE = StorageSettings(cache_bytes=0)


@dataclass(frozen=True, slots=True)
class FileReport:
    """One segment or snapshot; a start of the replica truncates ``torn_bytes`` at its end."""

    path: str
    size_bytes: int
    records: int
    torn_bytes: int
    fault: Fault | None


@dataclass(frozen=True, slots=True)
class GroupReport:
    """One group: its files and, if they are valid, the state of its log."""

    group: int
    files: tuple[FileReport, ...]
    first_index: int
    last_index: int
    last_term: int
    hard_state: HardState
    snapshot: SnapshotMeta | None
    interrupted_snapshots: int
    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class FolderReport:
    """A whole data folder. It is valid if ``faults`` is empty."""

    identity: DataFolderRecord | None
    groups: tuple[GroupReport, ...]
    faults: tuple[Fault, ...]


def is_data_folder(files: FileSystem) -> bool:
    """Return whether a folder looks like a replica's data folder."""
    return files.exists(IDENTITY_PATH) or bool(_group_numbers(files))


def inspect_folder(files: FileSystem) -> FolderReport:
    """Read and check all files of a data folder."""
    identity, faults = _read_identity(files)
    groups = tuple(inspect_group(files, group) for group in _group_numbers(files))
    for report in groups:
        faults += report.faults
    return FolderReport(identity, groups, faults)


def _group_numbers(files: FileSystem) -> list[int]:
    names = [name for name in files.list("") if name.startswith(GROUP_PREFIX)]
    numbers = [name.removeprefix(GROUP_PREFIX) for name in names]
    return sorted(int(number) for number in numbers if number.isascii() and number.isdigit())


def _read_identity(files: FileSystem) -> tuple[DataFolderRecord | None, tuple[Fault, ...]]:
    try:
        read = read_identity(files)
    except OSError as error:
        return None, (storage_fault("identity", IDENTITY_PATH, str(error)),)
    if read.is_error():
        return None, (read.error,)
    return read.ok, ()


def inspect_group(files: FileSystem, group: int) -> GroupReport:
    """Read one group's files one by one, then check that they are consistent."""
    folder = group_folder(group)
    reports = [*_snapshot_reports(files, folder, group), *_segment_reports(files, folder, group)]
    faults = tuple(report.fault for report in reports if report.fault is not None)
    parts = sum(name.endswith(TEMPORARY_SUFFIX) for name in files.list(folder))
    recovered = recover_group(files, group, _NO_CACHE)
    if recovered.is_error():
        faults = faults or (recovered.error,)
        return GroupReport(group, tuple(reports), 0, 0, 0, HardState(0, ""), None, parts, faults)
    log = recovered.ok.log
    return GroupReport(
        group=group,
        files=tuple(reports),
        first_index=log.index.base_index + 1,
        last_index=log.index.last_index,
        last_term=log.index.term_at(log.index.last_index) or 0,
        hard_state=log.hard_state,
        snapshot=recovered.ok.snapshot_meta,
        interrupted_snapshots=parts,
        faults=faults,
    )


def _snapshot_reports(files: FileSystem, folder: str, group: int) -> list[FileReport]:
    reports = []
    for last_index in list_snapshots(files, folder):
        path = f"{folder}/{snapshot_name(last_index)}"
        fault = None
        try:
            verify_snapshot(files, path, group)
        except RainsailError as error:
            fault = error.fault
        reports.append(FileReport(path, len(files.read(path)), 0, 0, fault))
    return reports


def _segment_reports(files: FileSystem, folder: str, group: int) -> list[FileReport]:
    sequences = newest_contiguous(list_segments(files, folder))
    return [
        _segment_report(files, folder, group, sequence, sequence == sequences[-1])
        for sequence in sequences
    ]


def _segment_report(
    files: FileSystem, folder: str, group: int, sequence: int, is_last: bool
) -> FileReport:
    path = segment_path(folder, sequence)
    scanned = scan_segment(files, folder, group, sequence, is_last)
    size = len(files.read(path))
    if scanned.is_error():
        return FileReport(path, size, 0, 0, scanned.error)
    segment: ScannedSegment | None = scanned.ok
    if segment is None:
        return FileReport(path, size, 0, size, None)
    return FileReport(path, size, len(segment.records) + 1, segment.torn_bytes, None)
