"""Steps on items that can't be sent as HTTP requests."""

import json
from dataclasses import replace
from typing import Any

from behave import given, step, then, when
from features.support.relayed_fleet import JOB_PATH, RelayedFleet
from features.support.relaying import HOST, runner_record

from rainsail.errors import FaultCode
from rainsail.fleet_api.items import read_items
from rainsail.jobs.messages import QueueLimit
from rainsail.relay.header_protocol import HeaderNames, HeaderProtocol
from rainsail.relay.protocol import ItemRequest, RunnerTarget
from rainsail.state.job_commands import ItemHeader, RelayedItem

SEED = 47
SLOTS = 8
UNSENDABLE_JOB = "unsendable"
SOUND_JOB = "sound"
REQUEST_FIELD = b"Rainsail-Request"


class HeaderFleet(RelayedFleet):
    """A fleet whose storage nodes send items by the product's own protocol."""

    def make_protocol(self) -> Any:
        """Return the protocol."""
        return HeaderProtocol(HeaderNames())


def _read(item: str, path: str, name: str, value: str) -> Any:
    entry = (
        f'{{"id": {item}, "path": {path}, "headers": {{{name}: {value}}}, "body": "", "tokens": 1}}'
    )
    return read_items(f'{{"items": [{entry}]}}'.encode())


@then(
    "a job of an item with the id {item}, the path {path} and the header {name}: {value} is "
    "refused, since {field} is invalid"
)
def is_refused(context, item, path, name, value, field):
    read = _read(item, path, name, value)
    assert read.is_error() and read.error.code == FaultCode.INVALID, read
    assert read.error.detail.startswith(f"{field.rstrip()}"), read.error.detail


@then(
    "a job of an item with the id {item}, the path {path} and the header {name}: {value} is "
    "accepted, and the header is sent as {sent}"
)
def is_accepted(context, item, path, name, value, sent):
    read = _read(item, path, name, value)
    assert read.is_ok(), read.error
    (made,) = read.ok
    request = HeaderProtocol(HeaderNames()).item_request(
        ItemRequest(HOST, made, None, ""), RunnerTarget("runner-1", "10.0.0.1:80")
    )
    fields = dict(request.headers)
    assert fields[json.loads(name).encode()] == json.loads(sent).encode("latin-1"), fields


@given("a relayed fleet whose items are sent with their headers, with a runner of {slots:d} slots")
def make_fleet(context, slots):
    assert slots == SLOTS
    context.fleet = fleet = HeaderFleet(SEED)
    fleet.leader("controller")
    fleet.leader("storage")
    controller = fleet.controller("controller-1")
    assert fleet.result_of(controller.tables.replace(1, b"1"), "a table").is_ok()
    controller.reports.take(replace(runner_record(1), slots=SLOTS))
    fleet.run_for(1.5)


def _submit(context, job: str, items: tuple[RelayedItem, ...]) -> None:
    fleet = context.fleet
    limit = QueueLimit("/jobs/", 0)
    done = fleet.nodes["gateway-1"].role.submit("", job, HOST, JOB_PATH, items, limit)
    assert fleet.result_of(done, "an answer to the job").is_ok()


@when("a job is accepted whose only item has the header value {value}")
def accept_unsendable(context, value):
    """Hand the job in behind the gateway's check, as one of an earlier version accepted it."""
    headers = (ItemHeader("Model", json.loads(value)),)
    item = RelayedItem(f"{UNSENDABLE_JOB}-0", f"{JOB_PATH}/0", headers, b"body", 10)
    _submit(context, UNSENDABLE_JOB, (item,))


@step("a job of {count:d} items follows")
def follow(context, count):
    items = tuple(
        RelayedItem(f"{SOUND_JOB}-{number}", f"{JOB_PATH}/{number}", (), b"body", 10)
        for number in range(count)
    )
    _submit(context, SOUND_JOB, items)


@when("an unexpected error ends the next round of the ledger's leader")
def break_round(context):
    fleet = context.fleet
    dispatcher = fleet.nodes[fleet.leader("storage")].role.dispatcher
    starter = dispatcher._starter
    start_items = starter.start_items
    context.raised = False

    def fail_once() -> None:
        if not context.raised:
            context.raised = True
            raise RuntimeError("an error of this test")
        start_items()

    starter.start_items = fail_once
    try:
        fleet.run_for(0.2)
    except RuntimeError:
        # The virtual clock passes on what a reactor would log.
        fleet.run_for(0.2)
    assert context.raised


@step("{seconds:g} s pass in that relayed fleet")
def pass_time(context, seconds):
    try:
        context.fleet.run_for(seconds)
    except (UnicodeEncodeError, ValueError) as error:
        raise AssertionError(f"the dispatch has ended: {error}") from error


@then("the first job's item is listed as given up, and {count:d} items are sent")
def given_up(context, count):
    fleet = context.fleet
    state = fleet.nodes[fleet.leader("storage")].role.state
    (job,) = [each for each in state.jobs.values() if each.client_id == UNSENDABLE_JOB]
    assert not job.unlisted and [each.done for each in job.listed] == [False], job
    items_sent(context, count)


@then("{count:d} items are sent to the runner")
def items_sent(context, count):
    sent = {call.field(REQUEST_FIELD) for call in context.fleet.calls()}
    assert sent == {f"{SOUND_JOB}-{number}" for number in range(count)}, sent
