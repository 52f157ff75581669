"""Steps on jobs of several tenants, in virtual time."""

from behave import step, then

from rainsail.errors import FaultCode


def _hand_in(context, tenant, job, count):
    done = context.fleet.submit("gateway-1", job, count, tenant)
    return context.fleet.result_of(done, f"an answer to job {job}")


@step('tenant "{tenant}" has handed in job "{job}" of {count:d} items')
def handed_in(context, tenant, job, count):
    result = _hand_in(context, tenant, job, count)
    assert result.is_ok(), result
    context.job_size = count


@then('tenant "{tenant}" can\'t hand in job "{job}" of {count:d} items, over its limit')
def over_limit(context, tenant, job, count):
    result = _hand_in(context, tenant, job, count)
    assert result.is_error() and result.error.code == FaultCode.OVER_LIMIT, result


def _client(context):
    return context.fleet.nodes["gateway-2"].role


@then('tenant "{tenant}" finds no job "{job}" to read, no body in it, and none to end')
def finds_none(context, tenant, job):
    client = _client(context)
    calls = (
        client.read(tenant, job, 0, 0.0),
        client.read_body(tenant, job, f"{job}-0"),
        client.end(tenant, job),
    )
    for done in calls:
        result = context.fleet.result_of(done, "an answer")
        assert result.is_error() and result.error.code == FaultCode.NOT_FOUND, result


@then('no tenant at all finds job "{job}" to read')
def none_finds(context, job):
    result = context.fleet.result_of(_client(context).read("", job, 0, 0.0), "an answer")
    assert result.is_error() and result.error.code == FaultCode.NOT_FOUND, result


@then('tenant "{tenant}" reads job "{job}" of {count:d} items at the other gateway')
def reads(context, tenant, job, count):
    result = context.fleet.result_of(_client(context).read(tenant, job, 0, 0.0), "a page")
    assert result.is_ok() and result.ok.total == count, result


@then('each sending of an item names tenant "{tenant}"')
def names_tenant(context, tenant):
    calls = context.fleet.calls()
    assert calls and all(call.field(b"tenant") == tenant for call in calls), calls
