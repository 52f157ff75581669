"""Steps on clients of the relay that take their answers slowly."""

from behave import step, then

FAR_AHEAD_S = 3.0


@step("the client is too slow for its answer")
def too_slow(context):
    context.exchange.slow(True)


@step("the client has caught up")
def caught_up(context):
    context.exchange.slow(False)


@then("the runner's answer is not read")
def not_read(context):
    assert context.relay.last_call.is_paused


@then("the runner's answer is read")
def is_read(context):
    assert not context.relay.last_call.is_paused


@then("no runner counts as silent")
def none_silent(context):
    now = context.relay.clock.seconds() + FAR_AHEAD_S
    assert context.relay.context.loads.timed_out(now) == []
