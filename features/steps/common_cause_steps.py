"""Steps for runners that crash for a reason of their own while sound items run, in virtual time."""

import itertools
import re

from behave import given, then, when
from features.support.fatal_request_fleet import FatalRequestFleet
from features.support.relayed_fleet import JOB_PATH
from features.support.relaying import HOST
from features.support.tracker_course import suspect

from rainsail.jobs.messages import QueueLimit
from rainsail.quarantine.run_times import RunAge
from rainsail.quarantine.suspects import SuspectTracker
from rainsail.state.cluster_commands import Quarantine, QuarantinedRequest
from rainsail.state.job_commands import ItemHeader, RelayedItem

SEED = 63
CRASHES = re.compile(r"(\d+) at once(?:, (\d+) times, ([0-9.]+) s apart)?$")
RUNNER_DOWN_S = 4.0
CONTACT_S = 3.0


@given("a fleet of {gateways:d} gateways and {runners:d} runners with {slots:d} slots each")
def make_fleet(context, gateways, runners, slots):
    context.fleet = FatalRequestFleet(SEED, gateways, runners, slots=slots)
    context.sound = []


@given("answers to its items have {count:d} events")
def set_item_events(context, count):
    context.fleet.runners.item_events = count


@when('{jobs:d} jobs of {count:d} items with the part "{part}" are handed in')
def hand_in_jobs(context, jobs, count, part):
    fleet = context.fleet
    for job in range(jobs):
        name = f"common-{job}"
        items = tuple(
            RelayedItem(
                f"{name}-{number}",
                f"{JOB_PATH}/{number}",
                (ItemHeader("prompt", f"{part}:40,own{job}x{number}:9"),),
                f"item {job} {number}".encode(),
                10,
            )
            for number in range(count)
        )
        done = fleet.jobs["gateway-1"].submit(
            "", name, HOST, JOB_PATH, items, QueueLimit("/jobs/", 0)
        )
        assert fleet.result_of(done, "an answer to the job").is_ok()


@when("its runners crash as follows, those with items first: {crashes}")
def crash_runners(context, crashes):
    count, times, apart_s = CRASHES.match(crashes).groups()
    fleet = context.fleet
    chosen = _busiest_with_items(fleet)[: int(count)]
    for _ in range(int(times or 1)):
        if chosen and not any(runner.is_up for runner in chosen):
            chosen = _busiest_with_items(fleet)[: int(count)]
        for runner in chosen:
            fleet.runners.crash(runner, runner.incarnation, _down_s(apart_s))
        fleet.run_for(float(apart_s or 0.0))


def _down_s(apart_s):
    """Return how long a runner is down: it is back before the next crash."""
    return RUNNER_DOWN_S if apart_s is None else min(RUNNER_DOWN_S, 0.8 * float(apart_s))


def _busiest_with_items(fleet):
    def items_at(runner):
        return sum(bool(call.job) and not call.cancelled for call in runner.calls)

    up = [runner for runner in fleet.runners.runners if runner.is_up]
    return sorted(up, key=lambda runner: (-items_at(runner), runner.number))


@when("these nodes are killed and start again: {nodes}")
def restart_nodes(context, nodes):
    fleet = context.fleet
    names = {
        "the leading controller": lambda: [fleet.leader("controller")],
        "all controllers": lambda: fleet.names("controller"),
        "the ledger's leader": lambda: [fleet.leader("storage")],
    }[nodes]()
    _restart(fleet, names)


def _jobs(fleet):
    state = fleet.nodes[fleet.leader("storage")].role.state
    return list(state.jobs.values())


@then("all items of the jobs are done")
def all_done(context):
    jobs = _jobs(context.fleet)
    assert jobs and not any(job.unlisted for job in jobs), [job.unlisted for job in jobs]
    assert all(each.done for job in jobs for each in job.listed), jobs


@then("all items of the jobs are done or run again")
def done_or_running(context):
    fleet = context.fleet
    running = {
        (call.job, int(call.field(b"item").rpartition("-")[2]))
        for runner in fleet.runners.runners
        for call in runner.calls
        if call.job and not call.cancelled
    }
    unlisted = {(job.job, index) for job in _jobs(fleet) for index in job.unlisted}
    assert unlisted <= running, unlisted - running


# --- fatal parts -----------------------------------------------------------------------------


@when(
    '{copies:d} requests at once with prompts "{prompt}" come every {period_s:g} s '
    "for {seconds:g} s, while {trouble}"
)
def come_in_bursts(context, copies, prompt, period_s, seconds, trouble):
    fleet = context.fleet
    context.came_s = fleet.clock.seconds()
    until_s = context.came_s + seconds
    sent = itertools.count()

    def send():
        if fleet.clock.seconds() >= until_s:
            return
        names = fleet.names("gateway")
        for _ in range(copies):
            number = next(sent)
            body = f"burst {number}".encode()
            text = prompt.replace("{n}", str(number))
            fleet.request(names[number % len(names)], body, prompt=text)
        fleet.clock.callLater(period_s, send)

    send()
    _cause_trouble(fleet, trouble, until_s)
    fleet.run_for(CONTACT_S)


def _cause_trouble(fleet, trouble, until_s):
    """Run until the end of the requests, with the trouble named."""
    cause, every_s = {
        "nothing else happens": (lambda: None, 10.0),
        "the leading controller is lost every 6 s": (
            lambda: _restart(fleet, [fleet.leader("controller")]),
            6.0,
        ),
        "all controllers lose power every 11 s": (
            lambda: _restart(fleet, fleet.names("controller")),
            11.0,
        ),
        "2 other runners crash at once every 3 s": (lambda: _crash_two(fleet), 3.0),
    }[trouble]
    while fleet.clock.seconds() < until_s:
        fleet.run_for(min(every_s, until_s - fleet.clock.seconds()))
        cause()


def _restart(fleet, names):
    for name in names:
        fleet.crash(name)
    fleet.run_for(0.5)
    for name in names:
        fleet.start(name)


def _crash_two(fleet):
    up = [each for each in fleet.runners.runners if each.is_up and not each.ran_fatal]
    for runner in up[:2]:
        fleet.runners.crash(runner, runner.incarnation)


# --- evidence --------------------------------------------------------------------------------


@then('a part that is held after crashes "{crashes}" is on trial')
def hold_is_on_trial(context, crashes):
    tracker = SuspectTracker()
    for number, text in enumerate(crashes.split(", ")):
        at_s, ran_s, wrote_s = map(float, text.split())
        other = suspect(f"part-{number}")
        ages = {suspect("part"): RunAge(ran_s, wrote_s)}
        tracker.crashed(f"runner-{number}", (suspect("part"), other), at_s, at_s, ages)
        tracker.answered(other, at_s + 0.1)
    now = at_s + 1.0
    assert tracker.due(now) == (suspect("part"),)
    tracker.decided(Quarantine(1, (QuarantinedRequest(suspect("part"), 1, True),)), now)
    assert tracker.is_on_trial(suspect("part"))
