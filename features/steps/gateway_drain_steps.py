"""Steps on planned stops of gateways."""

from behave import given, then, when
from features.support.gateway import WIDE_TOKENS_PER_S, GatewayFleet

from rainsail.gateway.drain import RequestName
from rainsail.gateway.settings import DrainSettings, GatewaySettings
from rainsail.logs import logger
from rainsail.resources.specs import Kind, TenantSpec


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


@then("the first {count:d} gateway callers have their complete answers")
def first_complete(context, count):
    for caller in context.fleet.callers[:count]:
        assert caller.is_complete(), (caller.request.request_id, caller.faults)


@then("the planned stop is over and aborted nothing")
def cut_nothing(context):
    assert [report.aborted for report in context.reports] == [()], context.reports


@then("the planned stop is over and aborted the request of gateway caller {index:d}")
def cut_one(context, index):
    request = context.fleet.callers[index].request
    names = (RequestName(request.tenant, request.request_id),)
    assert [report.aborted for report in context.reports] == [names], context.reports


@given(
    "a gateway fleet of {runners:d} runners and {gateways:d} gateway "
    "with a grace time of {seconds:g} seconds"
)
def larger_fleet_with_grace(context, runners, gateways, seconds):
    fleet_with_grace(context, runners, gateways, seconds)


@given("the log of the gateway is recorded")
def keep_log(context):
    context.log_records = []
    sink = logger.add(lambda message: context.log_records.append(message.record))
    context.add_cleanup(logger.remove, sink)


@when('gateway tenants "{one}" and "{other}" both ask for {tokens:d} tokens as "{request_id}"')
def ask_with_one_id(context, one, other, tokens, request_id):
    wide = TenantSpec(WIDE_TOKENS_PER_S, WIDE_TOKENS_PER_S)
    for tenant in (one, other):
        context.fleet.put(Kind.TENANT, tenant, wide)
        context.fleet.ask(request_id, tokens=tokens, tenant=tenant)


@then('the planned stop is over and aborted "{request_id}" of "{one}" and of "{other}" alone')
def aborted_both(context, request_id, one, other):
    names = (RequestName(one, request_id), RequestName(other, request_id))
    assert [report.aborted for report in context.reports] == [names], context.reports
    for caller in context.fleet.callers:
        was_aborted = caller.request.request_id == request_id
        assert bool(caller.faults) == was_aborted, (caller.request, caller.faults)


@then("the log of the gateway has a warning for each aborted request")
def aborted_logged(context):
    warned = [
        (record["extra"]["tenant"], record["extra"]["request_id"])
        for record in context.log_records
        if record["level"].name == "WARNING" and "grace time" in record["message"]
    ]
    aborted = [(name.tenant, name.request_id) for name in context.reports[0].aborted]
    assert warned == aborted, warned
