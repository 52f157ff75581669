"""Steps that replay traces against the simulated fleet and over HTTP."""

import json
from collections import Counter
from dataclasses import replace

from behave import given, then, when
from features.support.caller_api import API_KEY, ServedApi
from features.support.command_line import ROOT
from features.support.reactor_thread import in_reactor, reactor
from features.support.replay import folder_of, job, outcomes_from, trace
from twisted.internet.defer import Deferred

from rainsail.emulator.answers import expected_answer
from rainsail.errors import Fault, FaultCode
from rainsail.experiment.replay.judge import Verdict
from rainsail.experiment.replay.live import LiveTarget, replay_live
from rainsail.experiment.replay.outcomes import read_outcomes
from rainsail.experiment.replay.simulated import replay_simulated
from rainsail.experiment.trace.files import read_trace
from rainsail.simulation.defects import DEFECTS, applied_defect
from rainsail.simulation.fault_plan import FaultAction, FaultKind, FaultPlan, write_plan
from rainsail.state.commands import ItemPhase
from rainsail.state.interface import ResultRow

SPEED = 10.0
SERVICE = "reports"


def sample(site):
    """Return a site's sample trace and its stated outcomes."""
    folder = ROOT / "examples" / site
    return read_trace(folder / "trace.avro").ok, read_outcomes(folder / "outcomes.toml").ok


@when("the sample of {site} is replayed against the simulated fleet twice")
def step_sample(context, site):
    context.trace, outcomes = sample(site)
    context.replays = [replay_simulated(context.trace, outcomes, 1).ok for _ in range(2)]


@then("every stated outcome of the sample held, and no invariant was broken")
def step_all_held(context):
    done = context.replays[0]
    broken = [each for each in done.judgements if each.verdict != Verdict.HELD]
    assert not broken and len(done.judgements) >= 9, broken
    assert not done.violations and done.held(False), done.violations


@then("all requests, jobs and changes of the sample were replayed")
def step_all_replayed(context):
    done, whole = context.replays[0], context.trace
    sent = {event.request_id for event in done.history.events if "RequestSent" in repr(event)}
    accepted = {event.job_key for event in done.history.events if "JobAccepted" in repr(event)}
    assert sent == {each.request_id for each in whole.requests}
    assert accepted == {each.job_key for each in whole.jobs}
    assert done.changes_replayed == len(whole.changes) > 10


@then("both replays recorded the same history")
def step_same_history(context):
    first, second = context.replays
    assert first.history.sha256() == second.history.sha256()


@given('a fault plan file that cuts the engine link of "{runner}" for {seconds:d} seconds')
def step_plan(context, runner, seconds):
    kind = FaultKind.ENGINE_REPLIES_LOST
    action = FaultAction(kind=kind, target=runner, start_s=20.0, duration_s=seconds)
    write_plan(folder_of(context) / "plan", FaultPlan(actions=(action,)))


@given('the known-bad variant "{name}" and its demonstration')
def step_variant(context, name):
    context.variant = name
    context.plan = FaultPlan(actions=DEFECTS[name].demonstration)


@when("the sample of {site} is replayed under the variant")
def step_replay_variant(context, site):
    whole, outcomes = sample(site)
    with applied_defect(context.variant):
        context.done = replay_simulated(whole, outcomes, 1, context.plan).ok


@then("the replay finds the variant")
def step_variant_found(context):
    found = {each.name for each in context.done.judgements if each.verdict == Verdict.BROKEN}
    found |= {violation.checker for violation in context.done.violations}
    assert "a position ping runs at most once" in found, found
    assert not context.done.held(True)


# --- over HTTP --------------------------------------------------------------------------------


def emulated(run):
    """Answer as an emulated engine would, in two parts."""
    request = run.request
    text = expected_answer(request.model, request.prompt, request.max_tokens, request.seed)
    run.answer((text[:5], text[5:]))


def serve_double(context, script):
    """Serve a caller API whose gateway answers by a script."""
    context.api = ServedApi()
    context.add_cleanup(context.api.close)
    context.api.gateway.script = script
    context.api.intake._row = lambda index, item: ResultRow(
        index,
        item.custom_id,
        ItemPhase.COMPLETED,
        expected_answer(SERVICE, item.prompt, item.max_tokens, 0),
        "",
    )


@given("a caller API double that answers as the emulated engines do")
def step_double(context):
    serve_double(context, emulated)


@given('a caller API double that cuts the stream of "{cut}" and answers "{other}" wrongly')
def step_bad_double(context, cut, other):
    def script(run):
        if run.request.request_id.endswith(cut):
            run.sink.on_part("half", 1)
            reactor.callLater(0, run.sink._request.transport.loseConnection)
        elif run.request.request_id.endswith(other):
            run.answer(("the answer of ", "another"))
        else:
            emulated(run)

    serve_double(context, script)


@given("a caller API double that refuses each request once as not run")
def step_refusing_double(context):
    seen = []

    def script(run):
        if run.request.request_id in seen:
            emulated(run)
            return
        seen.append(run.request.request_id)
        run.sink.on_fault(Fault(FaultCode.OVERLOADED, "gateway.admission", "full"))

    serve_double(context, script)


OUTCOMES = """
[[outcomes]]
name = "whole"
of = { class = "online" }
require = "whole"

[[outcomes]]
name = "outcome"
of = { class = "online" }
require = "outcome"
outcome = ["completed"]

[[outcomes]]
name = "at_most_once"
of = { class = "non_repeatable" }
require = "at_most_once"

[[outcomes]]
name = "batch"
of = { class = "batch" }
require = "whole"
"""


@when("a short trace is replayed against its URL ten times as fast")
def step_live(context):
    whole = trace()
    context.trace = replace(whole, jobs=(job(items=1),))
    target = LiveTarget(
        context.api.url, {"exporter": API_KEY}, SPEED, run="run-1", resend_delay_s=0.05
    )
    stated = outcomes_from(OUTCOMES)
    context.done = in_reactor(
        lambda: Deferred.fromCoroutine(replay_live(reactor, context.trace, stated, target))
    ).ok


@then("every request reached the caller API once, with its class, tenant and own id")
def step_reached(context):
    found = [
        (run.request.request_id, run.request.class_, run.request.tenant, run.request.session)
        for run in context.api.gateway.runs
    ]
    expected = [
        (f"run-1-{each.request_id}", each.class_, each.tenant, each.session)
        for each in context.trace.requests
    ]
    assert sorted(found) == sorted(expected), found


@then('the live replay\'s outcomes are "{expected}"')
def step_live_outcomes(context, expected):
    found = ", ".join(f"{each.name} {each.verdict}" for each in context.done.judgements)
    assert found == expected, context.done.to_json()


@then("not seeing an outcome fails the live replay unless that is allowed")
def step_strict(context):
    assert not context.done.held(False) and context.done.held(True)


@then('the live replay is broken by "{cut}" as to its outcome and by "{other}" as to wholeness')
def step_live_broken(context, cut, other):
    offending = {each.name: each.offending for each in context.done.judgements}
    assert offending["outcome"] == (cut,), offending
    assert offending["whole"] == (cut, other) or offending["whole"] == (other,), offending
    assert json.loads(context.done.to_json())["broken"] == 2


@then("every request of the short trace was sent twice and completed")
def step_sent_twice(context):
    sends = Counter(run.request.request_id for run in context.api.gateway.runs)
    assert set(sends.values()) == {2} and len(sends) == len(context.trace.requests), sends
    assert {each.name: each.verdict for each in context.done.judgements}["outcome"] == "held"
