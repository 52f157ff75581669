"""Steps for data residency: in which regions requests, items and jobs may be served."""

import random

from behave import given, step, then, when
from features.support.relayed_fleet import RelayedFleet
from features.support.relaying import (
    HOST,
    SERVICE,
    RelayWorld,
    event,
    runner_record,
)

from rainsail.relay.table import ClientLimits, Route, RouteKind, RoutingTable, Service, ServiceShare
from rainsail.routing.messages import Placement, PlaceRequest
from rainsail.routing.online_use import OnlineUseTracker
from rainsail.routing.outlier_ejection import OutlierDetector
from rainsail.routing.placer import Placer
from rainsail.routing.residency import RegionMap
from rainsail.routing.warm_up_limiter import WarmUpBound, WarmUpLimiter
from rainsail.tenancy.tenants import TenantDirectory, make_tenant

REGIONS = RegionMap({"zone-1": "east", "zone-2": "east", "zone-3": "west", "zone-4": "west"})
RUNNERS = {1: "zone-1", 2: "zone-2", 3: "zone-3", 4: "zone-4"}
REGION_OF = {"runner-1": "east", "runner-2": "east", "runner-3": "west", "runner-4": "west"}
SEED = 29


def _names(text):
    return frozenset(name for name in text.split(",") if name)


# --- online ------------------------------------------------------------------------------------


@given('a relay with runners in east and west and a resumable stream route of "{regions}"')
@given('a relay with runners in east and west and a resumable stream route of ""')
def make_relay(context, regions=""):
    context.relay = world = RelayWorld(runners=0)
    world.context.regions = REGIONS
    for number, zone in RUNNERS.items():
        world.registry.take((runner_record(number, zone=zone),))
    _allow(context, regions, 1)


def _allow(context, regions, version):
    context.relay.put_route(
        "stream", attempts=4, resumable=True, version=version, allowed_regions=_names(regions)
    )


@given("a leader that places requests at a runner of west")
def leader_of_west(context):
    placement = Placement("runner-3", 1, 0, 16, False)
    context.relay.context.place = lambda ask, placed, must_ask: placed(placement)


@when("{count:d} clients ask it")
def ask(context, count):
    context.exchanges = [
        context.relay.request(request=f"request-{number}") for number in range(count)
    ]


@then("they went to {regions} only")
def went_to(context, regions):
    runners = {call.field(b"runner") for call in context.relay.pool.calls}
    assert {REGION_OF[runner] for runner in runners} == set(_names(regions)), runners


def _break_off(context):
    call = context.relay.last_call
    call.begin_stream()
    for number in (1, 2):
        call.listener.answer_data(event(number))
    call.listener.answer_failed("connection reset")


@when("a client asks it and its stream breaks off after 2 events")
def ask_and_break(context):
    ask(context, 1)
    _break_off(context)


@when('a client asks it and the route then allows "{regions}" only')
def ask_and_change(context, regions):
    ask(context, 1)
    _allow(context, regions, 2)


@when("its runner breaks the stream off after 2 events")
def break_off(context):
    _break_off(context)


@then("it resumes after event 2 at another runner of {region}")
def goes_on(context, region):
    first, second = context.relay.pool.calls
    assert first.field(b"runner") != second.field(b"runner")
    assert REGION_OF[second.field(b"runner")] == region
    assert second.field(b"after-event") == "2"


@then("it is refused immediately with a retry time, and nothing was sent")
def refused(context):
    (exchange,) = context.exchanges
    assert exchange.status == 503 and exchange.answered_at_s == exchange.request.received_s
    assert dict(exchange.headers).get(b"retry-after")
    assert not context.relay.pool.calls


# --- placing -----------------------------------------------------------------------------------


@given("a leader that places among runners in east and west")
def make_placer(context):
    world = RelayWorld(runners=0)
    for number, zone in RUNNERS.items():
        world.registry.take((runner_record(number, zone=zone),))
    context.placer = Placer(
        world.registry,
        OnlineUseTracker(),
        lambda runner: 0,
        OutlierDetector(),
        WarmUpLimiter(WarmUpBound(), world.registry.warm_ups),
        REGIONS,
        random.Random(SEED),
    )


