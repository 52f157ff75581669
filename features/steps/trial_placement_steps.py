"""Steps on the runners to which trials are sent."""

from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

from behave import given, step, then, when
from features.support.relayed_fleet import JOB_PATH
from features.support.relaying import HOST

from rainsail.jobs.messages import QueueLimit
from rainsail.jobs.suspect_placement import SuspectPlacement
from rainsail.quarantine.fingerprint import part_fingerprints
from rainsail.quarantine.trial_placement import TrialSite, best_trial_sites
from rainsail.routing.facts import PromptPart
from rainsail.state.cluster_commands import HoldRequest, ReleaseRequest
from rainsail.state.job_commands import ItemHeader, RelayedItem

REQUEST_PERIOD_S = 0.5
REQUESTS_FOR_S = 25.0
NEVER_S = float("inf")
SUITABLE = TrialSite("other", "east", False, False, 60.0, NEVER_S, 0, 0.0)
UNSUITABLE = {
    "was found crashed": {"may_have_crashed": True},
    "may have been replaced": {"may_be_replaced": True},
    "crashed 4 s ago": {"since_crash_s": 4.0},
    "is known for 2 s": {"known_s": 2.0},
    "runs another suspect": {"suspects": 1},
    "runs another request": {"others": 1.0},
    "is in a zone in which another one crashed": {"zone": "west"},
}


@step("{count:d} parts are held and put on trial, and the {sender} gets requests with each")
def put_parts_on_trial(context, count, sender):
    fleet = context.fleet
    for number in range(count):
        part = f"tried{number}"
        prompt = (PromptPart(part, 1), PromptPart("own", 1))
        (fingerprint,) = part_fingerprints("", "model", "", prompt)
        for command in (HoldRequest(fingerprint), ReleaseRequest(fingerprint, 1, forget=False)):
            driver = fleet.nodes[fleet.leader("controller")].role.driver
            assert fleet.result_of(driver.propose(command), "a decision on the part").is_ok()
        if sender == "leader of jobs":
            _hand_in(fleet, part)
        else:
            _send_again(fleet, part, fleet.clock.seconds() + REQUESTS_FOR_S)


def _hand_in(fleet, part):
    item = RelayedItem(
        f"{part}-0",
        f"{JOB_PATH}/0",
        (ItemHeader("prompt", f"{part}:40,own{part}:9"),),
        f"item of {part}".encode(),
        10,
    )
    limit = QueueLimit("/jobs/", 0)
    done = fleet.jobs["gateway-1"].submit("", f"job of {part}", HOST, JOB_PATH, (item,), limit)
    assert fleet.result_of(done, "an answer to the job").is_ok()


def _send_again(fleet, part, until_s):
    if fleet.clock.seconds() >= until_s:
        return
    fleet.request("gateway-1", f"of {part}".encode(), prompt=f"{part}:40,own:9")
    fleet.clock.callLater(REQUEST_PERIOD_S, _send_again, fleet, part, until_s)


@then(
    "trials were sent, and none to a runner that had crashed {least_s:g} s to {most_s:g} s before"
)
def none_to_crashed(context, least_s, most_s):
    sent = [
        (at_s, line["runner"])
        for at_s, name, line in context.log_records
        if name in ("item_sent", "request_trial_sent") and "trial_of" in line
    ]
    assert len(sent) >= 5, sent
    crashes = {str(runner.number): runner.crashes for runner in context.fleet.runners.runners}
    wrong = [
        (at_s, runner, crash_s)
        for at_s, runner in sent
        for crash_s in crashes[runner.split("-")[1]]
        if least_s <= at_s - crash_s <= most_s
    ]
    assert not wrong, (wrong, len(sent))


@then("a trial is sent to the other one, not to a runner that {state}")
def sent_to_other(context, state):
    worse = replace(SUITABLE, runner="worse", **UNSUITABLE[state])
    crashed = replace(SUITABLE, runner="crashed", zone="west", may_have_crashed=True)
    for sites in ([worse, SUITABLE, crashed], [crashed, SUITABLE, worse]):
        assert best_trial_sites(sites) == [SUITABLE], sites


@then("a trial is sent to no runner if all were found crashed")
def sent_to_none(context):
    assert best_trial_sites([replace(SUITABLE, may_have_crashed=True)] * 2) == []


@then("a trial is sent beside {others:d} requests rather than beside a suspect")
def beside_requests(context, others):
    busy = replace(SUITABLE, runner="busy", others=float(others))
    suspected = replace(SUITABLE, runner="suspected", suspects=1)
    assert best_trial_sites([suspected, busy]) == [busy]


@then('{item} may start at "{expected}" of the free runners "{free}"')
def may_start_at(context, item, expected, free):
    node = SimpleNamespace(
        guard=SimpleNamespace(
            wants_answers=True, may_have_crashed=lambda record: record.runner == "crashed"
        ),
        registry=SimpleNamespace(get=lambda runner: None),
    )
    guard = SimpleNamespace(is_suspect=lambda each, service: each.is_suspect)
    running = [SimpleNamespace(runner="suspected", is_suspect=True)]
    placement = SuspectPlacement(node, running, guard)
    placement.begin_round()
    records = [SimpleNamespace(runner=runner) for runner in free.split(",")]
    new = SimpleNamespace(is_suspect=item == "a suspect")
    chosen = [each.runner for each in placement.for_other(new, "model", records)]
    assert chosen == expected.split(","), chosen


@given("{count:d} items run, of which some are suspects")
def running_items(context, count):
    guard = SimpleNamespace(wants_answers=True, may_have_crashed=lambda record: False)
    context.examined = Counter()

    def is_suspect(item, service):
        context.examined[item.name] += 1
        return item.is_suspect

    running = [
        SimpleNamespace(name=number, runner=f"runner-{number % 7}", is_suspect=number % 3 == 0)
        for number in range(count)
    ]
    registry = SimpleNamespace(get=lambda runner: None)
    node = SimpleNamespace(guard=guard, registry=registry)
    context.running = running
    context.placement = SuspectPlacement(node, running, SimpleNamespace(is_suspect=is_suspect))


@when("{count:d} {kind} are placed in a round")
def place_round(context, count, kind):
    context.placement.begin_round()
    records = [SimpleNamespace(runner=f"runner-{number}") for number in range(7)]
    for _ in range(count):
        new = SimpleNamespace(name="new", runner="runner-1", is_suspect=kind == "suspects")
        context.placement.for_other(new, "model", records)
        context.placement.count(new)


@then("no running item was examined")
def none_examined(context):
    assert not [each for each in context.running if context.examined[each.name]]


@then("each running item was examined once")
def examined_once(context):
    assert all(context.examined[each.name] == 1 for each in context.running)
