"""Steps on the order in which items run (pure decisions)."""

from behave import given, step, then, when

from rainsail.jobs.item_order import ItemOrder
from rainsail.jobs.job_state import NO_EVENT
from rainsail.jobs.open_item import OpenItem
from rainsail.jobs.waiting_items import WaitingItems
from rainsail.state.job_commands import ItemNote

SERVICE = "service"
EVENTS_PER_S = 10
NOTE_PERIOD_S = 0.5


@given("jobs that are due {within_s:d} s after their acceptance")
def due_within(context, within_s):
    context.within_s = within_s
    context.order = ItemOrder()
    context.waiting = WaitingItems()
    context.works = {}


@given("items that typically run for {run_s:d} s")
def typical_run(context, run_s):
    lengths = context.order.lengths
    lengths.finished(run_s * EVENTS_PER_S)
    for ledger_s in (0.0, NOTE_PERIOD_S):
        texts = ("text",) * round(NOTE_PERIOD_S * EVENTS_PER_S)
        lengths.progressed(ledger_s, (ItemNote("an earlier job", 0, NO_EVENT, 0, texts),))


@given("items get {slots:d} slot on average")
@given("items get {slots:d} slots on average")
def slots_on_average(context, slots):
    for now in range(-20, 0):
        context.order.on_slots_seen(SERVICE, float(slots), float(now))


def _accept(context, job, count, now, within_s):
    works = [OpenItem(job, index) for index in range(count)]
    context.works.update({f"{job}{work.index}": work for work in works})
    context.order.due.set_due(job, float(now), float(within_s))
    context.waiting.add_job(job, works)


@step('job "{job}" with {count:d} items is accepted at second {now:d}')
@step('job "{job}" with {count:d} item is accepted at second {now:d}')
def accept(context, job, count, now):
    _accept(context, job, count, now, context.within_s)


@when('job "{job}" with {count:d} item is accepted at second {now:d} without a due time')
def accept_without_due_time(context, job, count, now):
    _accept(context, job, count, now, 0)


@when('item "{name}" has run for {ran_s:d} s and was put back')
def requeue(context, name, ran_s):
    work = context.works[name]
    before = [each for key, each in context.works.items() if key[0] == name[0] and each is not work]
    context.waiting.drop(lambda job: job != work.job)
    context.waiting.add_job(work.job, before)
    work.ran_s = float(ran_s)
    work.progress.texts = ["text"] * (ran_s * EVENTS_PER_S)
    context.waiting.requeue(work)


@when('job "{job}" ends')
def end_job(context, job):
    context.waiting.drop(lambda each: each != job)


@then('at second {now:d} the items go in the order "{names}"')
def order_is(context, now, names):
    waiting = context.waiting
    context.order.begin_plan()
    context.order.plan(SERVICE, waiting.fresh(), waiting.requeued_items, float(now))
    order = []
    for work in context.waiting.by_urgency(context.order):
        order.append(f"{work.job}{work.index}")
        context.waiting.take(work)
    assert " ".join(order) == names, order
    assert len(context.waiting) == 0