@when('{count:d} requests are placed that allow "{regions}"')
def place(context, count, regions):
    ask = PlaceRequest(SERVICE, "zone-1", (), -1.0, True, tuple(_names(regions)))
    context.placed = [context.placer.place("gateway", ask, 0.0) for _ in range(count)]


@then("they were placed in {where}")
def placed_in(context, where):
    regions = {REGION_OF.get(each.runner, "none") for each in context.placed}
    assert regions == {where}, regions


# --- tables and jobs -----------------------------------------------------------------------------


@given('a table whose route allows "{route}" and whose tenant allows "{tenant}"')
@given('a table whose route allows "{route}" and whose tenant allows ""')
@given('a table whose route allows "" and whose tenant allows "{tenant}"')
@given('a table whose route allows "" and whose tenant allows ""')
def make_table(context, route="", tenant=""):
    shares = (ServiceShare(SERVICE, 1.0),)
    context.route = Route(
        "r", HOST, "/a/", RouteKind.SAFE, shares, 4.0, 0.3, allowed_regions=_names(route)
    )
    tenants = TenantDirectory([make_tenant("t", ["key"], allowed_regions=_names(tenant))])
    services = (Service(SERVICE, 100, True),)
    context.routing_table = RoutingTable(1, (context.route,), services, ClientLimits(), tenants)


@then('its requests may be served in "{both}"')
def served_in(context, both):
    allowed = context.routing_table.allowed_regions(context.route, "t")
    wanted = {"everywhere": None, "nowhere": frozenset()}.get(both, _names(both))
    assert allowed == wanted, allowed


@given('a gateway in east of a fleet of east and west whose job route allows "{route}"')
@given('a gateway in east of a fleet of east and west whose job route allows ""')
def make_job_gateway(context, route=""):
    context.kept = REGIONS.may_be_kept(_names(route) or None, "zone-1")


@when("a client submits a job there")
def hand_in_there(context):
    assert isinstance(context.kept, bool)


@then("the job is handed to the ledger")
def job_handed(context):
    assert context.kept


@then("the job is refused with a retry time, and not forwarded")
def job_refused(context):
    assert not context.kept


# --- items ---------------------------------------------------------------------------------------


@given("a relayed fleet of 2 regions whose jobs may run in east")
def make_fleet(context):
    context.fleet = fleet = RelayedFleet(SEED)
    fleet.leader("controller")
    fleet.leader("storage")
    fleet.run_for(1.5)
    for number in (3, 6, 4, 5):
        record = runner_record(number, zone=f"zone-{number % 3}")
        done = fleet.controller("controller-1").reports.take(record)
        assert fleet.result_of(done, "an answer to the runner").is_ok()
    context.table_version = 0
    allow_jobs(context, "east")
    context.ran = 0


@when("a table allows jobs in {region} only")
def allow_jobs(context, region):
    context.table_version += 1
    content = f"{context.table_version} {region}".encode()
    done = context.fleet.controller("controller-1").tables.replace(context.table_version, content)
    assert context.fleet.result_of(done, "an answer to the table").is_ok()
    context.fleet.run_for(1.5)


@when("a gateway submits another job of {count:d} items for a region")
def hand_in(context, count):
    done = context.fleet.submit("gateway-1", "job-2", count)
    assert context.fleet.result_of(done, "an answer to the job").is_ok()


@step("{count:d} items run, all of them in {region}")
def items_run(context, count, region):
    fleet = context.fleet
    zones = {"10.0.0.3:80": "east", "10.0.0.6:80": "east"}

    def run():
        calls = fleet.calls()[context.ran :]
        assert all(zones.get(call.address, "west") == region for call in calls)
        for call in calls:
            if not call.over and not call.cancelled:
                call.over = True
                call.begin_stream()
                call.listener.answer_data(event(1))
                call.listener.answer_ended()
        return len({call.field(b"item") for call in calls}) == count

    fleet.run_until(run, "all items", 20.0)
    context.ran = len(fleet.calls())
