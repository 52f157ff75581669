"""Steps of features/compatibility/wire.feature."""

import json
from dataclasses import dataclass

from behave import then, when
from features.support.compatibility_wire import DATA_FILE, pinned_form

from rainsail.state.durable_schemas import durable_fingerprint
from rainsail.state.fleet_commands import FLEET_DURABLE_MODULES
from rainsail.wire.codec import decode, encode, encode_body, parsed_schema, wire_record
from rainsail.wire.names import wire_type
from rainsail.wire.protocol import (
    FLEET_PROTOCOL_MODULES,
    PROTOCOL_MODULES,
    transport_fingerprint,
)

PROTOCOLS = {"native": PROTOCOL_MODULES, "relaying": FLEET_PROTOCOL_MODULES}
DURABLE_MODULES = {"native": None, "relaying": FLEET_DURABLE_MODULES}


@wire_record("CompatibilityProbe")
@dataclass(frozen=True)
class Before:
    """A record as a former version wrote it."""

    word: str
    count: int


@dataclass(frozen=True)
class After:
    """The same record with better names in the code."""

    report: str
    count: int


@dataclass(frozen=True)
class Undeclared:
    """A dataclass that declares no name on the wire."""

    text: str


@when("a record is written by a class whose name and field were renamed")
def step_renamed(context):
    wire_type("CompatibilityProbe", {"report": "word"})(After)
    context.before = Before("ready", 3)
    context.after = After("ready", 3)


@then("its bytes, its schema and its type id are those of the class before")
def step_same_bytes(context):
    assert encode_body(context.after) == encode_body(context.before)
    assert parsed_schema(After)["fields"] == parsed_schema(Before)["fields"]
    assert parsed_schema(After)["name"] == parsed_schema(Before)["name"]
    type_id = encode(context.before)[:4]
    assert decode(type_id + encode_body(context.after)) == context.before


@then("encoding a dataclass that declares no name on the wire is refused")
def step_undeclared(context):
    try:
        encode_body(Undeclared("ready"))
    except TypeError as error:
        assert "no name on the wire" in str(error), error
        return
    raise AssertionError("the record was encoded")


@then("declaring a wire name for a missing field is refused")
def step_missing_field(context):
    try:
        wire_type("CompatibilityProbe", {"nowhere": "word"})(After)
    except TypeError as error:
        assert "nowhere" in str(error), error
        return
    raise AssertionError("the name was declared")


@then("the records on the wire and on disks are those of wire_records.json")
def step_records_unchanged(context):
    expected = json.loads(DATA_FILE.read_text())
    found = pinned_form()
    changed = [name for name in expected if found.get(name) != expected[name]]
    added = sorted(set(found) - set(expected))
    assert not changed, {name: (expected[name], found.get(name)) for name in changed}
    assert not added, f"add these to {DATA_FILE.name}: {added}"


@then("the transport fingerprint of the {protocol} protocol is {fingerprint:d}")
def step_transport_fingerprint(context, protocol, fingerprint):
    assert transport_fingerprint(PROTOCOLS[protocol]) == fingerprint


@then('the durable fingerprint of {kind} folders is "{fingerprint}"')
def step_durable_fingerprint(context, kind, fingerprint):
    assert durable_fingerprint(DURABLE_MODULES[kind]) == fingerprint
