"""Steps on the decision whether a relayed request is retried."""

from dataclasses import replace

from behave import given, step, then, when

from rainsail.http.client import AnswerHead
from rainsail.relay.continuation import (
    Abort,
    AttemptEnd,
    ClientHas,
    Refuse,
    RequestProgress,
    SendAgain,
    SendTerms,
    decide_send,
    end_after_attempt,
    forwards_answer,
    give_up_without_runner,
    judge_body,
    judge_head,
    judge_item_body,
    may_leave_silent_runner,
    may_repeat,
    refuse_over_quota,
    refuse_overloaded,
    time_out,
)
from rainsail.relay.protocol import AnswerVerdict
from rainsail.relay.settings import RelaySettings
from rainsail.relay.table import Route, RouteKind, ServiceShare

SETTINGS = RelaySettings()
EVENTS = ((b"content-type", b"text/event-stream"),)
NO_VERDICT = AnswerVerdict(True, False, False, False, None)
PROMISES_NOT_RUN = (429, 503)


def _route(kind):
    resumable = kind == "resumable"
    return Route(
        name="r",
        host="a.example",
        prefix="/",
        kind=RouteKind.STREAM if resumable else RouteKind(kind),
        shares=(ServiceShare("model", 1.0),),
        timeout_s=4.0,
        target_s=0.3,
        max_attempts=2,
        resumable=resumable,
    )


def _is_yes(text):
    assert text in ("yes", "no"), text
    return text == "yes"


@given('a decision on a "{kind}" route')
@given('a decision on an "{kind}" route')
def make_decision(context, kind):
    context.route = _route(kind)
    context.progress = RequestProgress(0, False, False, ClientHas.NOTHING, None, "")
    context.terms = SendTerms(context.route, False, 2.0)


@given("{attempts:d} attempts were made, and the request may have run: {ran}")
@given("{attempts:d} attempt was made, and the request may have run: {ran}")
def attempts_made(context, attempts, ran):
    context.progress = replace(context.progress, attempts=attempts, may_have_run=_is_yes(ran))


@given('the client has "{has}"')
def client_has(context, has):
    context.progress = replace(context.progress, client_has=ClientHas(has))


@given('the client has "{has}" up to event {number:d}')
def client_has_events(context, has, number):
    context.progress = replace(context.progress, client_has=ClientHas(has), last_event=number)


@given("{seconds:g} seconds are left")
def seconds_left(context, seconds):
    context.terms = replace(context.terms, time_left_s=seconds)


@given("a runner was found")
def runner_found(context):
    context.progress = replace(context.progress, runner_found=True)


@given("the request is quarantined")
def quarantined(context):
    context.terms = replace(context.terms, quarantined=True)


@given("the route is gone")
def route_gone(context):
    context.terms = replace(context.terms, route=None)


@given('the last attempt ended for "{reason}"')
@given('the last attempt ended for ""')
def last_reason(context, reason=""):
    context.progress = replace(context.progress, reason=reason)


@when("an answer has the status {status:d}, {belongs}, {proof} and {content}")
def head_comes(context, status, belongs, proof, content):
    verdict = replace(
        NO_VERDICT, belongs=belongs == "is this request's", not_run=proof == "a proof of not run"
    )
    context.kind = judge_head(AnswerHead(status, EVENTS if content == "events" else ()), verdict)


@then('the head is judged as "{kind}"')
def head_judged(context, kind):
    assert context.kind == kind, context.kind


@when("a whole answer has the status {status:d}")
def whole_answer(context, status):
    context.status = status


@then('it ends the attempt of a client\'s request as "{end}"')
def ends_attempt(context, end):
    verdict = replace(NO_VERDICT, promises_not_run=context.status in PROMISES_NOT_RUN)
    found = judge_body(context.status, verdict)
    assert found == end, found


@then('it ends the run of an item as "{end}"')
def ends_run(context, end):
    found = judge_item_body(context.status)
    assert found == end, found


@then("a request that may have run may be repeated: {repeated}")
def repeatable(context, repeated):
    assert may_repeat(context.route, context.progress.client_has) == _is_yes(repeated)


@then('a whole answer that ends as "{end}" is forwarded: {passed}')
def passed_on(context, end, passed):
    assert forwards_answer(AttemptEnd(end), context.route, ClientHas.NOTHING) == _is_yes(passed)


@when("the next attempt is decided on")
def decide(context):
    context.decision = decide_send(context.progress, context.terms, SETTINGS)


@when('an attempt ends as "{end}"')
def attempt_ends(context, end):
    context.decision = end_after_attempt(AttemptEnd(end), context.route, context.progress, SETTINGS)


@when("its deadline passes while it is at a runner: {sent}")
def time_is_over(context, sent):
    context.decision = time_out(context.progress, _is_yes(sent), SETTINGS)


@when('no runner is left, since "{why}"')
def no_runner(context, why):
    context.decision = give_up_without_runner(context.progress, why, SETTINGS)


@then("the request is sent again, from the start")
def sent_afresh(context):
    assert context.decision == SendAgain(context.route, None), context.decision


@then("the request is sent again, after event {number:d}")
def sent_behind(context, number):
    assert context.decision == SendAgain(context.route, number), context.decision


@then("the request may go on")
def may_go_on(context):
    assert context.decision is None, context.decision


@step('the client is refused with {status:d}, {retry}, as "{outcome}"')
def refused(context, status, retry, outcome):
    assert isinstance(context.decision, Refuse), context.decision
    found = context.decision
    assert (found.status, found.outcome) == (status, outcome), found
    if retry == "no retry":
        assert found.retry_after_s is None, found
    else:
        assert retry == f"retry after {found.retry_after_s:g} s", found


@then("the request is refused with {status:d}")
def refused_with(context, status):
    assert isinstance(context.decision, Refuse), context.decision
    assert context.decision.status == status, context.decision
    assert (context.decision.retry_after_s is not None) == (status == 503), context.decision


@then('the request is refused for "{reason}"')
def refused_for(context, reason):
    assert isinstance(context.decision, Refuse), context.decision
    assert context.decision.reason == reason, context.decision


@then('the answer is cut off as "{outcome}"')
@then('the request is cut off as "{outcome}"')
def cut_off(context, outcome):
    assert isinstance(context.decision, Abort), context.decision
    assert context.decision.outcome == outcome, context.decision


@then("a silent runner may be left while there is {other} other runner: {left}")
def silent_runner(context, other, left):
    found = may_leave_silent_runner(context.route, ClientHas.NOTHING, other == "one")
    assert found == _is_yes(left), found


@then('an overloaded service refuses with 503 and a retry time, as "{outcome}"')
def overloaded(context, outcome):
    found = refuse_overloaded("model", 0.4)
    assert (found.status, found.retry_after_s, found.outcome) == (503, 0.4, outcome), found


@then('a tenant\'s quota refuses with 429 and a retry time, as "{outcome}"')
def over_quota(context, outcome):
    found = refuse_over_quota("tenant-1", 0.7)
    assert (found.status, found.retry_after_s, found.outcome) == (429, 0.7, outcome), found
