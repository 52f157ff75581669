"""Steps on snapshots of a group, saved, installed, interrupted and damaged."""

from behave import given, then, when
from features.support.storage import FOLDER, GROUP, SYNC_LATENCY_S, snapshot_chunks

from rainsail.errors import FaultCode
from rainsail.storage.interface import SnapshotMeta
from rainsail.storage.records import RecordKind, record_bytes, scan
from rainsail.storage.snapshot_checksum import verified_chunks

MEMBERS = b"members"
MOMENTS_S = {
    "before its sync": SYNC_LATENCY_S / 2,
    "between its sync and its rename's sync": SYNC_LATENCY_S * 1.5,
}


def snapshot_path(index):
    """Return the path of the snapshot of an entry."""
    return f"{FOLDER}/{index:020d}.snapshot"


def start_snapshot(rig, index, term=1):
    """Start saving a snapshot and return the Deferred."""
    chunks = iter(snapshot_chunks(index))
    return rig.storage.save_snapshot(SnapshotMeta(index, term, MEMBERS), chunks)


@given("a snapshot of entry {index:d} was saved")
@when("a snapshot of entry {index:d} is saved")
def step_save(context, index):
    result = context.rig.wait(start_snapshot(context.rig, index))
    assert result.is_ok(), str(result.error)


@when("a snapshot of entry {index:d} in term {term:d} is installed")
def step_install(context, index, term):
    result = context.rig.wait(start_snapshot(context.rig, index, term))
    assert result.is_ok(), str(result.error)


@then("the storage kept fewer segments than before")
def step_fewer(context):
    names = [name for name in context.rig.disk.list(FOLDER) if name.endswith(".log")]
    assert len(names) < context.segments / 2, (names, context.segments)


@then("the snapshot of entry {index:d} reads back")
def step_reads_back(context, index):
    storage = context.rig.storage
    assert storage.snapshot_meta.last_index == index, storage.snapshot_meta
    assert storage.snapshot_meta.membership == MEMBERS
    assert tuple(verified_chunks(storage.read_snapshot())) == snapshot_chunks(index)


@then("the storage is empty after entry {index:d}")
def step_empty_after(context, index):
    storage = context.rig.storage
    assert (storage.first_index, storage.last_index) == (index + 1, index), (
        storage.first_index,
        storage.last_index,
    )
    assert storage.term_at(index) == 7, storage.term_at(index)


@when("a snapshot of entry {index:d} is interrupted by a power cut {moment}")
def step_interrupt(context, index, moment):
    start_snapshot(context.rig, index)
    context.rig.clock.advance(MOMENTS_S[moment])
    context.rig.disk.crash()
    context.rig.open()


@then("the storage has no snapshot")
def step_no_snapshot(context):
    assert context.rig.storage.snapshot_meta is None
    assert list(context.rig.storage.read_snapshot()) == []


@then("no temporary file is left in the storage")
def step_no_temporary(context):
    names = context.rig.disk.list(FOLDER)
    assert not [name for name in names if name.endswith(".part")], names


@when("installing a snapshot of entry {index:d} in term {term:d} is interrupted before the reset")
def step_interrupt_before_reset(context, index, term):
    start_snapshot(context.rig, index, term)
    while not context.rig.disk.exists(snapshot_path(index)):
        assert context.rig.clock.run_next(context.rig.clock.seconds() + 1)
    context.rig.clock.advance(SYNC_LATENCY_S * 1.5)
    context.rig.disk.crash()
    context.rig.open()
    assert context.rig.storage.snapshot_meta is not None


@when("snapshots of entries 4, 8 and 6 are saved without waiting")
def step_save_three(context):
    saves = [start_snapshot(context.rig, index) for index in (4, 8, 6)]
    results = [context.rig.wait(save) for save in saves]
    assert all(result.is_ok() for result in results), results


@when("the disk has room for {room:d} more bytes and a snapshot of entry {index:d} is saved")
def step_full_snapshot(context, room, index):
    disk = context.rig.disk
    disk.capacity_bytes = disk.used_bytes() + room
    context.result = context.rig.wait(start_snapshot(context.rig, index))


@then('the snapshot is answered with a fault that names "{reason}"')
def step_snapshot_fault(context, reason):
    assert context.result.is_error()
    assert context.result.error.code is FaultCode.STORAGE
    assert reason in context.result.error.detail, context.result.error


@when("the disk fails the sync of a snapshot of entry {index:d}")
def step_fail_snapshot(context, index):
    context.rig.disk.sync_fails = True
    context.result = context.rig.wait(start_snapshot(context.rig, index))
    assert context.result.is_error()


@when("the snapshot of entry {index:d} has {damage}")
def step_damage(context, index, damage):
    path = snapshot_path(index)
    data = context.rig.disk.read(path)
    chunks = [r for r in scan(data, GROUP).records if r.kind == RecordKind.SNAPSHOT_CHUNK]
    second = chunks[1].offset
    third = second + record_bytes(len(chunks[1].body))
    damaged = {
        "a flipped bit": data[: second + 40] + bytes([data[second + 40] ^ 4]) + data[second + 41 :],
        "its end cut off": data[:third],
        "a chunk removed": data[:second] + data[third:],
        "bytes after its end": data + b"more",
    }
    context.rig.disk.replace(path, damaged[damage])


@then("the storage refuses to open, naming the snapshot of entry {index:d} and an offset")
def step_refused(context, index):
    context.rig.disk.kill()
    result = context.rig.try_open()
    assert result.is_error(), "the storage opened"
    assert result.error.code is FaultCode.STORAGE
    assert result.error.detail.startswith(f"{snapshot_path(index)} at offset "), result.error
