"""Steps on the order in which items run: pure decisions."""

from behave import given, step, then, when

from rainsail.jobs.urgency import DueTimes, RunPace, urgency
from rainsail.jobs.waiting import WaitingItems
from rainsail.jobs.work import Work


@given("jobs that are due {within_s:d} s after their acceptance")
def due_within(context, within_s):
    context.within_s = within_s
    context.due = DueTimes()
    context.waiting = WaitingItems()
    context.works = {}


@given("items that typically run for {run_s:d} s")
def typical_run(context, run_s):
    context.pace = RunPace()
    context.pace.finished(float(run_s))


def _accept(context, job, count, now, within_s):
    works = [Work(job, index) for index in range(count)]
    context.works.update({f"{job}{work.index}": work for work in works})
    context.due.seen(job, float(now))
    context.due.set_within(job, float(within_s))
    context.waiting.add_job(job, works)


@step('job "{job}" with {count:d} items is accepted at second {now:d}')
@step('job "{job}" with {count:d} item is accepted at second {now:d}')
def accept(context, job, count, now):
    _accept(context, job, count, now, context.within_s)


@when('job "{job}" with {count:d} item is accepted at second {now:d} without a due time')
def accept_without_due_time(context, job, count, now):
    _accept(context, job, count, now, 0)


@when('item "{name}" has run for {ran_s:d} s and was put back')
def put_back(context, name, ran_s):
    work = context.works[name]
    before = [each for key, each in context.works.items() if key[0] == name[0] and each is not work]
    context.waiting.drop(lambda job: job != work.job)
    context.waiting.add_job(work.job, before)
    work.ran_s = float(ran_s)
    work.progress.texts = ["what has come"]
    context.waiting.put_back(work)


@when('job "{job}" ends')
def end_job(context, job):
    context.waiting.drop(lambda each: each != job)


@then('at second {now:d} the items go in the order "{names}"')
def order_is(context, now, names):
    def key(work):
        return urgency(work, context.due.due_s(work.job), context.pace, float(now))

    order = []
    for work in context.waiting.by_urgency(key):
        order.append(f"{work.job}{work.index}")
        context.waiting.take(work)
    assert " ".join(order) == names, order
    assert len(context.waiting) == 0
