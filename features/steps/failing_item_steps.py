"""Steps on items whose runs fail, while the ledger's leaders change."""

from contextlib import contextmanager
from unittest import mock

from behave import given, then, when
from features.support.failing_item_soak import play as play_soak
from features.support.failing_items import (
    KEPT_S,
    MAX_ATTEMPTS,
    MOST_FAILURES,
    MOST_IMPOSSIBLE,
    Answer,
    FailingItems,
)

from rainsail.jobs import job_state
from rainsail.jobs.failure_counts import FailureCounts, failure_note
from rainsail.jobs.job_state import NO_EVENT, JobState
from rainsail.jobs.open_item import resume_item
from rainsail.logs import logger
from rainsail.state.job_commands import (
    AcceptJob,
    ItemNote,
    ItemOutcome,
    ListOutcomes,
    NoteProgress,
    RelayedItem,
)

SEED = 41
JOB = "failing"
ITEMS = 4
FROZEN_S = 3.5
A_MOMENT_S = 0.1
SETTLE_S = 10.0
KILLS_WITHIN_S = 300.0


def _always(answer):
    return lambda item, run: answer


def _every_other(item, run):
    return Answer.FAILED_BROKEN_OFF if run % 2 else Answer.FAILED


@given("items of a route with 3 attempts, whose runs all answer {answer}")
def make_failing(context, answer):
    choose = _every_other if answer == "500, every other broken off" else _always(Answer(answer))
    _make(context, choose)


@given("items of a route with 3 attempts, whose first {count:d} runs end with {answer}")
def make_recovering(context, count, answer):
    kind = Answer(answer)
    _make(context, lambda item, run: kind if run < count else Answer.EVENTS)


def _make(context, choose):
    context.log_records = []
    sink = logger.add(lambda message: context.log_records.append(message.record))
    context.add_cleanup(logger.remove, sink)
    context.world = FailingItems(SEED, choose)
    context.world.submit(JOB, ITEMS)


class _Losses:
    """Strikes the leader when a run of it is answered."""

    def __init__(self, world, strike, at_answer=1, after_s=0.0, most=None):
        self._world = world
        self._strike = strike
        self._at_answer = at_answer
        self._after_s = after_s
        self._most = most
        self._answers = {}
        world.on_answer = self._on_answer

    def _on_answer(self, sender):
        world = self._world
        if self._most is not None and world.strikes >= self._most:
            return
        node = world.fleet.nodes[sender]
        self._answers[id(node), node.role.driver.term()] = count = (
            self._answers.get((id(node), node.role.driver.term()), 0) + 1
        )
        if count != self._at_answer:
            return
        if self._after_s:
            world.fleet.clock.callLater(self._after_s, self._strike_if_same, sender, node)
        else:
            self._strike(sender)

    def _strike_if_same(self, sender, node):
        if self._world.fleet.nodes.get(sender) is node:
            self._strike(sender)


@when("their runs are played for {seconds:d} seconds, and {event}")
def play(context, seconds, event):
    world = context.world

    def freeze(name):
        world.freeze(name, FROZEN_S)

    match event:
        case "nothing else happens":
            pass
        case "each leader is killed at its first answer":
            _Losses(world, world.kill)
        case "each leader is killed a moment after its first answer":
            _Losses(world, world.kill, after_s=A_MOMENT_S)
        case "each leader freezes at its first answer":
            _Losses(world, freeze)
        case "the leader is killed at every second answer":
            _Losses(world, world.kill, at_answer=2)
        case "the leader is killed 12 times, at a first event":
            _Losses(world, world.kill, after_s=A_MOMENT_S, most=12)
        case "the leader freezes 6 times, at a first event":
            _Losses(world, freeze, after_s=A_MOMENT_S, most=6)
        case "the leader is killed twice, a moment after an answer":
            _Losses(world, world.kill, after_s=A_MOMENT_S, most=2)
        case _:
            raise ValueError(event)
    world.play(seconds)
    world.on_answer = lambda sender: None
    context.ends_in_calm = event == "nothing else happens"


