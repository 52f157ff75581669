"""Steps of features/compatibility/wire.feature."""

import json

from behave import then
from features.support.compatibility_wire import DATA_FILE, pinned_form

from rainsail.state.durable_schemas import durable_fingerprint
from rainsail.state.fleet_commands import FLEET_DURABLE_MODULES
from rainsail.wire.protocol import (
    FLEET_PROTOCOL_MODULES,
    PROTOCOL_MODULES,
    transport_fingerprint,
)

PROTOCOLS = {"native": PROTOCOL_MODULES, "relaying": FLEET_PROTOCOL_MODULES}
DURABLE_MODULES = {"native": None, "relaying": FLEET_DURABLE_MODULES}


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
