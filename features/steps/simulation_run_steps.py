"""Steps over simulated runs, their failures, their repeatability and known-bad variants."""

import json
import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from features.support.simulation import plan_from_table, run_fleet, run_simulation

from rainsail.simulation.clock import SkewedClock, VirtualClock
from rainsail.simulation.defects import DEFECTS, applied_defect
from rainsail.simulation.fault_plan import FaultPlan, read_plan, write_plan
from rainsail.simulation.run import SimulationRun
from rainsail.simulation.shrink import shrink_plan
from rainsail.simulation.site_plan import SITES

MOST_SHRINK_RUNS = 12


@given("a simulated {site} with seed {seed:d} for {minutes:g} minutes")
def simulated_site(context, site, seed, minutes):
    context.simulated = (site, seed, minutes)


@when("the simulated run ends with the failures drawn from its seed")
def run_drawn(context):
    context.run_result = run_simulation(*context.simulated)


@when("the simulated run ends with these failures")
def run_with_table(context):
    site, seed, minutes = context.simulated
    run = SimulationRun(SITES[site](), seed, minutes)
    context.run_result = run_fleet(run, plan_from_table(context.table))
    context.simulated_fleet = run.fleet


@then("the simulated run has no violation")
def no_violation(context):
    assert not context.run_result.violations, context.run_result.violations[:3]


@then("at least {count:d} kinds of failure were brought about")
def kinds_of_failure(context, count):
    assert len(context.run_result.faults) >= count, context.run_result.faults


@then("every accepted item of the simulated run is completed or cancelled")
def every_item_done(context):
    result = context.run_result
    assert result.completed_items + result.cancelled_items == result.accepted_items, result


@then("the simulated run carried at least {requests:d} online requests and {items:d} items")
def carried(context, requests, items):
    result = context.run_result
    assert result.online_requests >= requests, result.online_requests
    assert result.accepted_items >= items, result.accepted_items


# --- repeatability -------------------------------------------------------------------------


@when(
    "{site} runs with seed {seed:d} for {minutes:g} minutes in new processes "
    "with hash seeds {first:d} and {second:d}"
)
def run_in_processes(context, site, seed, minutes, first, second):
    program = str(Path(sys.executable).with_name("rainsail"))
    command = [program, "simulate", "--site", site]
    command += ["--seed", str(seed), "--minutes", str(minutes)]
    context.hashes = []
    for hash_seed in (first, second):
        environment = {**os.environ, "PYTHONHASHSEED": str(hash_seed)}
        done = subprocess.run(command, env=environment, capture_output=True, text=True)
        assert done.returncode == 0, done.stdout[-500:] + done.stderr[-500:]
        context.hashes.append(json.loads(done.stdout.splitlines()[-1])["history_sha256"])


@then("both processes print the same history hash")
def same_hash(context):
    assert context.hashes[0] == context.hashes[1], context.hashes


@when("another simulated run with seed {seed:d} ends")
def run_other_seed(context, seed):
    site, _, minutes = context.simulated
    context.other_result = run_simulation(site, seed, minutes)


@then("the two histories differ")
def histories_differ(context):
    assert context.run_result.history_sha256 != context.other_result.history_sha256


# --- shrinking -----------------------------------------------------------------------------


@given("a failing plan in which only the drain of {runner} matters")
def failing_plan(context, runner):
    context.fault_plan = plan_from_table(context.table)


@when("the plan is shrunk with the known-bad variant {defect}")
def shrink(context, defect):
    context.shrink_defect = defect

    def still_fails(plan: FaultPlan) -> bool:
        with applied_defect(defect):
            result = run_simulation(*context.simulated, plan)
        found = {violation.checker for violation in result.violations}
        return not found.isdisjoint(DEFECTS[defect].checkers)

    context.still_fails = still_fails
    context.shrunk = shrink_plan(context.fault_plan, still_fails, MOST_SHRINK_RUNS)


@then("the shrunk plan has {count:d} failure, of kind {kind}")
def shrunk_to(context, count, kind):
    kinds = [action.kind.value for action in context.shrunk.actions]
    assert kinds == [kind] * count, kinds


@then("the shrunk plan can be written, read and run again with the same violation")
def shrunk_plan_replays(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "plan.json"
        write_plan(path, context.shrunk)
        read = read_plan(path)
    assert read.is_ok() and read.ok == context.shrunk
    assert context.still_fails(read.ok)


@when('a fault plan is read in which the kind of action {place:d} is "{kind}"')
def read_bad_plan(context, place, kind):
    action = {"kind": "engine_crash", "target": "", "start_s": 1.0, "duration_s": 1.0}
    actions = [dict(action) for _ in range(place + 1)]
    actions[place]["kind"] = kind
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "plan.json"
        path.write_text(json.dumps({"actions": actions}))
        context.plan_read = read_plan(path)


@then('the plan is refused with the place "{place}"')
def plan_refused(context, place):
    assert context.plan_read.is_error()
    assert place in context.plan_read.error.detail, context.plan_read.error


# --- known-bad variants --------------------------------------------------------------------


@when("the simulated run ends with the failures that show {defect}")
def run_demonstration(context, defect):
    plan = FaultPlan(actions=DEFECTS[defect].demonstration)
    context.sound_result = run_simulation(*context.simulated, plan)
    with applied_defect(defect):
        context.defect_result = run_simulation(*context.simulated, plan)


@then("the run without the variant has no violation")
def sound_run_is_clean(context):
    assert not context.sound_result.violations, context.sound_result.violations[:3]


@then("the run with {defect} is noticed by one of its checkers")
def defect_noticed(context, defect):
    found = {violation.checker for violation in context.defect_result.violations}
    assert not found.isdisjoint(DEFECTS[defect].checkers), found


@then("each listed known-bad variant stands in a feature of the simulation")
def every_defect_listed(context):
    folder = Path(__file__).parents[1] / "simulation"
    text = "".join(path.read_text() for path in sorted(folder.glob("defects_*.feature")))
    listed = set(re.findall(r"\| ([a-z-]+) +\|", text)) - {"defect"}
    assert listed == set(DEFECTS), listed ^ set(DEFECTS)


# --- the clock of a process ----------------------------------------------------------------


@given("a paused process with timers due in {first:g} and {second:g} seconds")
def paused_process(context, first, second):
    context.world_clock = VirtualClock()
    context.process_clock = SkewedClock(context.world_clock)
    context.timer_calls = []
    context.process_clock.callLater(first, lambda: context.second_timer.cancel())
    context.second_timer = context.process_clock.callLater(
        second, context.timer_calls.append, "made"
    )
    context.process_clock.freeze()


@when(
    "the process goes on after {seconds:g} seconds and the first call takes the second timer back"
)
def process_goes_on(context, seconds):
    context.world_clock.advance(seconds)
    context.process_clock.thaw()


@then("the second timer's call is never made")
def call_never_made(context):
    context.world_clock.advance(10.0)
    assert context.timer_calls == []
    assert not context.second_timer.active()
