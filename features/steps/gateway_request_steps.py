"""Steps that send requests through gateways and check the callers' answers and faults."""

from behave import given, then, when
from features.support.gateway import GatewayFleet

from rainsail.errors import Outcome
from rainsail.resources.specs import RequestClass


@given("a gateway fleet of {runners:d} runner and {gateways:d} gateway")
@given("a gateway fleet of {runners:d} runners and {gateways:d} gateway")
@given("a gateway fleet of {runners:d} runners and {gateways:d} gateways")
def make_fleet(context, runners, gateways):
    context.fleet = GatewayFleet(runners, gateways)


@given("gateway {index:d} has lost its configuration lease")
def lose_lease(context, index):
    context.fleet.gateways[index].config.valid = False


@when("{count:d} gateway caller asks at once")
@when("{count:d} gateway callers ask at once")
def ask_many(context, count):
    for index in range(count):
        context.fleet.ask(f"request-{len(context.fleet.callers)}-{index}")


@when('a non-repeatable request "{request_id}" is sent to gateway {index:d}')
def ask_once(context, request_id, index):
    context.fleet.ask(request_id, index, class_=RequestClass.NON_REPEATABLE)


@when("{seconds:g} seconds of gateway time pass")
def pass_time(context, seconds):
    context.fleet.run(seconds)


@then("every gateway caller has its own complete answer")
def all_complete(context):
    assert context.fleet.callers
    for caller in context.fleet.callers:
        assert caller.is_complete(), (caller.request.request_id, caller.faults, caller.text)


@then("gateway caller {index:d} has its own complete answer")
def one_complete(context, index):
    caller = context.fleet.callers[index]
    assert caller.is_complete(), (caller.faults, caller.text)


@then("every runner of the gateway fleet has run requests")
def all_used(context):
    for engine in context.fleet.engines.values():
        assert engine.executions, f"{engine.runner} ran nothing"


@then('request "{request_id}" was run {count:d} time by the gateway fleet')
@then('request "{request_id}" was run {count:d} times by the gateway fleet')
def count_runs(context, request_id, count):
    runs = context.fleet.runs_of(request_id)
    assert runs == count, f"{request_id} was run {runs} times"


@then('gateway caller {index:d} got the outcome "{outcome}"')
def got_outcome(context, index, outcome):
    faults = context.fleet.callers[index].faults
    assert [fault.outcome for fault in faults] == [Outcome(outcome)], faults


@then('gateway caller {index:d} got the outcome "{outcome}" at once with a retry-after time')
def got_outcome_at_once(context, index, outcome):
    caller = context.fleet.callers[index]
    got_outcome(context, index, outcome)
    assert caller.took_s == 0.0, f"ended after {caller.took_s} s"
    assert caller.faults[0].retry_after_s, caller.faults


@then('one gateway caller has its own complete answer and the other got the outcome "{outcome}"')
def one_of_two(context, outcome):
    complete = [caller for caller in context.fleet.callers if caller.is_complete()]
    outcomes = [fault.outcome.value for caller in context.fleet.callers for fault in caller.faults]
    assert len(complete) == 1 and outcomes == [outcome], (len(complete), outcomes)


@then(
    "gateway {index:d} counts as waiting the requests that are not at a runner, "
    "and {sessions:d} session held"
)
def counts_waiting(context, index, sessions):
    gateway = context.fleet.gateways[index]
    running = sum(state.online_running for state in gateway.fleet.runners())
    waiting = gateway.core.in_progress - running
    assert waiting > 0 and gateway.core.requests_waiting == waiting, (waiting, running)
    assert gateway.core.sessions_held == sessions


@then("gateway {index:d} may still send {count:d} retries")
def retries_left(context, index, count):
    assert context.fleet.gateways[index].core.retries_left == count


@then("gateway {index:d} may send no further retry now")
def no_retry_left(context, index):
    assert context.fleet.gateways[index].core.retries_left < 1.0
