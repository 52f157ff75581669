"""Steps on the identity of a replica and on data folders of others."""

import random

from behave import given, then, when
from features.support.storage import SCHEMAS, StorageRig

from rainsail.errors import FaultCode
from rainsail.storage.identity import FormatRecord, load_or_create_identity
from rainsail.storage.log_records import FORMAT_VERSION
from rainsail.storage.records import RecordKind, encode_record
from rainsail.wire.codec import encode_body

IDENTITY_DIGITS = 32


def load(context, replica, fleet):
    """Load the identity and keep the result."""
    opening = load_or_create_identity(
        context.rig.disk, fleet, replica, context.schemas, context.random
    )
    context.result = context.rig.wait(opening)
    if context.result.is_ok() and context.first_identity is None:
        context.first_identity = context.result.ok.identity


@given("an empty simulated data folder")
def step_empty(context):
    context.rig = StorageRig()
    context.random = random.Random(11)
    context.schemas = SCHEMAS
    context.first_identity = None


@given("a simulated data folder of format 2")
def step_newer(context):
    step_empty(context)
    body = encode_body(FormatRecord(FORMAT_VERSION + 1))
    later = encode_record(0, RecordKind.IDENTITY, b"something this program can't read")
    context.rig.disk.replace("identity", encode_record(0, RecordKind.FORMAT, body) + later)


@given("a simulated data folder with a group and no identity")
def step_no_identity(context):
    step_empty(context)
    context.rig.open()
    context.rig.append(1)
    context.rig.sync()


@when('the identity of replica "{replica}" of fleet "{fleet}" is loaded')
def step_load(context, replica, fleet):
    load(context, replica, fleet)


@when(
    'the power is cut {milliseconds:d} milliseconds into creating the identity of "a1" of "north"'
)
def step_cut(context, milliseconds):
    load_or_create_identity(context.rig.disk, "north", "a1", SCHEMAS, context.random)
    context.rig.clock.advance(milliseconds / 1000)
    context.rig.disk.crash()


@when("a program with other record schemas loads it")
def step_other_schemas(context):
    context.schemas = "other-schemas"
    load(context, "a1", "north")


@when("the power of the data folder's machine is cut")
def step_crash(context):
    context.rig.disk.crash()


@when("the data folder's disk is lost")
def step_lose(context):
    context.rig.disk.wipe()


@when("one bit of the identity file flips")
def step_flip(context):
    size = len(context.rig.disk.read("identity"))
    context.rig.disk.flip_bit("identity", size - 3)


@then("the identity is new and has 32 hexadecimal digits")
def step_new(context):
    assert context.result.ok.is_new
    step_digits(context)


@then("the identity has 32 hexadecimal digits")
def step_digits(context):
    identity = context.result.ok.identity
    assert len(identity) == IDENTITY_DIGITS and int(identity, 16) >= 0, identity


@then("the identity is the first one and is not new")
def step_same(context):
    assert context.result.ok.identity == context.first_identity
    assert not context.result.ok.is_new


@then("the identity is new and differs from the first one")
def step_other(context):
    assert context.result.ok.identity != context.first_identity
    assert context.result.ok.is_new


@then('the identity is refused because of "{reason}"')
def step_refused(context, reason):
    assert context.result.is_error(), context.result
    assert context.result.error.code is FaultCode.STORAGE
    assert reason in context.result.error.detail, context.result.error
