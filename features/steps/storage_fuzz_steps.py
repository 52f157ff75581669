"""Steps that replace segments, snapshots and identities by arbitrary bytes."""

import random

from behave import then, when
from features.support.storage import FIRST_SEGMENT, GROUP, SCHEMAS, StorageRig
from features.support.storage_bytes import altered, valid_files
from hypothesis import HealthCheck, Phase, given, settings, strategies

from rainsail.errors import FaultCode
from rainsail.storage.identity import load_or_create_identity
from rainsail.storage.records import RecordKind, encode_record, scan

SNAPSHOT = f"group-{GROUP}/{4:020d}.snapshot"
PATHS = {"segment": FIRST_SEGMENT, "snapshot": SNAPSHOT, "identity": "identity"}
IDENTITY_GROUP = 0
MAX_FILE_BYTES = 600


def record_lists(group):
    """Return a strategy of lists of records with any body."""
    record = strategies.tuples(
        strategies.sampled_from(RecordKind),
        strategies.binary(max_size=40),
        strategies.integers(0, 200),
    )
    return strategies.lists(record, max_size=6)


def frame(records, group):
    """Frame records one after the other."""
    framed = (encode_record(group, kind, body, durable) for kind, body, durable in records)
    return b"".join(framed)


def contents(content, name):
    """Return the strategy of a file's bytes."""
    group = IDENTITY_GROUP if name == "identity" else GROUP
    if content == "arbitrary records":
        return record_lists(group).map(lambda records: frame(records, group))
    if content == "altered valid bytes":
        return altered(valid_files()[PATHS[name]])
    sizes = strategies.integers(0, MAX_FILE_BYTES)
    return sizes.flatmap(lambda size: strategies.binary(min_size=size, max_size=size))


def bounded(examples):
    """Return hypothesis settings for a number of fixed examples."""
    return settings(
        derandomize=True,
        max_examples=examples,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )


def open_with(name, data):
    """Open a storage, or load an identity, over a disk that holds ``data``; return the result."""
    rig = StorageRig()
    if name == "snapshot":
        rig.disk.replace(FIRST_SEGMENT, valid_files()[FIRST_SEGMENT])
    rig.disk.replace(PATHS[name], data)
    if name == "identity":
        loading = load_or_create_identity(rig.disk, "north", "a1", SCHEMAS, random.Random(1))
        return rig.wait(loading)
    return rig.try_open()


@when("{count:d} files of {content} replace a {name}")
def step_fuzz(context, count, content, name):
    context.results = []

    @bounded(count)
    @given(contents(content, name))
    def check(data):
        context.results.append(open_with(name, data))

    check()


@then("opening the storage returned a storage or a typed fault each time")
def step_typed(context):
    assert len(context.results) >= 100, len(context.results)
    faults = [result.error for result in context.results if result.is_error()]
    assert faults, "every file was accepted as valid"
    assert all(fault.code is FaultCode.STORAGE for fault in faults), faults


@when("{count:d} random lists of records are framed and scanned")
def step_round_trip(context, count):
    context.scans = []

    @bounded(count)
    @given(record_lists(GROUP), strategies.integers(0, 300))
    def check(records, cut):
        data = frame(records, GROUP)
        context.scans.append((records, scan(data, GROUP), scan(data[:cut], GROUP)))

    check()


@then("every scan gave the same records without damage")
def step_same(context):
    assert context.scans
    for records, whole, _ in context.scans:
        found = [(record.kind, record.body, record.durable) for record in whole.records]
        assert found == records and whole.damage is None, whole


@then("every scan of a truncated copy gave a prefix of them")
def step_prefix(context):
    for records, _, part in context.scans:
        found = [(record.kind, record.body, record.durable) for record in part.records]
        assert found == records[: len(found)], part
