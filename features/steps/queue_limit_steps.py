"""Steps on the limit of the tokens that wait on a route."""

from behave import given, step, then, when
from expression import Error
from features.steps.relayed_job_steps import end_all, report_use
from features.support.relaying import StandInExchange
from twisted.internet.defer import succeed

from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.cluster.messages import ReadTable
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.fleet_api.replies import reply_fault
from rainsail.simulation.clock import VirtualClock

WITHIN_S = 3.0


@given("at most {tokens:d} tokens may wait, 10 for each item")
def set_limit(context, tokens):
    context.fleet.max_queued_tokens = tokens
    context.answers = {}


def _hand_in(context, gateway, job, count):
    done = context.fleet.submit(gateway, job, count)
    context.answers[job] = context.fleet.result_of(done, f"an answer to job {job}")


@step('a gateway hands in job "{job}" of {count:d} items')
def hand_in(context, job, count):
    _hand_in(context, "gateway-1", job, count)


@step('the other gateway hands in job "{job}" of {count:d} items')
def hand_in_elsewhere(context, job, count):
    _hand_in(context, "gateway-2", job, count)


@when("both gateways hand in jobs of {count:d} items at the same time")
def hand_in_both(context, count):
    calls = {name: context.fleet.submit(name, f"of {name}", count) for name in GATEWAYS}
    for name, done in calls.items():
        context.answers[name] = context.fleet.result_of(done, f"an answer to {name}")


GATEWAYS = ("gateway-1", "gateway-2")


@then("one of them is accepted and the other refused as over the limit")
def one_passes(context):
    answers = [context.answers[name] for name in GATEWAYS]
    refused = [answer for answer in answers if answer.is_error()]
    assert [answer.error.code for answer in refused] == [FaultCode.OVER_LIMIT], answers


@then('job "{job}" is accepted')
def job_accepted(context, job):
    assert context.answers[job].is_ok(), context.answers[job]


@then('job "{job}" is refused as over the limit and was not taken')
def job_refused(context, job):
    answer = context.answers[job]
    assert answer.is_error(), answer
    fault = answer.error
    assert (fault.code, fault.outcome) == (FaultCode.OVER_LIMIT, Outcome.NOT_RUN), fault
    leader = context.fleet.nodes[context.fleet.leader("storage")].role
    assert job not in leader.state.jobs


@when("the runner takes items again and one item is done")
def one_done(context):
    report_use(context, 7)
    context.fleet.run_until(lambda: context.fleet.calls(), "a run", 5)
    end_all(context)
    context.fleet.run_for(0.5)


@when('a gateway ends job "{job}"')
def end_job(context, job):
    done = context.fleet.nodes["gateway-1"].role.end("", job)
    assert context.fleet.result_of(done, "an answer to the end").is_ok()


class _Messenger:
    """Answers each call with the next of the given faults."""

    name = "gateway-1"

    def __init__(self, faults):
        self._faults = list(faults)

    def call(self, target, message, timeout_s):
        return succeed(Error(self._faults.pop(0)))


FIRST_FAULTS = {
    "is refused as not leading": Fault(FaultCode.NOT_LEADER, "jobs.submit", "another node leads"),
    "gets no answer": Fault(FaultCode.TIMEOUT, "call", "no answer", outcome=Outcome.UNKNOWN),
}


@when("a call to the leader {first} and then meets a full queue")
def call_leader(context, first):
    clock = VirtualClock()
    over = Fault(FaultCode.OVER_LIMIT, "jobs.submit", "the queue is full")
    messenger = _Messenger((FIRST_FAULTS[first], over))
    caller = LeaderCaller(messenger, clock, None, lambda: ("storage-1",))
    results = []
    caller.call(ReadTable(), None, WITHIN_S, repeatable=True).addCallback(results.append)
    clock.advance(WITHIN_S)
    context.exchange = StandInExchange(None, clock)
    reply_fault(context.exchange, results[0].error)


@then("the client is answered {status:d} {presence} a Retry-After field")
def client_answered(context, status, presence):
    assert context.exchange.status == status, context.exchange.status
    assert (b"Retry-After" in dict(context.exchange.headers)) == (presence == "with")
