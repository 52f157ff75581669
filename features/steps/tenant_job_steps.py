"""Steps for jobs of several tenants, in virtual time."""

from behave import step, then

from rainsail.errors import FaultCode


def _submit(context, tenant, job, count):
    done = context.fleet.submit("gateway-1", job, count, tenant)
    return context.fleet.result_of(done, f"an answer to job {job}")


@step('tenant "{tenant}" has submitted job "{job}" of {count:d} items')
def submitted(context, tenant, job, count):
    result = _submit(context, tenant, job, count)
    assert result.is_ok(), result
    context.job_size = count


@then('tenant "{tenant}" can\'t submit job "{job}" of {count:d} items, over its limit')
def over_limit(context, tenant, job, count):
    result = _submit(context, tenant, job, count)
    assert result.is_error() and result.error.code == FaultCode.OVER_LIMIT, result


def _client(context):
    return context.fleet.nodes["gateway-2"].role


@then('tenant "{tenant}" can neither read job "{job}", nor its bodies, nor end it')
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


@then('a caller without a tenant cannot read job "{job}"')
def none_finds(context, job):
    result = context.fleet.result_of(_client(context).read("", job, 0, 0.0), "an answer")
    assert result.is_error() and result.error.code == FaultCode.NOT_FOUND, result


@then('tenant "{tenant}" reads job "{job}" of {count:d} items at the other gateway')
def reads(context, tenant, job, count):
    result = context.fleet.result_of(_client(context).read(tenant, job, 0, 0.0), "a page")
    assert result.is_ok() and result.ok.total == count, result


@then('each attempt of an item names tenant "{tenant}"')
def names_tenant(context, tenant):
    calls = context.fleet.calls()
    assert calls and all(call.field(b"tenant") == tenant for call in calls), calls
