"""Steps on data folders written by earlier versions."""

import tempfile
from pathlib import Path
from typing import get_args

from behave import given, then, when
from features.support.compatibility_folders import (
    FOLDERS,
    KINDS,
    UNIX_SECONDS,
    ReadFolder,
    write_data_folders,
)
from features.support.compatibility_views import (
    fleet_view,
    job_view,
    native_view,
    quarantine_view,
    runner_view,
)

from rainsail.cluster.committed_copy import CommittedCopies
from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.runner_journal import RunnerJournal
from rainsail.cluster.runner_version_file import RunnerVersionFile
from rainsail.cluster.runner_versions import RunnerVersionTable
from rainsail.cluster.zone_drains import KnownZoneDrains
from rainsail.quarantine.view import QuarantineView
from rainsail.simulation.clock import VirtualClock
from rainsail.state.commands import Command
from rainsail.state.fleet_commands import FleetCommand
from rainsail.state.snapshot import SnapshotRecord, decode_parts
from rainsail.storage.records import RecordKind, scan

VIEWS = {
    "native-replica": native_view,
    "relaying-controller": fleet_view,
    "relaying-storage": job_view,
}


def _read(context, name):
    folder = ReadFolder(KINDS[name])
    context.add_cleanup(folder.close)
    return folder


def _check_lines(found, expected):
    lines = expected.strip().splitlines()
    assert found == lines, "read:\n" + "\n".join(found)


@given('a copy of the kept data folder "{name}"')
def step_copy(context, name):
    context.read_folder = _read(context, name)


@when("this version opens the folder")
def step_open(context):
    context.identity = context.read_folder.load_identity()
    context.groups = {group.group.number: group for group in context.read_folder.open_groups()}


@then('the folder keeps its identity "{identity}"')
def step_identity(context, identity):
    assert context.identity.identity == identity, context.identity
    assert not context.identity.is_new


@then("each entry of its logs is encoded to the same bytes again")
def step_entries(context):
    for group in context.groups.values():
        assert group.entries
        payloads = [entry.payload for entry in group.entries]
        assert group.entries_encoded_again() == payloads


@then("each of its snapshots is made again with the same bytes")
def step_snapshots(context):
    for group in context.groups.values():
        again = tuple(group.restored_state().snapshot())
        assert again == group.snapshot_chunks


@then("the state of snapshot and log survives a snapshot of its own")
def step_states(context):
    for group in context.groups.values():
        state = group.current_state()
        chunks = tuple(state.snapshot())
        restored = group.group.make_state()
        restored.restore(chunks)
        assert tuple(restored.snapshot()) == chunks


@then("group {number:d} voted in term {term:d} and holds a log behind entry {index:d}")
def step_hard_state(context, number, term, index):
    group = context.groups[number]
    assert group.hard_state.term == term, group.hard_state
    assert group.hard_state.voted_for == context.identity.identity
    assert group.snapshot_meta.last_index == index, group.snapshot_meta


@then("an operator reads this of group {number:d}")
def step_view(context, number):
    view = VIEWS[context.read_folder.kind.name]
    _check_lines(list(view(context.groups[number].current_state())), context.text)


@then("the log of group {number:d} holds every kind of command of a native group")
def step_native_kinds(context, number):
    found = {type(command) for command in context.groups[number].commands()}
    _check_kinds(found, get_args(Command))


@then("the snapshot of group {number:d} holds every kind of record of a native snapshot")
def step_snapshot_kinds(context, number):
    records = decode_parts(context.groups[number].snapshot_chunks)
    _check_kinds({type(record) for record in records}, get_args(SnapshotRecord))


@then("the logs of the relaying folders hold every kind of command of a relaying fleet")
def step_relaying_kinds(context):
    found = set()
    for name in ("relaying-controller", "relaying-storage"):
        for group in _read(context, name).open_groups():
            found |= {type(command) for command in group.commands()}
    _check_kinds(found, get_args(FleetCommand))


def _check_kinds(found, expected):
    missing = sorted(kind.__name__ for kind in set(expected) - found)
    assert not missing, f"no kept data folder holds {missing}: write one more folder, keep the old"


@then("the kept data folders hold every kind of record of a file")
def step_record_kinds(context):
    found = set()
    for kind in KINDS.values():
        for path in (FOLDERS / kind.name).rglob("*"):
            if path.is_file():
                found |= _record_kinds(path)
    missing = set(RecordKind) - found
    assert not missing, missing


def _record_kinds(path):
    group = path.parent.name.removeprefix("group-")
    scanned = scan(path.read_bytes(), int(group) if group.isdecimal() else 0)
    assert scanned.records and scanned.damage is None, path
    return {record.kind for record in scanned.records}


@then("the controller's journal of runners reads")
def step_journal(context):
    journal = RunnerJournal(
        context.read_folder.files, VirtualClock(), lambda: UNIX_SECONDS, lambda: ()
    )
    _check_lines(list(runner_view(journal.load())), context.text)


@then("the controller's versions of runners read")
def step_versions(context):
    table = RunnerVersionTable()
    RunnerVersionFile(context.read_folder.files, VirtualClock(), table).load()
    lines = [f"{each.runner} born {each.born}: {each.version}" for each in table.all()]
    _check_lines(lines, context.text)


@then("the controller's copy of what is committed reads")
def step_committed(context):
    copies = CommittedCopies(
        context.read_folder.files, FleetState(), KnownZoneDrains(), QuarantineView()
    )
    copy = copies.load()
    lines = [f"table {copy.version}: {copy.content.decode()}"]
    for drain in copy.zone_drains:
        lines.append(f"zone {drain.zone}: draining {drain.draining}, order {drain.revision}")
    lines += quarantine_view(copy.quarantine)
    _check_lines(lines, context.text)


@when("this version writes the data folders anew")
def step_write(context):
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    context.written = Path(temporary.name) / "folders"
    write_data_folders(context.written)


@then("they hold the same files with the same bytes")
def step_same_bytes(context):
    for name in KINDS:
        assert _contents(context.written / name) == _contents(FOLDERS / name), name


def _contents(folder):
    paths = sorted(path for path in folder.rglob("*") if path.is_file())
    return {str(path.relative_to(folder)): path.read_bytes() for path in paths}
