"""Steps on the batch ledger."""

from dataclasses import replace
from math import inf, nan

from behave import given, then, when
from features.support.ledger_model import check_random_commands
from features.support.state import DEADLINE_UNIX_S, SERVICE, Driver, bodies, job_spec

from rainsail.errors import Fault
from rainsail.resources.specs import Kind, ResourceKey, TenantSpec
from rainsail.state.commands import (
    AddItems,
    CancelJob,
    ForgetJob,
    ItemPhase,
    JobPhase,
    JobView,
    LeaseItems,
    OpenJob,
    PutResource,
    ReturnedItem,
    ReturnItems,
    RevokeLeases,
    SealJob,
)


def new_ledger(context):
    """Create an empty state."""
    context.driver = Driver()
    context.requests = 0
    context.leased = {}


def lease(context, holder, count, tokens=10**9):
    """Lease items under a new request id."""
    context.requests += 1
    context.request = LeaseItems(holder, f"request-{context.requests}", SERVICE, count, tokens)
    context.lease_answer = context.driver.apply(context.request)
    context.leased[holder] = context.lease_answer.items
    return context.lease_answer.items


@given("an empty ledger")
def step_empty(context):
    new_ledger(context)


@given("a ledger with accepted job {job} of {count:d} items")
def step_accepted(context, job, count):
    new_ledger(context)
    context.driver.accept(job, count)


@given("a ledger with accepted job {job} of {count:d} items and {attempts:d} attempts")
def step_accepted_attempts(context, job, count, attempts):
    new_ledger(context)
    context.driver.accept(job, count, max_attempts=attempts)


@given("a ledger with job {job} opened for {count:d} items")
def step_opened(context, job, count):
    new_ledger(context)
    context.driver.apply(OpenJob(job, job_spec(job, count)))


@when("the ledger gets the same job under another id")
def step_same_job(context):
    context.answer = context.driver.apply(OpenJob("another", job_spec("nightly", 3)))


@when("the ledger gets job key nightly with other content")
def step_other_content(context):
    spec = job_spec("nightly", 3, content_digest="other")
    context.answer = context.driver.apply(OpenJob("another", spec))


@then("the ledger answers with job {job}")
def step_answers_job(context, job):
    assert isinstance(context.answer, JobView), context.answer
    assert context.answer.job_id == job, context.answer


@then('the ledger answers with fault "{code}"')
def step_answers_fault(context, code):
    assert isinstance(context.answer, Fault), context.answer
    assert context.answer.code == code, context.answer


@when("the ledger gets items {first:d} to {last:d} of job {job}")
def step_items(context, first, last, job):
    command = AddItems(job, first, bodies(first, last - first + 1))
    context.answer = context.driver.apply(command)


@when("the ledger gets other content as items {first:d} to {last:d} of job {job}")
def step_other_items(context, first, last, job):
    items = tuple(replace(each, prompt="other") for each in bodies(first, last - first + 1))
    context.answer = context.driver.apply(AddItems(job, first, items))


@when("job {job} of the ledger is sealed")
def step_seal(context, job):
    context.answer = context.driver.apply(SealJob(job))


@when("job {job} of the ledger is cancelled")
def step_cancel(context, job):
    context.answer = context.driver.apply(CancelJob(job, "cancel"))


@when("job {job} of the ledger is deleted")
def step_delete(context, job):
    context.answer = context.driver.apply(ForgetJob(job))


@then("the ledger leases no item")
def step_no_lease(context):
    assert lease(context, "nobody", 10) == ()


@then("job {job} of the ledger has {count:d} pending items")
def step_pending(context, job, count):
    assert context.driver.state.job(job).pending == count, context.driver.state.job(job)


@then("job {job} of the ledger is completed")
def step_completed(context, job):
    assert context.driver.state.job(job).phase is JobPhase.COMPLETED


@then("job {job} of the ledger is accepted")
def step_still_accepted(context, job):
    assert context.driver.state.job(job).phase is JobPhase.SEALED


@when("holder {holder} leases {count:d} items of the ledger")
def step_lease(context, holder, count):
    lease(context, holder, count)


@when("the last lease request of the ledger is sent again")
def step_lease_again(context):
    context.second_answer = context.driver.apply(context.request)


@then("both answers of the ledger name the same items under the same fences")
def step_same_lease(context):
    assert len(context.second_answer.items) == 4
    assert context.second_answer == context.lease_answer


@when("the ledger is restored from its snapshot")
def step_restore(context):
    context.driver.restart()


@when("the ledger revokes the leases of {holder}")
def step_revoke(context, holder):
    context.driver.apply(RevokeLeases(holder))


@when('holder {holder} commits its result "{text}" to the ledger')
def step_commit(context, holder, text):
    context.verdict = context.driver.commit(holder, context.leased[holder][0].ref, text)


@when('holder {holder} commits its second result "{text}" to the ledger')
def step_commit_second(context, holder, text):
    context.verdict = context.driver.commit(holder, context.leased[holder][1].ref, text)


@then('the ledger\'s verdict is "{verdict}"')
def step_verdict(context, verdict):
    assert context.verdict == verdict, context.verdict


@then('the ledger\'s result of item {index:d} is "{text}"')
def step_result(context, index, text):
    (row,) = context.driver.state.results("nightly", index, 1)
    assert (row.index, row.phase, row.text) == (index, ItemPhase.COMPLETED, text), row


