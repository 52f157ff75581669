"""Steps on restoring a node's states from snapshots that cannot be read completely."""

from types import SimpleNamespace

from behave import given, then, when
from features.support.consensus import RecordingState

from rainsail.cluster.fleet_state import FleetState
from rainsail.errors import Fault, FaultCode, RainsailError
from rainsail.fleet.group_folder import GroupFolder
from rainsail.jobs.job_state import JobState
from rainsail.state.cluster_commands import ReplaceTable
from rainsail.state.job_commands import AcceptJob, RelayedItem
from rainsail.storage.interface import SnapshotMeta

GROUP = 7


def _with_jobs(names):
    state = JobState()
    for number, name in enumerate(names):
        item = RelayedItem("item", "/run", (), b"body", 10)
        state.apply(number + 1, AcceptJob(name, "", "host", "/run", (item,), 1.0))
    return state


def _with_table(version):
    state = FleetState()
    state.apply(1, ReplaceTable(version, b"table"))
    return state


@given("the state of the ledger group with something in it")
def ledger_state(context):
    context.state, context.other = _with_jobs(["first", "second"]), _with_jobs(["third", "fourth"])


@given("the state of the root group with something in it")
def root_state(context):
    context.state, context.other = _with_table(3), _with_table(9)


@when("it is restored from a read of other content that fails after {count:d} chunks")
def restore_broken(context, count):
    chunks = list(context.other.snapshot())
    context.before = list(context.state.snapshot())

    def reading():
        yield from chunks[:count]
        raise RainsailError(Fault(FaultCode.STORAGE, "snapshot", "input/output error"))

    context.error = None
    try:
        context.state.restore(reading())
    except RainsailError as error:
        context.error = error


@then("the read error is raised")
def error_raised(context):
    assert context.error is not None and context.error.fault.detail == "input/output error"


@then("that state is unchanged")
def is_unchanged(context):
    assert list(context.state.snapshot()) == context.before


@when("it is restored from the snapshot of a state without jobs")
def restore_empty(context):
    chunks = list(JobState().snapshot())
    assert chunks == []
    context.state.restore(chunks)


@then("that state holds no job")
def no_job(context):
    assert context.state.jobs == {}


class _BrokenStorage:
    """A storage that opens, but whose snapshot ends before its checksum."""

    last_index = 3
    hard_state = None
    snapshot_meta = SnapshotMeta(3, 1, b"")

    def read_snapshot(self):
        return iter([b"1,2"])


@when("a node opens a group whose snapshot is incomplete")
def open_broken(context):
    node = SimpleNamespace(address="node-1:1")
    messenger = SimpleNamespace(serve=lambda record, handler: None)
    parts = dict.fromkeys(("clock", "random", "started_s"))
    limits = SimpleNamespace(disk_mb=100, memory_mb=0)
    settings = SimpleNamespace(limits=limits)
    base = SimpleNamespace(node=node, messenger=messenger, settings=settings, **parts)
    folder = GroupFolder(base, GROUP, None)
    folder._identity = SimpleNamespace(identity="identity")
    folder._storage = _BrokenStorage()
    context.opened = folder.make_driver(RecordingState(), ())


@then('it gets a fault at "{where}" that names the group and the reason')
def told_why(context, where):
    fault = context.opened.error
    assert (fault.code, fault.step) == (FaultCode.STORAGE, where), fault
    assert f"group {GROUP}" in fault.detail and "ended after 1 chunks" in fault.detail, fault
