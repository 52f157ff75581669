"""``rainsail storage``: reads a replica's data folder offline, without changing it."""

import dataclasses
from pathlib import Path
from typing import Any

from rainsail.cli.exit_codes import CommandEnd, ExitCode, bad_input
from rainsail.cli.output import check_format, print_json, print_rows
from rainsail.errors import Fault
from rainsail.storage.inspection import (
    FileReport,
    FolderReport,
    GroupReport,
    inspect_folder,
    is_data_folder,
)
from rainsail.storage.local_files import LocalFileSystem

_FILE_COLUMNS = ("group", "path", "size_bytes", "records", "torn_bytes", "state")


class StorageCommands:
    """Reads the data folder of a stopped replica."""

    def inspect(self, folder: str, output: str = "table") -> None:
        """Show a data folder's identity, groups and files.

        Exit code 0 when nothing is damaged, 1 when something is, 2 when FOLDER is not a data
        folder. An incomplete record at the end of a log (a torn write) doesn't count as damage:
        the replica truncates it when it starts.
        """
        check_format(output)
        report = _read(folder)
        if output == "json":
            print_json(_as_json(report))
        else:
            _print_tables(report)
        _fail_if_damaged(report)

    def verify(self, folder: str) -> None:
        """Check every record of a data folder; print one line per fault found.

        Exit code 0 when nothing is damaged, 1 when something is, 2 when FOLDER is not a data
        folder.
        """
        report = _read(folder)
        for fault in report.faults:
            print(f"damaged: {fault.detail}")
        if not report.faults:
            files = sum(len(group.files) for group in report.groups)
            print(f"sound: {len(report.groups)} groups, {files} files")
        _fail_if_damaged(report)


def _read(folder: str) -> FolderReport:
    path = Path(str(folder))
    if not path.is_dir():
        raise bad_input(f"{folder}: no such folder")
    files = LocalFileSystem(path, reactor=None)
    try:
        if not is_data_folder(files):
            raise bad_input(f"{folder}: not a data folder: no identity file and no groups")
        return inspect_folder(files)
    except OSError as error:
        raise bad_input(f"{folder}: {error}") from error


def _fail_if_damaged(report: FolderReport) -> None:
    if report.faults:
        raise CommandEnd(ExitCode.FAILED)


def _state(file: FileReport) -> str:
    return "sound" if file.fault is None else file.fault.detail


def _fault_as_json(fault: Fault) -> dict[str, str]:
    return {"step": fault.step, "detail": fault.detail}


def _group_as_json(group: GroupReport) -> dict[str, Any]:
    snapshot = group.snapshot
    return {
        "group": group.group,
        "first_index": group.first_index,
        "last_index": group.last_index,
        "last_term": group.last_term,
        "hard_state": dataclasses.asdict(group.hard_state),
        "snapshot": snapshot and {"index": snapshot.last_index, "term": snapshot.last_term},
        "interrupted_snapshots": group.interrupted_snapshots,
        "files": [_file_row(group, file) for file in group.files],
    }


def _as_json(report: FolderReport) -> dict[str, Any]:
    return {
        "identity": report.identity and dataclasses.asdict(report.identity),
        "groups": [_group_as_json(group) for group in report.groups],
        "faults": [_fault_as_json(fault) for fault in report.faults],
    }


def _file_row(group: GroupReport, file: FileReport) -> dict[str, Any]:
    return {
        "group": group.group,
        "path": file.path,
        "size_bytes": file.size_bytes,
        "records": file.records,
        "torn_bytes": file.torn_bytes,
        "state": _state(file),
    }


def _print_tables(report: FolderReport) -> None:
    if report.identity is not None:
        owner = report.identity
        print(f"fleet {owner.fleet}, replica {owner.replica}, identity {owner.identity}")
    for group in report.groups:
        print(
            f"group {group.group}: entries {group.first_index}..{group.last_index}, "
            f"term {group.hard_state.term}, "
            f"snapshot {group.snapshot.last_index if group.snapshot else 'none'}"
        )
    rows = [_file_row(group, file) for group in report.groups for file in group.files]
    print_rows(rows, _FILE_COLUMNS, "table")
    for fault in report.faults:
        print(f"damaged: {fault.detail}")
