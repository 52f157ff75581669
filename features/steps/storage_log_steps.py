"""Steps on a group's log on a simulated disk."""

from behave import given, then, when
from features.support.storage import SYNC_LATENCY_S, StorageRig, make_entries

from rainsail.storage.interface import HardState, LogEntry
from rainsail.storage.settings import StorageSettings


@given("a group's storage on a simulated disk")
def step_open(context):
    context.rig = StorageRig()
    context.rig.open()


@given("a group's storage with 400-byte segments on a simulated disk")
def step_open_small(context):
    context.rig = StorageRig(settings=StorageSettings(segment_bytes=400, cache_bytes=200))
    context.rig.open()


@given("a group's storage that retains {count:d} entries on a simulated disk")
def step_open_retaining(context, count):
    settings = StorageSettings(segment_bytes=400, cache_bytes=200, retained_entries=count)
    context.rig = StorageRig(settings=settings)
    context.rig.open()


@given("the storage holds {count:d} synced entry")
@given("the storage holds {count:d} synced entries")
def step_holding(context, count):
    context.rig.append(count)
    context.rig.sync()


@given("the storage holds {count:d} synced entries, each with its own sync")
def step_holding_apart(context, count):
    for _ in range(count):
        context.rig.append(1)
        context.rig.sync()
    context.segments = len(context.rig.disk.list("group-3"))


@when("the storage gets {count:d} entry of term {term:d}")
@when("the storage gets {count:d} entries of term {term:d}")
def step_append(context, count, term):
    context.rig.append(count, term)


@when(
    'the storage gets {count:d} entries of term {term:d} and a vote for "{name}" in term {vote:d}'
)
def step_append_and_vote(context, count, term, name, vote):
    context.rig.append(count, term)
    context.rig.storage.save_hard_state(HardState(vote, name))


@when("the storage is synced")
def step_sync(context):
    context.rig.sync()


@when("the storage is truncated from entry {index:d}")
def step_truncate(context, index):
    context.rig.storage.truncate_from(index)


@when("the power is cut and the storage opened again")
def step_crash(context):
    context.rig.disk.crash()
    context.rig.open()


@when("the storage is opened again")
def step_reopen(context):
    context.rig.open()


@when("{count:d} entries are each appended and synced without waiting")
def step_append_each(context, count):
    context.syncs_before = context.rig.disk.syncs
    context.answers = []
    for number in range(count):
        context.rig.append(1)
        answer = context.rig.storage.sync()
        answer.addCallback(lambda result, each=number: context.answers.append((each, result)))
    context.rig.clock.advance(1.0)


@then("the storage used {syncs:d} syncs for the {count:d} entries")
def step_syncs_used(context, syncs, count):
    assert context.rig.disk.syncs - context.syncs_before == syncs, context.rig.disk.syncs
    assert context.rig.storage.last_index == count + 1


@then("the storage answered all {count:d} syncs in order")
def step_answers_in_order(context, count):
    assert [number for number, _ in context.answers] == list(range(count)), context.answers
    assert all(result.is_ok() for _, result in context.answers)


@when("an entry is synced and a second one queued and synced half a latency later")
def step_sync_twice(context):
    context.times = []
    for _ in range(2):
        context.rig.append(1)
        answer = context.rig.storage.sync()
        answer.addCallback(lambda _: context.times.append(context.rig.clock.seconds()))
        context.rig.clock.advance(SYNC_LATENCY_S / 2)
    context.rig.clock.advance(1.0)


@then("the second answer of the storage came one sync after the first")
def step_second_answer(context):
    first, second = context.times
    assert abs(second - first - SYNC_LATENCY_S) < 1e-9, context.times


@then("a further sync of the storage is answered without the disk")
def step_empty_sync(context):
    syncs = context.rig.disk.syncs
    answers = []
    context.rig.storage.sync().addCallback(answers.append)
    assert len(answers) == 1 and answers[0].is_ok(), answers
    assert context.rig.disk.syncs == syncs


@then("the storage holds entries {first:d} to {last:d}")
def step_holds(context, first, last):
    storage = context.rig.storage
    assert (storage.first_index, storage.last_index) == (first, last), (
        storage.first_index,
        storage.last_index,
    )
    found = context.rig.found()
    assert [entry.index for entry in found] == list(range(first, last + 1)), found
    for entry in found:
        assert (entry,) == make_entries(entry.index, 1, entry.term), entry


@then('the storage holds the vote for "{name}" in term {term:d}')
def step_holds_vote(context, name, term):
    assert context.rig.storage.hard_state == HardState(term, name), context.rig.storage.hard_state


@then("the storage knows term {term:d} at entry {index:d} and none at entry {other:d}")
def step_terms(context, term, index, other):
    storage = context.rig.storage
    assert storage.term_at(index) == term, storage.term_at(index)
    assert storage.term_at(other) is None, storage.term_at(other)


@then("the storage caches fewer than {count:d} entries")
def step_caches(context, count):
    assert context.rig.storage.cached_entries < count, context.rig.storage.cached_entries


@then("the storage reads back entries {first:d} to {last:d} as they were appended")
def step_reads_back(context, first, last):
    entries = context.rig.storage.entries(first, last, 10**9)
    assert entries == make_entries(first, last - first + 1), entries


@then("the storage returns {count:d} entry from entry {first:d} on for a bound of {size:d} bytes")
@then("the storage returns {count:d} entries from entry {first:d} on for a bound of {size:d} bytes")
def step_bounded(context, count, first, size):
    storage = context.rig.storage
    entries = storage.entries(first, storage.last_index, size)
    assert entries == make_entries(first, count), entries


REFUSED_CALLS = {
    "an entry after a gap": lambda storage: storage.append((LogEntry(5, 1, b""),)),
    "a truncation from entry 0": lambda storage: storage.truncate_from(0),
    "a read beyond the end": lambda storage: storage.entries(2, 4, 1000),
}


@then("the storage refuses an invalid call: {call}")
def step_refuses(context, call):
    try:
        REFUSED_CALLS[call](context.rig.storage)
    except ValueError:
        return
    raise AssertionError(f"{call} was accepted")
