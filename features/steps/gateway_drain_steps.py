"""Steps on planned stops of gateways."""

from behave import given, then, when
from features.support.gateway import GatewayFleet

from rainsail.gateway.settings import DrainSettings, GatewaySettings


@given(
    "a gateway fleet of {runners:d} runner and {gateways:d} gateway "
    "with a grace time of {seconds:g} seconds"
)
def fleet_with_grace(context, runners, gateways, seconds):
    settings = GatewaySettings(drain=DrainSettings(grace_s=seconds))
    context.fleet = GatewayFleet(runners, gateways, settings=settings)


@when("gateway {index:d} of the fleet begins a planned stop")
def begin_stop(context, index):
    context.reports = []
    context.fleet.gateways[index].core.drain().addCallback(context.reports.append)


@then("the first {count:d} gateway callers have their whole answers")
def first_whole(context, count):
    for caller in context.fleet.callers[:count]:
        assert caller.is_whole(), (caller.request.request_id, caller.faults)


@then("the planned stop is over and cut nothing")
def cut_nothing(context):
    assert [report.cut for report in context.reports] == [()], context.reports


@then("the planned stop is over and cut the request of gateway caller {index:d}")
def cut_one(context, index):
    request_id = context.fleet.callers[index].request.request_id
    assert [report.cut for report in context.reports] == [(request_id,)], context.reports
