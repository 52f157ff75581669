"""Steps for the reserve: slots that items leave free for online work while they have slack."""

from behave import given, then, when
from features.support.drawn_load import LoadRun, draw_load

from rainsail.jobs.feasibility import Demand
from rainsail.jobs.item_order import ItemOrder
from rainsail.jobs.reserve import Reserve, slots_needed

SERVICE = "service"
SEEDS = (1, 8, 15, 22)


@given("a service with {slots:d} slots")
def service_with(context, slots):
    context.slots = slots
    context.reserve = Reserve()


@given("items need {needed:g} slots to be in time")
def items_need(context, needed):
    context.needed = needed


@given("not all items can be in time")
def not_all_fit(context):
    context.needed = None


@when("online work takes {online:d} slots at second {now:d}")
def online_takes(context, online, now):
    context.reserve.on_online_seen(SERVICE, online, float(now))


def _limit(context):
    context.reserve.plan(SERVICE, context.slots, context.needed)
    return context.reserve.limit(SERVICE)


@then("{count:d} items may run at once")
def may_run(context, count):
    assert _limit(context) == count, _limit(context)


@then("any number of items may run at once")
def no_limit(context):
    assert _limit(context) is None, _limit(context)


@when(
    "{items:d} items of {run_s:g} s are due in {due_s:g} s"
    " and {urgent:d} items of {urgent_run_s:g} s are due in {urgent_due_s:g} s"
)
def items_due(context, items, run_s, due_s, urgent, urgent_run_s, urgent_due_s):
    context.demands = [
        Demand("items", due_s, run_s, items),
        Demand("urgent items", urgent_due_s, urgent_run_s, urgent),
    ]


@when("{items:d} items of {run_s:g} s are without a due time")
def items_without_due_time(context, items, run_s):
    context.demands = [Demand("items", float("inf"), run_s, items)]


@then("the items need {slots:g} slots to be in time")
def slots_for_items(context, slots):
    needed = slots_needed(context.demands, 0.0)
    assert needed == slots or abs(needed - slots) < 1e-6, needed


@when(
    "four deployments with {traffic} traffic get items for {load:g} times what it leaves,"
    " with a reserve"
)
def play(context, traffic, load):
    loads = [draw_load(seed, traffic, load) for seed in SEEDS]
    context.outcomes = [LoadRun(each, ItemOrder(), Reserve()).play() for each in loads]
    context.compared = [LoadRun(each, ItemOrder()).play() for each in loads]


@then("at most {percent:d} % as many items give way as without a reserve")
def give_way(context, percent):
    ours = sum(outcome.cuts for outcome in context.outcomes)
    others = sum(outcome.cuts for outcome in context.compared)
    assert 100 * ours <= percent * others, (ours, others)


@then("at least {percent:d} % as many items are in time as without a reserve")
def in_time(context, percent):
    ours = sum(outcome.in_time for outcome in context.outcomes)
    others = sum(outcome.in_time for outcome in context.compared)
    assert 100 * ours >= percent * others, (ours, others)
