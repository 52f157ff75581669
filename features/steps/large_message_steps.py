"""Steps on state that is larger than one message between nodes, in virtual time."""

from behave import given, step, then, when
from features.steps.consensus_snapshot_steps import snapshotting_settings
from features.support.consensus import SimulatedGroup
from features.support.relayed_fleet import JOB_PATH, RelayedFleet
from features.support.relaying import HOST
from features.support.virtual_time import wait_until
from loguru import logger

from rainsail.consensus.messages import SnapshotChunk
from rainsail.consensus.snapshot_transfer_part import SnapshotTransferPart
from rainsail.consensus.status import losses_borne
from rainsail.errors import FaultCode, Outcome
from rainsail.state.job_commands import AcceptJob, ItemOutcome, ListOutcomes, RelayedItem
from rainsail.wire.extensions import SNAPSHOT_PARTS

MEBIBYTE = 1024 * 1024
MEGABYTE = 1_000_000
OUTCOMES_PER_COMMAND = 10
PART_BYTES = 100
"""Of the group with messages of 500 bytes."""


def _watch_log(context):
    context.log_records = []
    sink = logger.add(lambda message: context.log_records.append(message.record), level=0)
    context.add_cleanup(logger.remove, sink)


# --- a consensus group ---------------------------------------------------------------------


@given(
    "a consensus group of {count:d} replicas with chunks of {numbers:d} numbers "
    "and messages of {size:d} bytes"
)
def small_messages(context, count, numbers, size):
    _watch_log(context)
    settings = snapshotting_settings(50, snapshot_part_bytes=PART_BYTES)
    names = [f"replica-{number}" for number in range(1, count + 1)]
    context.consensus = SimulatedGroup(names, 9, settings, numbers_per_chunk=numbers)
    context.consensus.network.max_message_bytes = size
    context.consensus.leader()
    context.consensus_chunks = []


@given("the members of the consensus group know no snapshots in parts")
def earlier_members(context):
    for member in context.consensus.running.values():
        member.transport.extension_level = lambda peer: SNAPSHOT_PARTS - 1
    context.consensus_messages = []
    for member in context.consensus.running.values():
        deliver = member.transport._deliver

        def watch(source, envelope, deliver=deliver):
            context.consensus_messages.append(envelope.message)
            deliver(source, envelope)

        member.transport.listen(watch)


@then("the follower of the consensus group got no part of a snapshot")
def no_parts(context):
    types = {type(each) for each in context.consensus_messages}
    assert SnapshotChunk in types and SnapshotTransferPart not in types, types


@step("{seconds:d} seconds pass in the consensus group")
def pass_time(context, seconds):
    context.consensus.run_for(float(seconds))


def _logged(context, event, **fields):
    return [
        each
        for each in context.log_records
        if each["message"] == event
        and all(each["extra"].get(name) == value for name, value in fields.items())
    ]


@then("the log says that a message to that follower is too large")
def too_large_logged(context):
    peer = context.consensus_cut
    assert _logged(context, "message_too_large", peer=peer, message="SnapshotChunk")


@then("the log says that the follower does not catch up")
def stall_logged(context):
    assert _logged(context, "snapshot_transfer_stalled", replica=context.consensus_cut)


@then("the leader of the consensus group counts {count:d} stalled snapshot transfer")
def stall_counted(context, count):
    group = context.consensus
    assert group.driver(group.leader()).stalled_transfers() == count


# --- a fleet ---------------------------------------------------------------------------------


@given("a relaying fleet whose nodes refuse messages over {size:d} MiB")
def start_fleet(context, size):
    context.fleet = RelayedFleet(94)
    context.fleet.network.max_message_bytes = size * MEBIBYTE
    context.fleet.leader("controller")
    context.fleet.leader("storage")
    context.fleet.run_for(3.0)


def _propose(fleet, command):
    done = fleet.nodes[fleet.leader("storage")].role.driver.propose(command)
    assert fleet.result_of(done, "the command").is_ok()


@step("a job of {items:d} items with {size:d} MB of results")
def make_job(context, items, size):
    fleet = context.fleet
    requests = tuple(
        RelayedItem(f"item-{number}", f"{JOB_PATH}/{number}", (), b"x", 10)
        for number in range(items)
    )
    context.text_bytes = size * MEGABYTE // items
    _propose(fleet, AcceptJob("job-1", "", HOST, JOB_PATH, requests, 1.0))
    for first in range(0, items, OUTCOMES_PER_COMMAND):
        outcomes = tuple(
            ItemOutcome(number, True, f"{number} ".ljust(context.text_bytes, "x"))
            for number in range(first, min(items, first + OUTCOMES_PER_COMMAND))
        )
        _propose(fleet, ListOutcomes("job-1", outcomes))
    context.results = items


def _catch_up(context, name, seconds):
    """Start a node; its group has to bear a loss again."""
    fleet, kind = context.fleet, name.partition("-")[0]
    fleet.start(name)

    def is_healthy():
        if not fleet.leading(kind):
            return False
        leader = fleet.nodes[fleet.leading(kind)[0]]
        state = leader.role.driver.core.state
        return losses_borne(state, leader.clock.seconds()) >= 1

    wait_until(fleet.clock, is_healthy, seconds, f"{name} has caught up")


@when("{name} loses its disk and catches up within {seconds:g} s")
def lose_disk(context, name, seconds):
    context.fleet.lose_disk(name)
    context.fleet.run_for(2.0)
    _catch_up(context, name, seconds)


@when("{name} starts again and catches up within {seconds:g} s")
def start_again(context, name, seconds):
    _catch_up(context, name, seconds)


@then("each storage node has all results of the job")
def all_have_results(context):
    fleet = context.fleet
    fleet.run_for(1.0)
    for name in fleet.names("storage"):
        listed = fleet.nodes[name].role.state.jobs["job-1"].listed
        assert len(listed) == context.results, (name, len(listed))
        assert all(len(each.text) == context.text_bytes for each in listed), name


@when("a job with a body of {size:d} MB is proposed to the ledger")
def propose_large(context, size):
    fleet = context.fleet
    item = RelayedItem("item-0", f"{JOB_PATH}/0", (), bytes(size * MEGABYTE), 10)
    command = AcceptJob("job-0", "", HOST, JOB_PATH, (item,), 1.0)
    done = fleet.nodes[fleet.leader("storage")].role.driver.propose(command)
    context.proposed = []
    done.addCallback(context.proposed.append)
    fleet.run_for(2.0)


@then("it is refused as too large")
def refused_as_too_large(context):
    assert [each.is_error() for each in context.proposed] == [True], context.proposed
    fault = context.proposed[0].error
    assert (fault.code, fault.outcome) == (FaultCode.TOO_LARGE, Outcome.NOT_RUN), fault