@then("the ledger has no holder")
def step_no_holder(context):
    assert context.driver.state.holders() == []


@then("the ledger shows {count:d} cancelled items of job {job}")
def step_cancelled_rows(context, count, job):
    rows = context.driver.state.results(job, 0, 100)
    ids = [row.custom_id for row in rows if row.phase is ItemPhase.CANCELLED]
    assert ids == ["item-1", "item-2"][:count], rows
    assert context.driver.state.job(job).cancelled == count


@when('holder {holder} fails item 0 of the ledger {times:d} times with "{failure}"')
def step_fail(context, holder, times, failure):
    for _ in range(times):
        (item,) = lease(context, holder, 1)
        assert item.ref.index == 0, item
        context.driver.apply(ReturnItems(holder, (ReturnedItem(item.ref, "", failure),)))


@then('item {index:d} of the ledger is set aside with "{failure}"')
def step_set_aside(context, index, failure):
    (row,) = context.driver.state.results("nightly", index, 1)
    assert (row.phase, row.failure) == (ItemPhase.SET_ASIDE, failure), row


@when("holder {holder} finishes every item of the ledger")
def step_finish_all(context, holder):
    for item in lease(context, holder, 1000):
        context.driver.commit(holder, item.ref, f"text {item.ref.index}")


@when('holder alpha preempts item 0 of the ledger {times:d} times, having generated "{text}"')
def step_preempt(context, times, text):
    for _ in range(times):
        (item,) = lease(context, "alpha", 1)
        context.driver.apply(ReturnItems("alpha", (ReturnedItem(item.ref, text),)))
        lease(context, "beta", 1)
        context.driver.apply(RevokeLeases("beta"))


@then('the next lease of the ledger has the generated prefix "{text}"')
def step_prefix(context, text):
    (item,) = lease(context, "gamma", 1)
    assert item.generated_prefix == text, item


@given("a ledger with jobs of two tenants, one of them with two jobs of 20 items")
def step_two_tenants(context):
    new_ledger(context)
    later = DEADLINE_UNIX_S + 60.0
    context.driver.accept("later", 20, tenant="north", deadline_unix_s=later)
    context.driver.accept("earlier", 20, tenant="north")
    context.driver.accept("other", 20, tenant="south")


@then("each tenant of the ledger has {count:d} of them")
def step_equal_shares(context, count):
    tenants = [item.tenant for item in context.lease_answer.items]
    assert (tenants.count("north"), tenants.count("south")) == (count, count), tenants


@then("the ledger leased only from the job with the earliest deadline")
def step_earliest(context):
    jobs = [item.ref.job_id for item in context.lease_answer.items if item.tenant == "north"]
    assert set(jobs) == {"earlier"}, jobs


@given("a ledger in which tenant north weighs 3 and tenant south 1")
def step_weights(context):
    new_ledger(context)
    for name, weight in (("north", 3.0), ("south", 1.0)):
        spec = TenantSpec(1.0, 1.0, weight)
        context.driver.apply(PutResource(name, ResourceKey(Kind.TENANT, name), spec))
        context.driver.accept(name, 40, tenant=name)


@then("the ledger leased {north:d} items of north and {south:d} of south")
def step_weighed(context, north, south):
    tenants = [item.tenant for item in context.lease_answer.items]
    assert (tenants.count("north"), tenants.count("south")) == (north, south), tenants


@given("a ledger in which only north had work for 20 items")
def step_north_only(context):
    new_ledger(context)
    context.driver.accept("first", 40, tenant="north")
    lease(context, "alpha", 20)


@when("tenant south submits 20 items to the ledger")
def step_south_submits(context):
    context.driver.accept("second", 20, tenant="south")


@when("holder alpha asks the ledger for items of at most {tokens:d} tokens")
def step_bounded(context, tokens):
    lease(context, "alpha", 100, tokens)


@then("the ledger leased {count:d} items")
def step_leased_count(context, count):
    assert len(context.lease_answer.items) == count, context.lease_answer


@then("the ledger's results from item 3, two at a time, are items 3 and 4")
def step_page(context):
    rows = context.driver.state.results("nightly", 3, 2)
    found = [(row.index, row.custom_id, row.text) for row in rows]
    assert found == [(3, "item-3", "text 3"), (4, "item-4", "text 4")], found


@then("the ledger has no results of job {job}")
def step_no_results(context, job):
    assert context.driver.state.job(job) is None
    assert context.driver.state.results(job, 0, 10) == []


@then("the ledger takes a new job under the key {key}")
def step_new_job(context, key):
    assert context.driver.accept("new-id", 1, job_key=key).pending == 1


@then("the ledger refuses jobs with an invalid deadline, key, item count or attempts")
def step_refusals(context):
    wrong = [
        ({"deadline_unix_s": nan}, "invalid"),
        ({"deadline_unix_s": inf}, "invalid"),
        ({"item_count": -1}, "invalid"),
        ({"max_attempts": 0}, "invalid"),
        ({"job_key": ""}, "invalid"),
        ({"item_count": 10**12}, "too_large"),
    ]
    for fields, code in wrong:
        answer = context.driver.apply(OpenJob("job", replace(job_spec("key", 1), **fields)))
        assert isinstance(answer, Fault), (fields, answer)
        assert answer.code == code, (fields, answer)
    assert context.driver.state.jobs() == []


@then("under random commands, re-sent ones and restores the ledger agrees with a reference model")
def step_random(context):
    check_random_commands()
