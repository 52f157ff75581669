"""Steps on the state that controllers serve before their group has a leader."""

import random

from behave import given, then, when

from rainsail.cluster.committed_copy import (
    NO_GROUP,
    NOTHING,
    PATH,
    CommittedCopies,
    CommittedCopy,
)
from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.zone_drains import KnownZoneDrains
from rainsail.logs import logger
from rainsail.quarantine.view import QuarantineView
from rainsail.simulation.clock import VirtualClock
from rainsail.simulation.disk import SimulatedDisk
from rainsail.state.cluster_commands import NO_QUARANTINE
from rainsail.storage.records import RecordKind, encode_record
from rainsail.wire.codec import encode_body

TRIES_S = 10.0


@when("every node loses power, and controller 1 and the gateways start again")
def few_start(context):
    fleet = context.fleet
    names = list(fleet.nodes)
    for name in names:
        fleet.crash(name)
    for name in names:
        if name == "controller-1" or name.startswith("gateway"):
            fleet.start(name)


@then("no gateway sends to {zone} within {seconds:g} seconds")
def none_sends(context, zone, seconds):
    fleet = context.fleet
    registries = [fleet.nodes[name].base.registry for name in fleet.names("gateway")]
    fleet.run_until(
        lambda: all(registry.zone_drains.is_draining(zone) for registry in registries),
        f"{zone} draining",
        seconds,
    )


@when("controller 1 is cut off and then gets table {version:d}, which nobody else has")
def uncommitted(context, version):
    fleet = context.fleet
    fleet.isolate("controller-1")
    done = fleet.controller("controller-1").tables.replace(version, str(version).encode())
    assert fleet.result_of(done, "an answer to the order").is_error()
    fleet.rejoin("controller-1")


@then("every gateway still has table {version:d}")
def still_has(context, version):
    fleet = context.fleet
    versions = {fleet.nodes[name].base.follower.table_version for name in fleet.names("gateway")}
    assert versions == {version}, versions


@when("an operator sends table {version:d} to some controller until it is taken")
def send_until_taken(context, version):
    fleet = context.fleet
    until_s = fleet.clock.seconds() + TRIES_S
    while True:
        fleet.leader("controller")
        done = fleet.controller("controller-2").tables.replace(version, str(version).encode())
        if fleet.result_of(done, "an answer to the order").is_ok():
            break
        assert fleet.clock.seconds() < until_s
    fleet.run_for(1.0)


# --- a damaged copy ----------------------------------------------------------------------------


@given("a controller's committed copy whose bytes are damaged")
def make_damaged_copy(context):
    context.disk = SimulatedDisk(VirtualClock(), random.Random(1))
    body = encode_body(CommittedCopy(7, b"7", (), NO_QUARANTINE))
    record = bytearray(encode_record(NO_GROUP, RecordKind.COMMITTED_COPY, body))
    record[-1] ^= 0xFF
    context.disk.open(PATH).append(bytes(record))


@when("the committed copy is read")
def read_copy(context):
    context.log_records = []
    sink = logger.add(lambda message: context.log_records.append(message.record), level=0)
    copies = CommittedCopies(context.disk, FleetState(), KnownZoneDrains(), QuarantineView())
    context.read_copy = copies.load()
    logger.remove(sink)


@then('it holds nothing, and the log has "{event}"')
def holds_nothing(context, event):
    assert context.read_copy == NOTHING, context.read_copy
    assert event in [each["message"] for each in context.log_records], context.log_records
