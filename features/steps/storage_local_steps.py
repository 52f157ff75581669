"""Steps on the real data folder and on reading it offline."""

import contextlib
import errno
import io
import json
import os
import random
import threading
from unittest import mock

from behave import given, then, when
from features.support.local_storage import RealFolder
from features.support.storage import GROUP, SCHEMAS, make_entries, snapshot_chunks

from rainsail.cli.main import main
from rainsail.errors import FaultCode
from rainsail.storage.group_storage import open_group_storage
from rainsail.storage.identity import load_or_create_identity
from rainsail.storage.interface import SnapshotMeta
from rainsail.storage.local_files import LocalFileSystem
from rainsail.storage.settings import StorageSettings
from rainsail.storage.snapshot_checksum import verified_chunks

SEGMENT = f"group-{GROUP}/0000000001.log"
REAL_FILES = {
    "segment": SEGMENT,
    "snapshot": f"group-{GROUP}/{10:020d}.snapshot",
    "identity": "identity",
}


def wait_ok(context, deferred):
    """Wait for a Deferred, whose result must be ok, and return its value."""
    result = context.folder.reactor.wait(deferred)
    assert result.is_ok(), str(result.error)
    return result.ok


def identify(context):
    """Load the folder's identity."""
    loading = load_or_create_identity(context.files, "north", "a1", SCHEMAS, random.Random(3))
    return wait_ok(context, loading)


def fill(context, entries, snapshot):
    """Create an identity, entries and a snapshot, then close."""
    context.identity = identify(context)
    storage = wait_ok(context, open_group_storage(context.files, GROUP, StorageSettings()))
    storage.append(make_entries(1, entries))
    wait_ok(context, storage.sync())
    meta = SnapshotMeta(snapshot, 1, b"")
    wait_ok(context, storage.save_snapshot(meta, iter(snapshot_chunks(snapshot))))
    storage.close()


@given("a real data folder")
def step_folder(context):
    context.folder = RealFolder()
    context.add_cleanup(context.folder.close)
    context.files = LocalFileSystem(context.folder.path, context.folder.reactor)


@given("a real data folder with an identity, {entries:d} entries and a snapshot of entry {index:d}")
def step_filled_folder(context, entries, index):
    step_folder(context)
    fill(context, entries, index)
    context.before = context.folder.contents()


@when(
    "the real folder's storage gets an identity, 50 entries, a snapshot of entry 20 and a restart"
)
def step_fill(context):
    fill(context, 50, 20)
    context.storage = wait_ok(context, open_group_storage(context.files, GROUP, StorageSettings()))


@then("the real folder's storage holds entries 21 to 50 and the snapshot")
def step_holds(context):
    storage = context.storage
    assert (storage.first_index, storage.last_index) == (21, 50), storage.first_index
    assert storage.entries(21, 50, 10**9) == make_entries(21, 30)
    assert tuple(verified_chunks(storage.read_snapshot())) == snapshot_chunks(20)
    storage.close()


@then("the real folder's identity is the first one")
def step_same_identity(context):
    again = identify(context)
    assert again.identity == context.identity.identity and not again.is_new, again


@when("a file of the real folder and its folder are synced")
def step_sync(context):
    context.threads = []
    real_sync = os.fsync

    def recorded_sync(descriptor):
        context.threads.append(threading.get_ident())
        real_sync(descriptor)

    file = context.files.open("file")
    with mock.patch("os.fsync", recorded_sync):
        wait_ok(context, file.sync())
        wait_ok(context, context.files.sync_folder(""))
    file.close()


@then("each sync of the real folder ran in another thread")
def step_threads(context):
    assert len(context.threads) == 2, context.threads
    assert context.folder.caller not in context.threads


@when("the real folder's next sync fails with an input/output error")
def step_fail(context):
    file = context.files.open("log")
    with mock.patch("os.fsync", side_effect=OSError(errno.EIO, os.strerror(errno.EIO))):
        context.result = context.folder.reactor.wait(file.sync())
    file.close()


@then("the real folder's answer is a fault that names the file and the error")
def step_fault(context):
    fault = context.result.error
    assert fault.code is FaultCode.STORAGE and fault.step == "storage.sync", fault
    assert fault.detail.startswith("log: ") and os.strerror(errno.EIO) in fault.detail, fault


@when('the real folder has a link "away" to the folder above')
def step_link(context):
    (context.folder.path / "away").symlink_to(context.folder.path.parent)


@then('the real folder refuses the path "{path}"')
def step_refuses(context, path):
    for call in (context.files.open, context.files.read, context.files.remove):
        try:
            call(path)
        except ValueError as error:
            assert "leads out of the data folder" in str(error)
            continue
        raise AssertionError(f"{call.__name__} took {path}")


def run_offline(context, *words):
    """Run a storage command in this process; keep its code and output."""
    output = io.StringIO()
    context.code = 0
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(io.StringIO()):
        try:
            main(["storage", *words])
        except SystemExit as end:
            context.code = end.code or 0
    context.output = output.getvalue()


@when("the data folder is verified offline")
def step_verify(context):
    run_offline(context, "verify", str(context.folder.path))


@when("the data folder is inspected offline")
def step_inspect(context):
    run_offline(context, "inspect", str(context.folder.path))


@when("the data folder is inspected offline as JSON")
def step_inspect_json(context):
    run_offline(context, "inspect", str(context.folder.path), "--output=json")
    context.report = json.loads(context.output)


@then('the offline command ends with code {code:d} and prints "{text}"')
def step_ends(context, code, text):
    assert context.code == code, (context.code, context.output)
    assert text in context.output, context.output


@then("the offline command ends with code {code:d}")
def step_ends_only(context, code):
    assert context.code == code, (context.code, context.output)


@then("the offline report names the fleet, entries 11 to 30 and the snapshot of entry 10")
def step_report(context):
    assert context.code == 0, context.code
    assert context.report["identity"]["fleet"] == "north", context.report
    group = context.report["groups"][0]
    assert (group["first_index"], group["last_index"]) == (11, 30), group
    assert group["snapshot"] == {"index": 10, "term": 1}, group


@then("the offline commands changed no file")
def step_unchanged(context):
    assert context.folder.contents() == context.before


@when("{count:d} bytes of a torn record are added to the real segment")
def step_tear(context, count):
    with (context.folder.path / SEGMENT).open("ab") as file:
        file.write(b"RSR1torn record"[:count])
    context.before = context.folder.contents()


@then("the offline report shows {count:d} torn bytes")
def step_torn(context, count):
    assert context.code == 0 and context.report["faults"] == [], context.report
    files = context.report["groups"][0]["files"]
    assert sum(file["torn_bytes"] for file in files) == count, files


@when("one bit flips in the real {name}")
def step_flip(context, name):
    path = context.folder.path / REAL_FILES[name]
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 2
    path.write_bytes(data)
    context.before = context.folder.contents()


@when('"{call}" is run offline')
def step_call(context, call):
    command, folder, *rest = call.split()
    run_offline(context, command, str(context.folder.path / folder), *rest)
