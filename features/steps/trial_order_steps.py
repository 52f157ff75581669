"""Steps on which of the requests that wait for trials goes first."""

from behave import given, step, then, when
from features.support.relayed_fleet import JOB_PATH
from features.support.relaying import HOST

from rainsail.jobs.messages import QueueLimit
from rainsail.quarantine.fingerprint import part_fingerprints
from rainsail.quarantine.trial_order import TrialAsk, TrialOrder
from rainsail.routing.facts import PromptPart
from rainsail.state.cluster_commands import HoldRequest, ReleaseRequest
from rainsail.state.job_commands import ItemHeader, RelayedItem


def _jobs(fleet):
    return list(fleet.nodes[fleet.leader("storage")].role.state.jobs.values())


def _body(job: int, number: int) -> bytes:
    return f"item {job} {number}".encode()


@when('a job of {count:d} items with the parts "{parts}" is handed in')
def hand_in(context, count, parts):
    fleet = context.fleet
    job = len(_jobs(fleet))
    stated = ",".join(f"{part}:40" for part in parts.split(","))
    items = tuple(
        RelayedItem(
            f"job{job}-{number}",
            f"{JOB_PATH}/{number}",
            (ItemHeader("prompt", f"{stated},own{job}x{number}:9"),),
            _body(job, number),
            10,
        )
        for number in range(count)
    )
    limit = QueueLimit("/jobs/", 0)
    done = fleet.jobs["gateway-1"].submit("", f"job{job}", HOST, JOB_PATH, items, limit)
    assert fleet.result_of(done, "an answer to the job").is_ok()


@given('the parts "{first}" and "{second}" were held and are on trial')
def two_on_trial(context, first, second):
    put_on_trial(context, first)
    put_on_trial(context, second)


@step('the part "{part}" is held and put on trial')
def put_on_trial(context, part):
    fleet = context.fleet
    (fingerprint,) = part_fingerprints("", "model", "", (PromptPart(part, 1), PromptPart("own", 1)))
    for command in (HoldRequest(fingerprint), ReleaseRequest(fingerprint, 1, forget=False)):
        driver = fleet.nodes[fleet.leader("controller")].role.driver
        assert fleet.result_of(driver.propose(command), "a decision on the part").is_ok()


@given("its runners crash at {count:d} items of the first job")
def add_fatal_items(context, count):
    context.fleet.runners.fatal_bodies.update(_body(0, number) for number in range(count))
    context.fatal_items = count


@when("time goes by until each of them has met a crash")
def run_until_met(context):
    fleet = context.fleet
    crashes = fleet.runners.fatal_crashes
    fleet.run_until(
        lambda: all(crashes.get(_body(0, number)) for number in range(context.fatal_items)),
        "a crash under each item",
    )


@then("all items of the last job are done")
def last_done(context):
    job = _jobs(context.fleet)[-1]
    assert not job.unlisted and all(each.done for each in job.listed), (job.unlisted, job.listed)


@then("at most {most:d} runs of a fatal part or item began")
def few_fatal_runs(context, most):
    runs = context.fleet.runners.fatal_runs
    assert len(runs) <= most, runs


def _ask(entries: str, ends: int) -> TrialAsk:
    return TrialAsk(frozenset(each.encode() for each in entries.split()), ends)


@then(
    'while a request with the entries "{other}" and {other_ends:d} ends asks, one with '
    '"{entries}" and {ends:d} ends lets it go first'
)
def lets_go_first(context, other, other_ends, entries, ends):
    order = TrialOrder()
    assert order.is_next(_ask(other, other_ends), 10.0)
    assert not order.is_next(_ask(entries, ends), 10.1)


@then(
    'while a request with the entries "{other}" and {other_ends:d} ends asks, one with '
    '"{entries}" and {ends:d} ends may be tried'
)
def may_be_tried(context, other, other_ends, entries, ends):
    order = TrialOrder()
    order.is_next(_ask(other, other_ends), 10.0)
    assert order.is_next(_ask(entries, ends), 10.1)


@then(
    '{later_s:g} s after a request with the entries "{other}" has asked, one with "{entries}" '
    "may be tried"
)
def asks_no_more(context, later_s, other, entries):
    order = TrialOrder()
    order.is_next(_ask(other, 0), 10.0)
    assert not order.is_next(_ask(entries, 0), 10.1)
    assert order.is_next(_ask(entries, 0), 10.0 + later_s)
