"""Steps for the scheduling order of batch items, over random loads."""

from behave import then, when
from features.support.drawn_load import DueFirst, LoadRun, draw_load

from rainsail.jobs.item_order import ItemOrder

SEEDS = (1, 8, 15, 22)


@when("four deployments with {traffic} traffic get items for {load:g} times what it leaves")
def play(context, traffic, load):
    loads = [draw_load(seed, traffic, load) for seed in SEEDS]
    context.outcomes = [LoadRun(each, ItemOrder()).play() for each in loads]
    context.compared = [LoadRun(each, DueFirst()).play() for each in loads]


@then("no item is left open")
def none_open(context):
    assert [outcome.still_open for outcome in context.outcomes] == [0] * len(SEEDS)


@then("at least {percent:d} % as many items are in time as with what is due first going first")
def in_time(context, percent):
    ours = sum(outcome.in_time for outcome in context.outcomes)
    others = sum(outcome.in_time for outcome in context.compared)
    assert 100 * ours >= percent * others, (ours, others)
