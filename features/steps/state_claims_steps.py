"""Steps on request claims."""

from behave import given, then, when
from features.support.state import Driver

from rainsail.errors import Fault, Outcome
from rainsail.state.commands import ClaimRequest, ClaimResult, FinishRequest
from rainsail.state.machine import ReplicatedState
from rainsail.state.settings import StateSettings


def claim(context, gateway, request_id="ping", digest="digest"):
    """Claim a request."""
    return context.driver.apply(ClaimRequest("north", request_id, digest, gateway))


def finish(context, gateway, outcome, response="", request_id="ping"):
    """Finish a request."""
    command = FinishRequest("north", request_id, gateway, outcome, response)
    return context.driver.apply(command)


@given("a claim store of the replicated state")
def step_claims(context):
    context.driver = Driver()


@given("a claim store of the replicated state that keeps {count:d} finished claims")
def step_small_claims(context, count):
    settings = StateSettings(finished_claim_window_count=count)
    context.driver = Driver(ReplicatedState(settings))


@when("gateways alpha and beta claim the same request of the replicated state")
def step_both_claim(context):
    context.answers = [claim(context, "alpha"), claim(context, "beta")]


@then("the replicated state granted it to alpha and answered beta that its outcome is unknown")
def step_one_granted(context):
    granted, refused = context.answers
    assert granted.granted, granted
    assert refused == ClaimResult(False, "alpha", Outcome.UNKNOWN), refused


@then("the replicated state grants it to alpha again when the claim is sent again")
def step_granted_again(context):
    assert claim(context, "alpha") == context.answers[0]


@when('alpha finishes the claimed request of the replicated state with "{response}"')
def step_finish(context, response):
    finish(context, "alpha", Outcome.COMPLETED, response)


@then('the replicated state answers beta that it completed with "{response}"')
def step_completed(context, response):
    context.expected = ClaimResult(False, "alpha", Outcome.COMPLETED, response)
    assert claim(context, "beta") == context.expected


@then("the answer is the same after the claims of the replicated state are restored")
def step_restored(context):
    context.driver.restart()
    assert claim(context, "beta") == context.expected


@then("the replicated state grants it to nobody any more")
def step_nobody(context):
    assert not claim(context, "alpha").granted
    assert not claim(context, "gamma").granted


@when("{gateway} reports to the replicated state that the request was not run")
def step_not_run(context, gateway):
    context.answer = finish(context, gateway, Outcome.NOT_RUN)


@when("gateway beta claims it from the replicated state with other content")
def step_other_content(context):
    context.answer = claim(context, "beta", digest="other")


@then('the replicated state answers the claim with fault "{code}"')
def step_claim_fault(context, code):
    assert isinstance(context.answer, Fault), context.answer
    assert context.answer.code == code, context.answer


@then("the replicated state grants it to beta")
def step_beta(context):
    assert claim(context, "beta").granted


@when("3 requests are claimed and finished in the replicated state")
def step_three(context):
    for number in range(3):
        claim(context, "alpha", f"ping-{number}")
        finish(context, "alpha", Outcome.COMPLETED, "pong", f"ping-{number}")


@then("the replicated state still knows the last 2 requests and has evicted the first")
def step_window(context):
    granted = [claim(context, "beta", f"ping-{number}").granted for number in range(3)]
    assert granted == [True, False, False], granted
