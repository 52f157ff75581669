"""Steps on batch items of several services and regions."""

from dataclasses import replace
from typing import Any

from behave import given, step, then, when
from expression import Ok
from features.support.relayed_fleet import COMPLETION_S, RelayedFleet
from features.support.relaying import HOST, runner_record

from rainsail.jobs.item_order import ItemOrder
from rainsail.jobs.messages import QueueLimit
from rainsail.jobs.open_item import OpenItem
from rainsail.jobs.waiting_items import WaitingItems
from rainsail.relay.table import ClientLimits, Route, RouteKind, RoutingTable, Service, ServiceShare
from rainsail.state.job_commands import RelayedItem

SEED = 41
SLOTS = 8
PATHS = {"model": "/model/", "other": "/other/", "model in the east": "/east/"}
RUNNERS = {
    "model": ("model", "zone-1"),
    "model in the west": ("model", "zone-1"),
    "other": ("other", "zone-1"),
}
"""Service and zone of a runner; zone-1 lies in the west."""


class TwoServiceFleet(RelayedFleet):
    """A fleet with a batch route for each of two services, and one for a region of the first."""

    def table_of(self, content: bytes) -> Any:
        """Return the table."""
        model = Route(
            "model",
            HOST,
            PATHS["model"],
            RouteKind.BATCH,
            (ServiceShare("model", 1.0),),
            30.0,
            1.0,
            max_attempts=2,
            completion_s=COMPLETION_S,
        )
        other = replace(
            model, name="other", prefix=PATHS["other"], shares=(ServiceShare("other", 1.0),)
        )
        east = replace(
            model,
            name="east",
            prefix=PATHS["model in the east"],
            allowed_regions=frozenset(["east"]),
        )
        if int(content) > 1:
            east = replace(other, name="east", prefix=PATHS["model in the east"])
        services = (Service("model", 10, True), Service("other", 10, True))
        return Ok(RoutingTable(int(content), (model, other, east), services, ClientLimits()))


@given(
    'a fleet with a batch route for "model", "other" and "model" in the east, '
    "and runners of {runners}"
)
def make_fleet(context, runners):
    context.fleet = fleet = TwoServiceFleet(SEED)
    fleet.leader("controller")
    fleet.leader("storage")
    controller = fleet.controller("controller-1")
    assert fleet.result_of(controller.tables.replace(1, b"1"), "a table").is_ok()
    for number, name in enumerate(runners.split(", "), start=1):
        service, zone = RUNNERS[name]
        record = replace(runner_record(number, zone=zone), service=service, slots=SLOTS)
        controller.reports.take(record)
    fleet.run_for(1.5)
    context.jobs = []


@when("a job of {count:d} items comes for {route}")
def hand_in(context, count, route):
    fleet = context.fleet
    path = PATHS[route]
    name = f"job-{len(context.jobs) + 1}"
    items = tuple(
        RelayedItem(f"{name}-{number}", f"{path}{number}", (), b"body", 10)
        for number in range(count)
    )
    context.jobs.append(name)
    done = fleet.nodes["gateway-1"].role.submit("", name, HOST, path, items, QueueLimit(path, 0))
    assert fleet.result_of(done, "an answer to the job").is_ok()


@step("{later_s:g} s later one of {count:d} items for {route}")
def hand_in_later(context, later_s, count, route):
    context.fleet.run_for(later_s)
    hand_in(context, count, route)


@step("{seconds:g} s of the two jobs pass")
def pass_time(context, seconds):
    context.fleet.run_for(seconds)


@then("all {second:d} items of the second job run, and {first:d} of the first")
def items_run(context, second, first):
    running = [call for call in context.fleet.calls() if not (call.cancelled or call.over)]
    counts = [sum(call.job == name for call in running) for name in context.jobs]
    assert counts == [first, second], counts


@when("a mixed job comes, with {first:d} items for {one} before {second:d} for {other}")
def hand_in_mixed(context, first, one, second, other):
    fleet = context.fleet
    paths = [PATHS[one]] * first + [PATHS[other]] * second
    items = tuple(
        RelayedItem(f"mixed-{number}", f"{path}{number}", (), b"body", 10)
        for number, path in enumerate(paths)
    )
    context.jobs.append("mixed")
    role = fleet.nodes["gateway-1"].role
    done = role.submit("", "mixed", HOST, PATHS[one], items, QueueLimit(PATHS[one], 0))
    assert fleet.result_of(done, "an answer to the job").is_ok()


@then("{count:d} items of the mixed job run")
def mixed_run(context, count):
    running = [call for call in context.fleet.calls() if not (call.cancelled or call.over)]
    assert len(running) == count, len(running)


@step('the route for "model" in the east leads to "other"')
def change_routes(context):
    fleet = context.fleet
    controller = fleet.controller("controller-1")
    assert fleet.result_of(controller.tables.replace(2, b"2"), "a table").is_ok()


@given("{jobs:d} jobs of {items:d} waiting items each, for {routes:d} routes by turns")
def waiting_items(context, jobs, items, routes):
    context.route_of = lambda item: f"route {item.index % routes}"
    context.waiting = WaitingItems(context.route_of)
    for job in (f"job-{number}" for number in range(jobs)):
        context.waiting.add_job(job, [OpenItem(job, index) for index in range(items)])


@when("no item of a round finds a slot")
def examine(context):
    context.examined = list(context.waiting.by_urgency(ItemOrder()))


@then("{count:d} items are examined in the round")
def examined(context, count):
    assert len(context.examined) == count, len(context.examined)


@when("no item of route {full:d} finds a slot, and those of the others do")
def start_others(context, full):
    context.started = []
    for item in context.waiting.by_urgency(ItemOrder()):
        if context.route_of(item) != f"route {full}":
            context.waiting.take(item)
            context.started.append(item.index)


@then("the items {indexes} are started")
def started(context, indexes):
    assert context.started == [int(each) for each in indexes.split(", ")], context.started
