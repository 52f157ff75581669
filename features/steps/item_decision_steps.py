"""Steps on pure decisions about items: what follows a run, preemption and choice of runner."""

from behave import given, then, when

from rainsail.jobs.after_run import (
    BeforeRun,
    ItemOver,
    RunAgain,
    decide_after_run,
    decide_before_run,
    failures_after_run,
    item_backoff_s,
    runner_pause_s,
)
from rainsail.jobs.failure_counts import FailureCounts
from rainsail.jobs.item_run import RunEnd
from rainsail.jobs.slot_use import SlotUse, choose_runner, items_to_preempt


@when("the run of an item ends {end} with {failures:d} of {most:d} attempts failed")
def run_ends(context, end, failures, most):
    context.decision = decide_after_run(RunEnd(end), failures, most)


@then("the item is done: {reason}")
def item_done(context, reason):
    assert context.decision == ItemOver(True, reason), context.decision


@then("the item is given up: {reason}")
def item_given_up(context, reason):
    assert context.decision == ItemOver(False, reason), context.decision


@then("the item is run again")
def item_runs_again(context):
    assert context.decision == RunAgain(), context.decision


@when("the run of an item ends {end} as the last of {failed:d} in a row that failed")
def run_ends_in_a_row(context, end, failed):
    context.pause_s = runner_pause_s(RunEnd(end), failed)


@then("its runner takes no item for {pause_s:g} s")
def runner_pauses(context, pause_s):
    assert context.pause_s == pause_s, context.pause_s


@then("an item waits {pause_s:g} s after {runs:d} runs in a row that brought no event")
def item_waits(context, pause_s, runs):
    assert item_backoff_s(runs) == pause_s, item_backoff_s(runs)


@given(
    "an item with {failed:d} answers of 500, {broken_off:d} broken off,"
    " {impossible:d} of 422 broken off and {unknown:d} unknown runs"
)
def item_with(context, failed, broken_off, impossible, unknown):
    context.counts = FailureCounts(failed, broken_off, impossible, unknown)


@then("with {most:d} attempts the decision before its next run is to {decision}")
def before_run(context, most, decision):
    assert decide_before_run(context.counts, most) == BeforeRun(decision), context.counts


@when("its run ends {end} with status {status:d}")
def run_ends_with(context, end, status):
    context.counts = failures_after_run(context.counts, RunEnd(end), status)


@then(
    "it has {failed:d} answers of 500, {broken_off:d} broken off,"
    " {impossible:d} of 422 broken off and {unknown:d} unknown runs"
)
def counts_are(context, failed, broken_off, impossible, unknown):
    wanted = FailureCounts(failed, broken_off, impossible, unknown)
    assert context.counts == wanted, context.counts


@given(
    "a runner of {slots:d} slots with {online:d} online requests, {items:d} items"
    " and {others:d} of other callers"
)
def runner_with(context, slots, online, items, others):
    context.use = SlotUse("r-1", "a", slots, online, items, others)


@then("{preempted:d} items are preempted, and {free:d} slots are free")
def preempted_and_free(context, preempted, free):
    assert items_to_preempt(context.use) == preempted, items_to_preempt(context.use)
    assert context.use.free == free, context.use


@given("runners with these free slots")
def runners_with(context):
    context.uses = [
        SlotUse(row["runner"], row["zone"], int(row["free"]), 0, 0) for row in context.table
    ]


@then('an item of zone {zone} runs at "{runner}"')
def runs_at(context, zone, runner):
    chosen = choose_runner(context.uses, zone)
    assert chosen is not None and chosen.runner == runner, chosen


@then('an item of zone {zone} runs at ""')
def runs_nowhere(context, zone):
    assert choose_runner(context.uses, zone) is None, context.uses