def _told(world):
    runs = {item: (record.sends, len(record.answers)) for item, record in world.items.items()}
    return "\n".join([*world.violations[:8], f"runs and answers: {runs}, {world.strikes} losses"])


@then("no item was sent after 9 answers of 500 or 3 of 422")
def not_sent_beyond(context):
    assert (MOST_FAILURES, MOST_IMPOSSIBLE) == (9, 3)
    assert context.world.items
    sent = [each for each in context.world.violations if "was sent" in each]
    assert not sent, _told(context.world)


@then("no item was given up before 3 whole answers of 500, one of 422 or its retention limit")
def not_given_up_before(context):
    assert MAX_ATTEMPTS == 3
    assert not context.world.violations, _told(context.world)


@then("at its retention limit at the latest each item is listed")
def listed_at_last(context):
    world = context.world
    world.play(KEPT_S + SETTLE_S)
    assert world.is_finished(), _told(world)
    assert not world.violations, _told(world)
    assert not any(done for record in world.items.values() for _, done in record.listed)


@then("every item is done")
def all_done(context):
    world = context.world
    assert world.is_finished(), _told(world)
    assert not world.violations, _told(world)
    assert all(done for record in world.items.values() for _, done in record.listed), _told(world)


@when("{count:d} leaders are killed at their first send, and calm follows for {seconds:d} seconds")
def kill_at_sends(context, count, seconds):
    context.world.kill_leaders_at_sends(count, KILLS_WITHIN_S)
    context.world.play(seconds)


@then("every item is done by then")
def done_by_then(context):
    items = context.world.items.values()
    done = [each.listed[0][1] for each in items if each.listed]
    assert len(done) == ITEMS and all(done), f"{sum(done)} of {ITEMS} items are done"


@then("each item is listed as given up after {least:d} to {most:d} runs")
def listed_after(context, least, most):
    world = context.world
    assert world.is_finished() and not world.violations, _told(world)
    runs = [record.sends for record in world.items.values()]
    assert all(least <= count <= most for count in runs), _told(world)


@when("calm returns for {seconds:d} seconds")
def calm(context, seconds):
    context.world.play(seconds)


@then("the log has for each held item that it is held, with the counts of its failures")
def log_has_held(context):
    held = [record for record in context.log_records if record["message"] == "item_held"]
    context.held = {record["extra"]["item"] for record in held}
    assert context.held, _told(context.world)
    for record in held:
        extra = record["extra"]
        assert extra["possible_impossible"] >= MOST_IMPOSSIBLE, extra
        assert extra["failed_answers"] < MAX_ATTEMPTS, extra


@then("operators see as many held items")
def gauge_shows_held(context):
    node = context.world.fleet.nodes[context.world.fleet.leader("storage")]
    shown = f"rainsail_items_held {float(len(context.held))}"
    lines = node.base.metrics.exposition().decode().splitlines()
    assert shown in lines, [line for line in lines if "items_held" in line]


# --- ages of jobs ------------------------------------------------------------------------------


@given("a fleet of a route with 3 attempts, whose runs all answer {answer}")
def make_idle(context, answer):
    context.world = FailingItems(SEED, _always(Answer(answer)))


@when("2 of the 3 storage nodes start again after {seconds:d} seconds without a job")
def restart_two(context, seconds):
    world = context.world
    fleet = world.fleet
    context.third = fleet.leader("storage")
    world.wait(seconds)
    for name in fleet.names("storage"):
        if name != context.third:
            world.kill(name)
            world.wait(5.0)


def _freeze_leaders_until(context, is_leader):
    fleet = context.world.fleet
    for _ in range(20):
        leader = fleet.leader("storage")
        if is_leader(leader):
            return
        context.world.freeze(leader, FROZEN_S)
        context.world.wait(2 * FROZEN_S)
    raise AssertionError("no such leader")


@when("one of them leads, and a job is submitted")
def restarted_leads(context):
    _freeze_leaders_until(context, lambda leader: leader != context.third)
    context.world.submit(JOB, ITEMS)
    context.world.wait(2.0)


