"""Steps on the durable journal of runners' records at a controller."""

import random
from dataclasses import replace

from behave import given, then, when
from features.support.relaying import runner_record

from rainsail.cluster.messages import RunnerState
from rainsail.cluster.registry import RunnerRegistry
from rainsail.cluster.runner_journal import PATH, RunnerJournal
from rainsail.logs import logger
from rainsail.simulation.clock import VirtualClock
from rainsail.simulation.disk import SimulatedDisk
from rainsail.storage.records import HEADER_BYTES, scan

SEED = 5
ZONE_RUNNERS = {"zone-0": 4, "zone-1": 5}
KIBIBYTE = 1024


@when("the runner of {zone} reports to controller {number:d} that it is draining")
def leaves(context, zone, number):
    record = runner_record(ZONE_RUNNERS[zone], "draining", 2, zone)
    done = context.fleet.controller(f"controller-{number}").reports.take(record)
    context.leaving = context.fleet.result_of(done, "an answer to the runner")


@then("that runner's report is acknowledged")
def leaving_acknowledged(context):
    assert context.leaving.is_ok(), context.leaving


@when("the disk of controller {number:d} is full")
def disk_full(context, number):
    disk = context.fleet.disks[f"controller-{number}"]
    disk.capacity_bytes = disk.used_bytes()


@when("the disk of controller {number:d} has space again")
def disk_free(context, number):
    context.fleet.disks[f"controller-{number}"].capacity_bytes = None


# --- a journal by itself -----------------------------------------------------------------------


def _make_journal(context):
    context.clock = VirtualClock()
    context.disk = SimulatedDisk(context.clock, random.Random(SEED))
    context.registry = RunnerRegistry(context.clock.seconds)
    context.journal = _open_journal(context)
    context.journal.load()


def _open_journal(context):
    return RunnerJournal(
        context.disk, context.clock, context.clock.seconds, context.registry.records
    )


def _note(context, records):
    context.registry.take(records)
    context.journal.note(records)


def _sync(context):
    results = []
    context.journal.sync().addCallback(results.append)
    context.clock.advance(1.0)
    assert results and results[0].is_ok(), results


@given("a journal of {count:d} runners")
def make_journal(context, count):
    _make_journal(context)
    _note(context, [runner_record(number) for number in range(count)])
    _sync(context)


@given("a journal of {count:d} runners whose last record is torn")
def make_torn(context, count):
    make_journal(context, count)
    file = context.disk.open(PATH)
    file.truncate(file.size() - 5)


@then("{count:d} runners are read back in order")
def read_back(context, count):
    runners = [record.runner for record in _open_journal(context).load()]
    assert runners == [f"runner-{number}" for number in range(count)], runners


@given("a journal of a runner that warms up for {seconds:g} seconds")
def make_warming(context, seconds):
    _make_journal(context)
    _note(context, [replace(runner_record(1), warm_up_left_s=seconds)])
    _sync(context)


@when("it is read {seconds:g} seconds later")
def read_later(context, seconds):
    context.clock.advance(seconds - 1.0)
    (context.read,) = _open_journal(context).load()


@then("the runner warms up for {seconds:g} seconds")
def warms_up(context, seconds):
    assert abs(context.read.warm_up_left_s - seconds) < 0.05, context.read


@when("each of them reports {count:d} more times")
def report_often(context, count):
    for sequence in range(2, count + 2):
        records = [replace(record, sequence=sequence) for record in context.registry.records()]
        _note(context, records)
        if sequence % 200 == 0:
            context.clock.advance(1.0)
    _sync(context)


@then(
    "the journal holds less than {most:d} KiB and {count:d} runners are read back "
    "with their latest report"
)
def read_back_last(context, most, count):
    assert len(context.disk.read(PATH)) < most * KIBIBYTE
    last = {record.runner: record for record in _open_journal(context).load()}
    assert len(last) == count
    assert {record.sequence for record in last.values()} == {2001}


# --- damage ------------------------------------------------------------------------------------


@given("a journal of {count:d} runners, the last of which is draining")
def make_leaving(context, count):
    make_journal(context, count)
    _note(context, [runner_record(count - 1, "draining", 2)])
    _sync(context)


@when("a byte in the middle of the journal's record {number:d} is damaged")
def damage(context, number):
    data = context.disk.read(PATH)
    record = scan(data, 0).records[number]
    place = record.offset + len(record.body) // 2 + HEADER_BYTES
    damaged = data[:place] + bytes([data[place] ^ 0xFF]) + data[place + 1 :]
    file = context.disk.open(PATH)
    file.truncate(0)
    file.append(damaged)
    read_with_log(context)


@when("it is read and the log is captured")
def read_with_log(context):
    context.log_records = []
    sink = logger.add(lambda message: context.log_records.append(message.record), level=0)
    context.read = _open_journal(context).load()
    logger.remove(sink)


def _logged(context, event):
    return [each["extra"] for each in context.log_records if each["message"] == event]


@then("runner {number:d} is read back as draining")
def read_draining(context, number):
    last = {record.runner: record for record in context.read}
    assert last[f"runner-{number}"].state == RunnerState.DRAINING, last


@then("{count:d} runners are read back, all but runner {number:d}")
def read_all_but(context, count, number):
    runners = {record.runner for record in context.read}
    assert len(runners) == count and f"runner-{number}" not in runners, runners


@then(
    'the log of "{event}" says that {before:d} records were read before and {behind:d} behind '
    "the damage"
)
def log_says(context, event, before, behind):
    (logged,) = _logged(context, event)
    assert (logged["read_before"], logged["read_behind"]) == (before, behind), logged


@then('the log has "{event}" and no "{other}"')
def log_has(context, event, other):
    assert _logged(context, event) and not _logged(context, other), context.log_records
