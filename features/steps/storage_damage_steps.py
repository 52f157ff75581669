"""Steps on torn, damaged, full and failing disks."""

from behave import then, when
from features.support.storage import FIRST_SEGMENT, FOLDER, GROUP, make_entries

from rainsail.errors import FaultCode, RainsailError
from rainsail.storage.group_storage import open_group_storage
from rainsail.storage.log_records import FORMAT_VERSION, SegmentHeader
from rainsail.storage.records import RecordKind, encode_record, scan
from rainsail.storage.settings import StorageSettings
from rainsail.wire.codec import encode_body

PART_OFFSETS = {"magic": 0, "checksum": 5, "length": 9, "payload": 30}
OTHER_GROUP = 9


def entry_offset(rig, number):
    """Return the offset of an entry in the first segment."""
    records = scan(rig.disk.read(FIRST_SEGMENT), GROUP).records
    entries = [record for record in records if record.kind == RecordKind.ENTRY]
    return entries[number - 1].offset


def append_raw(rig, data):
    """Append durable bytes to the first segment, bypassing the storage."""
    rig.disk.kill()
    rig.disk.replace(FIRST_SEGMENT, rig.disk.read(FIRST_SEGMENT) + data)


@when("{count:d} bytes of a further record were written before the power was cut")
def step_torn(context, count):
    append_raw(context.rig, encode_record(GROUP, RecordKind.ENTRY, b"torn", 0)[:count])


@when("a batch of 3 entries loses its first sector in a power cut")
def step_torn_in_front(context):
    durable = len(context.rig.disk.read(FIRST_SEGMENT))
    batch = b"".join(
        encode_record(GROUP, RecordKind.ENTRY, encode_body(entry), durable)
        for entry in make_entries(5, 3, size=40)
    )
    append_raw(context.rig, bytes(20) + batch[20:])


@then("the storage's segment has no bytes after its last valid record")
def step_cut(context):
    scanned = scan(context.rig.disk.read(FIRST_SEGMENT), GROUP)
    assert scanned.damage is None, scanned.damage


@when("one bit flips in the {part} of entry {number:d}")
def step_flip(context, part, number):
    context.offset = entry_offset(context.rig, number)
    context.rig.disk.flip_bit(FIRST_SEGMENT, context.offset + PART_OFFSETS[part], bit=1)


@then("the storage refuses to open, naming the segment and the offset of entry {number:d}")
def step_refused_at(context, number):
    fault = refused(context)
    expected = f"{FIRST_SEGMENT} at offset {context.offset}:"
    assert fault.detail.startswith(expected), (fault.detail, expected)


def refused(context):
    """Open the storage, which must fail, and return the fault."""
    context.rig.disk.kill()
    result = context.rig.try_open()
    assert result.is_error(), "the storage opened"
    assert result.error.code is FaultCode.STORAGE, result.error
    return result.error


@when("one bit flips at the end of the first segment")
def step_flip_end(context):
    size = len(context.rig.disk.read(FIRST_SEGMENT))
    context.rig.disk.flip_bit(FIRST_SEGMENT, size - 1)


@then("the storage refuses to open, naming the segment")
def step_refused_segment(context):
    fault = refused(context)
    assert fault.detail.startswith(f"{FIRST_SEGMENT} at offset "), fault.detail


@when("every byte of the first segment is corrupted")
def step_corrupt(context):
    data = context.rig.disk.read(FIRST_SEGMENT)
    context.rig.disk.replace(FIRST_SEGMENT, bytes(byte ^ 0xFF for byte in data))


@when("a second segment was left with {count:d} bytes of a header by a power cut")
def step_torn_header(context, count):
    context.rig.disk.crash()
    header = context.rig.disk.read(FIRST_SEGMENT)[:count]
    context.rig.disk.replace(f"{FOLDER}/0000000002.log", header)


@when("the first segment is removed from the disk")
def step_remove_segment(context):
    context.rig.disk.remove(FIRST_SEGMENT)


@then("the storage refuses to open because entries are missing")
def step_refused_missing(context):
    fault = refused(context)
    assert "log begins at" in fault.detail and "no snapshot" in fault.detail, fault.detail


@when("the first segment has the header of format 2")
def step_newer_segment(context):
    header = SegmentHeader(FORMAT_VERSION + 1, 1, 0, 0, 0, "")
    data = encode_record(GROUP, RecordKind.SEGMENT_HEADER, encode_body(header))
    context.rig.disk.replace(FIRST_SEGMENT, data)


@then("the storage refuses to open because the format is newer")
def step_refused_format(context):
    fault = refused(context)
    assert FIRST_SEGMENT in fault.detail and "format 2 is newer" in fault.detail, fault.detail


@when("its segment is copied into the folder of group 9")
def step_copy_segment(context):
    data = context.rig.disk.read(FIRST_SEGMENT)
    context.rig.disk.replace(f"group-{OTHER_GROUP}/0000000001.log", data)


@then("group 9 refuses to open because of records of group 3")
def step_refused_group(context):
    opening = open_group_storage(context.rig.disk, OTHER_GROUP, StorageSettings())
    result = context.rig.wait(opening)
    assert result.is_error(), "group 9 opened"
    assert "record of group 3 in the files of group 9" in result.error.detail, result.error.detail


@when("the disk has room for {room:d} more bytes and {count:d} entries are synced")
def step_fill(context, room, count):
    disk = context.rig.disk
    disk.capacity_bytes = disk.used_bytes() + room
    context.rig.append(count)
    context.result = context.rig.wait(context.rig.storage.sync())


@then('the storage answers with a fault that names the segment and "{reason}"')
def step_full(context, reason):
    assert context.result.is_error()
    detail = context.result.error.detail
    assert detail.startswith(f"{FIRST_SEGMENT} at offset") and reason in detail, detail


@then("every later sync of the storage answers with the same fault")
def step_final(context):
    context.rig.disk.sync_fails = False
    context.rig.disk.capacity_bytes = None
    context.rig.append(1)
    for _ in range(2):
        later = context.rig.wait(context.rig.storage.sync())
        assert later.is_error() and later.error == context.result.error, later


@when("there is room on the disk again and the storage is opened")
@when("the process ends and the storage is opened again")
def step_restart(context):
    context.rig.disk.kill()
    context.rig.open()


@when("the disk fails a sync of {count:d} entries while {more:d} more are queued")
def step_fail_sync(context, count, more):
    context.rig.disk.sync_fails = True
    context.rig.append(count)
    first = context.rig.storage.sync()
    context.rig.append(more)
    context.second = context.rig.wait(context.rig.storage.sync())
    context.result = context.rig.wait(first)


@then("both syncs of the storage answer with the same fault")
def step_both_fail(context):
    assert context.result.is_error() and context.second.is_error()
    assert context.result.error == context.second.error, context.second


@then("reading entry {first:d} to {last:d} raises a storage fault that names the first segment")
def step_read_damaged(context, first, last):
    try:
        context.rig.storage.entries(first, last, 10**9)
    except RainsailError as error:
        assert error.fault.code is FaultCode.STORAGE
        assert error.fault.detail.startswith(f"{FIRST_SEGMENT} at offset "), error.fault
        return
    raise AssertionError("the damaged entry was returned")
