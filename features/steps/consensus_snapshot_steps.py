"""Steps on snapshots of a simulated consensus group: chunks, resumption and compaction."""

from dataclasses import replace

from behave import given, then, when
from features.support.consensus import SimulatedGroup, watch_chunks

from rainsail.consensus.messages import SnapshotChunk
from rainsail.consensus.settings import ConsensusSettings
from rainsail.errors import FaultCode
from rainsail.storage.snapshot_checksum import SnapshotChecksum

CRASH_MOMENTS = 40
MOMENT_S = 0.0005
SLOW_SYNC_S = 20.0


def snapshotting_settings(entries, **more):
    """Return the settings of a group that snapshots every ``entries`` entries."""
    return ConsensusSettings(snapshot_log_entries=entries, retained_entries=entries // 5, **more)


def _group(replicas, entries, seed=9):
    settings = snapshotting_settings(entries)
    names = [f"replica-{number}" for number in range(1, replicas + 1)]
    return SimulatedGroup(names, seed, settings, numbers_per_chunk=max(10, entries // 10))


@given("a consensus group of {count:d} replicas that snapshots every {entries:d} entries")
def snapshotting_group(context, count, entries):
    """Start a group with the given snapshot interval."""
    context.consensus = _group(count, entries)
    context.consensus.leader()
    context.consensus_chunks = []


def _reconnect(context, arrives):
    """Reconnect the follower; a chunk for which ``arrives`` returns False is dropped."""
    group = context.consensus
    context.consensus_chunks = watch_chunks(group, context.consensus_cut, arrives)
    group.network.rejoin(context.consensus_cut)


@when(
    "the cut-off replica of the consensus group is connected again, "
    "but its chunk {number:d} is lost once"
)
def lose_chunk(context, number):
    """Drop the chunk the first time that it arrives."""
    lost = []

    def at_chunk(message):
        if message.offset == number and not lost:
            lost.append(message)
            return False
        return True

    _reconnect(context, at_chunk)
    context.consensus.run_until(lambda: bool(lost), f"chunk {number}")


def _until_chunk(context, number):
    reached = []
    _reconnect(context, lambda message: reached.append(message.offset) or True)
    context.consensus.run_until(lambda: number in reached, f"chunk {number}")


@when(
    "the cut-off replica of the consensus group is connected again "
    "and loses power at chunk {number:d}"
)
def crash_at_chunk(context, number):
    """Crash the follower when it gets the chunk."""
    context.consensus_before = list(context.consensus.running[context.consensus_cut].state.numbers)
    _until_chunk(context, number)
    context.consensus_down = context.consensus_cut
    context.consensus.crash(context.consensus_down)


@then("the follower of the consensus group still has its state from before the snapshot")
def stands_before(context):
    """Check that its disk holds only the old state."""
    group = context.consensus
    name = context.consensus_down
    group.network.isolate(name)
    group.start(name)
    group.network.isolate(name)
    group.run_for(0.5)
    assert group.driver(name).core.state.log.base_index == 0
    assert group.running[name].state.numbers == context.consensus_before
    group.crash(name)
    group.network.rejoin(name)


@when(
    "the cut-off replica of the consensus group is connected again "
    "and the leader crashes at chunk {number:d}"
)
def crash_leader_at_chunk(context, number):
    """Crash the leader when the follower gets the chunk."""
    _until_chunk(context, number)
    context.consensus_down = context.consensus.leader()
    context.consensus.crash(context.consensus_down)


@when(
    "the cut-off replica of the consensus group is connected again "
    "and meanwhile {count:d} are committed"
)
def commit_meanwhile(context, count):
    """Commit so much during the transfer that the leader takes newer snapshots."""
    _until_chunk(context, 3)
    context.consensus.commit(count)


@then("the follower of the consensus group got every chunk of a snapshot in order, none twice")
def chunks_in_order(context):
    """Check that no chunk that has arrived is sent again."""
    chunks = context.consensus_chunks
    offsets = [chunk.offset for chunk in chunks if chunk.data]
    assert len(offsets) > 20 and any(chunk.whole for chunk in chunks), offsets
    assert offsets == list(range(len(offsets))), offsets


@then("no log of the consensus group holds more than {limit:d} entries")
def short_logs(context, limit):
    """Check the logs in memory; the storage features check the files."""
    group = context.consensus
    for name in group.names:
        log = group.driver(name).core.state.log
        assert log.last_index - log.base_index <= limit, (name, log.last_index, log.base_index)


@when("every replica of the consensus group loses power and starts again")
def restart_all(context):
    """Crash and restart all replicas at once."""
    group = context.consensus
    for name in group.names:
        group.crash(name)
    for name in group.names:
        group.start(name)


@then("a consensus group's follower survives a power cut at any moment of storing a snapshot")
def crash_while_storing(context):
    """Crash a little later in each run, with the disk keeping random unsynced parts."""
    for moment in range(CRASH_MOMENTS):
        group = _group(3, 50, seed=moment)
        victim = group.followers()[0]
        group.network.isolate(victim)
        group.commit(120)
        group.network.rejoin(victim)
        driver = group.driver(victim)
        group.run_until(lambda driver=driver: driver.core.state.installing, "an install")
        group.run_for(moment * MOMENT_S)
        group.crash(victim)
        group.start(victim)
        group.commit(1)
        group.run_until(lambda: group.holds_acknowledged(victim), f"complete: {moment}")  # noqa: B023


@when("an old chunk of the consensus group's snapshot comes late to a follower")
def late_chunk(context):
    """Deliver an outdated one-chunk snapshot with a valid checksum from the current leader."""
    group = context.consensus
    context.consensus_down = group.followers()[0]
    leader = group.driver(group.leader()).core.state
    state = group.driver(context.consensus_down).core.state
    context.consensus_base = state.log.base_index
    data = b"1,2,3"
    whole = SnapshotChecksum().with_chunk(data)
    chunk = SnapshotChunk(
        0, leader.term, leader.identity, state.identity, 20, 1, b"", 0, data, None, 1
    )
    driver = group.driver(context.consensus_down)
    driver._receive(group.leader(), chunk)
    driver._receive(group.leader(), replace(chunk, offset=1, data=None, whole=whole))
    group.run_for(0.5)


@then("that follower of the consensus group has lost nothing and stored no snapshot")
def nothing_lost(context):
    """Check that the follower kept its log, since it reports its position instead."""
    group = context.consensus
    assert group.holds_acknowledged(context.consensus_down)
    state = group.driver(context.consensus_down).core.state
    assert not state.installing and state.log.base_index == context.consensus_base


@when("{count:d} numbers are committed in the consensus group, {size:d} at a time")
def commit_many(context, count, size):
    """Propose in batches and wait for each batch."""
    group = context.consensus
    leader = group.leader()
    for first in range(1, count + 1, size):
        answers = [group.propose(leader, number) for number in range(first, first + size)]
        group.run_until(lambda answers=answers: all(answers), "a batch")
        assert all(answer[0].is_ok() for answer in answers)
    group.acknowledged = list(range(1, count + 1))


@then("that follower of the consensus group applies all of them within {seconds:g} seconds")
def follows_within(context, seconds):
    """Check the catch-up time, in virtual seconds since the reconnection."""
    group = context.consensus
    name = context.consensus_cut
    last = group.acknowledged[-1]
    numbers = group.running[name].state
    group.run_until(lambda: last in numbers.numbers[-1:], "the tail", seconds)
    assert group.holds_acknowledged(name)


@when("a follower of the consensus group fails to write its own snapshot while it gets one")
def own_snapshot_fails(context):
    """Make the sync of a follower's own snapshot slow and then fail, while it falls far behind."""
    group = context.consensus
    name = group.followers()[0]
    driver, disk = group.driver(name), group.disks[name]
    snapshots = driver._snapshots

    def writing():
        group.commit(1)
        return snapshots._writing

    group.run_until(writing, "a snapshot of its own")
    disk.sync_latency_s = SLOW_SYNC_S
    group.network.isolate(name)
    group.run_until(lambda: not driver._sync_queue.busy, "the log's last sync")
    group.commit(300)
    group.network.rejoin(name)
    group.run_until(lambda: driver.core.state.installing, "the other snapshot", SLOW_SYNC_S)
    disk.sync_fails = True
    group.run_until(lambda: snapshots._waiting_install is None, "the failure", 2 * SLOW_SYNC_S)
    context.consensus_down = name


@then("that follower of the consensus group has stopped with a storage fault")
def stopped_follower(context):
    """Check that a failed sync is final, and prepare a restart on a working disk."""
    group = context.consensus
    name = context.consensus_down
    group.run_until(lambda: bool(group.running[name].faults), "the end", 2 * SLOW_SYNC_S)
    assert group.running[name].faults[0].code == FaultCode.STORAGE
    group.disks[name].sync_fails = False
    group.disks[name].sync_latency_s = 0.002
    group.crash(name)