@when("the third one leads")
def third_leads(context):
    _freeze_leaders_until(context, lambda leader: leader == context.third)


@then("no item is given up in the next {seconds:d} seconds")
def none_given_up(context, seconds):
    world = context.world
    world.play(seconds)
    assert not world.violations, _told(world)
    assert not any(record.listed for record in world.items.values()), _told(world)


# --- random losses -----------------------------------------------------------------------------


@when("failing and sound items run for {seconds:d} seconds under random losses, seed {seed:d}")
def run_soak(context, seconds, seed):
    context.soak = play_soak(seed, seconds)


@then("no bound was broken, and leaders were lost while items failed")
def soak_held(context):
    soak = context.soak
    assert not soak.violations, "\n".join([*soak.violations[:8], soak.summary()])
    assert soak.world.strikes >= 6, soak.summary()
    assert soak.most_sends() > MAX_ATTEMPTS, soak.summary()


# --- replicas of an earlier version ------------------------------------------------------------

COUNTS = FailureCounts(1, 2, 1, 1)
COMMANDS = (
    AcceptJob(JOB, "", "a.example", "/jobs/1", (RelayedItem("i-0", "/jobs/1/0", (), b"b", 1),), 1),
    NoteProgress((ItemNote(JOB, 0, NO_EVENT, 2, ("one", "two")),), 2.0),
    NoteProgress((failure_note(JOB, 0, COUNTS),), 3.0),
)


@contextmanager
def _earlier_version():
    """Let a replica handle commands and snapshots as it did before there were counts."""
    with mock.patch.object(job_state, "is_failure_note", lambda note: False):
        yield


def _replica(commands=(), snapshot=()):
    state = JobState()
    if snapshot:
        state.restore(snapshot)
    for index, command in enumerate(commands):
        state.apply(index, command)
    return state


@given("a replica that has a job, progress of its item 0, and the counts of item 0")
def newer_replica(context):
    context.newer = _replica(COMMANDS)
    assert context.newer.jobs[JOB].failures == {0: COUNTS}


@given("a replica of an earlier version that was sent the same commands")
def earlier_replica(context):
    with _earlier_version():
        context.earlier = _replica(COMMANDS)


@then("the replica of the earlier version has the same job and progress")
def earlier_has_the_same(context):
    earlier, newer = context.earlier.jobs[JOB], context.newer.jobs[JOB]
    assert not earlier.failures
    assert (earlier.notes, earlier.unlisted) == (newer.notes, newer.unlisted)


@when("a replica of an earlier version starts from the snapshot of the newer one")
def earlier_from_snapshot(context):
    with _earlier_version():
        context.earlier = _replica(snapshot=list(context.newer.snapshot()))


@then("it has the same job, and resumes item 0 after the same progress")
def earlier_resumes(context):
    job = context.earlier.jobs[JOB]
    assert job.unlisted == {0} and job.items == context.newer.jobs[JOB].items
    assert resume_item(job, 0).progress.texts == ["one", "two"]


@when("a newer replica starts from the snapshot of that one")
def newer_from_snapshot(context):
    with _earlier_version():
        chunks = list(context.earlier.snapshot())
    context.again = _replica(snapshot=chunks)


@then("it has the counts of item 0")
def has_counts(context):
    assert context.again.jobs[JOB].failures == {0: COUNTS}
    assert resume_item(context.again.jobs[JOB], 0).progress.texts == ["one", "two"]


@when("the item is listed at all of them")
def list_everywhere(context):
    command = ListOutcomes(JOB, (ItemOutcome(0, True, "one"),))
    for replica in (context.newer, context.earlier, context.again):
        replica.apply(9, command)
    with _earlier_version():
        chunks = list(context.earlier.snapshot())
    context.last = _replica(snapshot=chunks)


@then("no replica of the newer version has counts")
def no_counts(context):
    for replica in (context.newer, context.again, context.last):
        assert not replica.jobs[JOB].failures
