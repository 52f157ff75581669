"""Steps on snapshots of a simulated consensus group that can't be read completely."""

from contextlib import suppress

from behave import given, step, then, when
from expression import Ok
from features.support.consensus import RecordingState, SimulatedGroup, watch_chunks

from rainsail.consensus.effects import Effects, ReadReady, SnapshotOrder
from rainsail.consensus.recovery import recover_log
from rainsail.consensus.settings import ConsensusSettings
from rainsail.consensus.snapshot_source import PieceRead
from rainsail.errors import Fault, FaultCode, RainsailError
from rainsail.logs import logger
from rainsail.state.commands import NoOperation
from rainsail.storage.interface import SnapshotMeta
from rainsail.storage.snapshot_checksum import SnapshotChecksum
from rainsail.wire.codec import CodecError

ONCE = 1


@given(
    "a consensus group of {count:d} replicas that snapshots every {entries:d} entries "
    "and repairs after {seconds:g} seconds"
)
def repairing_group(context, count, entries, seconds):
    """Start a group that replaces a lost disk after the given repair timeout."""
    settings = ConsensusSettings(
        snapshot_log_entries=entries, retained_entries=entries // 5, repair_after_s=seconds
    )
    names = [f"replica-{number}" for number in range(1, count + 1)]
    context.consensus = SimulatedGroup(names, 9, settings, numbers_per_chunk=10)
    context.consensus.leader()


def _collect_log(context):
    """Collect the members' log lines from level WARNING on."""
    context.consensus_log = []
    sink = logger.add(lambda line: context.consensus_log.append(str(line)), level="WARNING")
    context.add_cleanup(logger.remove, sink)


@given("a follower of the consensus group is cut off")
def cut_follower(context):
    _collect_log(context)
    context.consensus_cut = context.consensus.followers()[0]
    context.consensus.network.isolate(context.consensus_cut)


@step("{count:d} commands are committed by the consensus group")
def commit_some(context, count):
    context.consensus.commit(count)


def _fail_snapshot_reads(context, number, times):
    """Make the first ``times`` reads that reach chunk ``number`` fail with a disk error."""
    group = context.consensus
    context.consensus_leader = group.leader()
    storage = group.driver(context.consensus_leader)._snapshots._storage
    read_snapshot = storage.read_snapshot
    failed = []

    def reading():
        for place, chunk in enumerate(read_snapshot()):
            if place == number and len(failed) < times:
                failed.append(place)
                raise RainsailError(Fault(FaultCode.STORAGE, "snapshot", "input/output error"))
            yield chunk

    storage.read_snapshot = reading
    context.consensus_failed = failed
    _close_snapshot_readers(context)


def _close_snapshot_readers(context):
    """Close open readers, so that a read that has already begun doesn't take part in the test."""
    group = context.consensus
    snapshots = group.driver(context.consensus_leader)._snapshots
    for name in group.names:
        snapshots._source.forget(group.identity(name))


@when("the leader of the consensus group can't read chunk {number:d} of its snapshot, once")
def fail_read_once(context, number):
    _fail_snapshot_reads(context, number, ONCE)


@when(
    "the leader of the consensus group can't read chunk {number:d} of its snapshot, {times:d} times"
)
def fail_read_often(context, number, times):
    _fail_snapshot_reads(context, number, times)


@when("the snapshot of the consensus group's leader is damaged in its middle")
def damage_snapshot(context):
    """Flip one bit of the snapshot file."""
    group = context.consensus
    context.consensus_leader = group.leader()
    disk = group.disks[context.consensus_leader]
    files = [name for name in disk.list("group-0") if name.endswith(".snapshot")]
    assert len(files) == 1, files
    path = f"group-0/{files[0]}"
    disk.flip_bit(path, len(disk.read(path)) // 2)
    _close_snapshot_readers(context)


def _run(context, seconds, until=lambda: False):
    """Run the group and collect errors of handlers, which the reactor would log and survive."""
    group = context.consensus
    errors = context.consensus_errors = getattr(context, "consensus_errors", [])
    until_s = group.clock.seconds() + seconds
    moved = True
    while moved and not until():
        try:
            moved = group.clock.run_next(until_s)
        except RainsailError as error:
            errors.append(error.fault)


def _rejoin(context):
    group = context.consensus
    if not hasattr(context, "consensus_taken"):
        context.consensus_taken = watch_chunks(group, context.consensus_cut)
    group.network.rejoin(context.consensus_cut)
    context.consensus_rejoined = True


@when("the cut-off replica of the consensus group is connected again for {seconds:d} seconds")
def reconnect_for(context, seconds):
    _rejoin(context)
    _run(context, seconds)


@when("the cut-off replica of the consensus group is connected again until it has chunk {number:d}")
def reconnect_until(context, number):
    """Reconnect until a chunk of the transferred snapshot has arrived."""
    _rejoin(context)
    taken = context.consensus_taken
    _run(context, 10, lambda: any(chunk.offset == number for chunk in taken))
    assert taken and taken[-1].offset == number, taken


@when("the follower of the consensus group is cut off again for {seconds:d} seconds")
def cut_again(context, seconds):
    context.consensus.network.isolate(context.consensus_cut)
    _run(context, seconds)


@when("the cut-off replica of the consensus group replaces the other follower in the quorum")
def replace_in_quorum(context):
    """Leave the leader only the replica without the snapshot to form a quorum."""
    group = context.consensus
    (other,) = (name for name in group.followers() if name != context.consensus_cut)
    _rejoin(context)
    _run(context, 1, lambda: len(context.consensus_taken) > 0)
    group.network.isolate(other)
    _run(context, 1)


@when("a follower of the consensus group comes back with an empty disk for {seconds:d} seconds")
def lose_disk(context, seconds):
    group = context.consensus
    context.consensus_cut = group.followers()[0]
    group.lose_disk(context.consensus_cut)
    group.start(context.consensus_cut)
    _run(context, seconds)


@when("that leader has to send a chunk, answer a read and apply a commit index at once")
def several_effects_at_once(context):
    """Carry out the effects of one input while no timer runs."""
    group = context.consensus
    driver = group.driver(context.consensus_leader)
    request, done = driver._reads.open()
    context.consensus_answers = []
    done.addCallback(context.consensus_answers.append)
    cut = context.consensus_cut
    effects = Effects(
        snapshot_orders=[SnapshotOrder(cut, group.identity(cut), 0, 1)],
        commit_index=driver.core.state.commit_index,
        reads_ready=[ReadReady(request, 1)],
    )
    driver._applier.commit_index = 1
    driver._timer.cancel()
    with suppress(RainsailError):
        driver._take(effects)


@then(
    "that leader has answered the read, applied the commit index and scheduled its next heartbeat"
)
def all_done(context):
    driver = context.consensus.driver(context.consensus_leader)
    assert [answer.is_ok() for answer in context.consensus_answers] == [True], "the read"
    assert driver._applier.commit_index == driver.core.state.commit_index
    assert driver._timer._timer is not None, "the next heartbeat"


@then("the cut-off replica of the consensus group holds every acknowledged command, none twice")
def holds_each_once(context):
    group = context.consensus
    numbers = group.running[context.consensus_cut].state.numbers
    assert group.holds_acknowledged(context.consensus_cut), f"{len(numbers)} numbers"
    assert len(set(numbers)) == len(numbers)


@then("reading the consensus group's snapshot has failed {times:d} times")
def has_failed(context, times):
    """Check that the injected failure occurred as often as the scenario intends."""
    assert len(context.consensus_failed) == times, context.consensus_failed


@then("no member of the consensus group raised an unhandled error")
def no_error(context):
    """Check that no handler raised, since an exception skips the rest of the handler."""
    assert context.consensus_errors == [], context.consensus_errors[:3]


@then(
    "the cut-off replica of the consensus group took every chunk once, "
    "chunk {number:d} at most twice"
)
def took_once(context, number):
    """Check that only the chunk whose reply was lost in the cut is sent again."""
    offsets = [chunk.offset for chunk in context.consensus_taken if chunk.data]
    assert offsets.count(number) <= 2, offsets
    distinct = list(dict.fromkeys(offsets))
    assert len(offsets) - len(distinct) == offsets.count(number) - 1, offsets
    assert distinct == list(range(30)), offsets


@then("the leader of the consensus group answers a read within {seconds:d} seconds")
def answers_read(context, seconds):
    answers = context.consensus.read(context.consensus_leader)
    _run(context, seconds, lambda: len(answers) > 0)
    assert answers and answers[0].is_ok(), answers


@then("the leader of the consensus group is still the same after {seconds:d} seconds")
def same_leader(context, seconds):
    _run(context, seconds)
    leaders = context.consensus.leaders()
    assert leaders == [context.consensus_leader], leaders


@then("the leader of the consensus group starts again on the disk that was damaged")
def starts_again(context):
    """Check that the snapshot was replaced: a member doesn't start from a damaged one."""
    group = context.consensus
    name = context.consensus_leader
    group.crash(name)
    group.start(name)
    group.run_until(lambda: group.running[name].driver is not None, "the replica's start")
    group.run_until(lambda: group.holds_acknowledged(name), "the replica's state")


@then("the cut-off replica of the consensus group is a voter")
def is_voter(context):
    group = context.consensus
    members = group.driver(group.leader()).members()
    identity = group.identity(context.consensus_cut)
    assert identity in [member.identity for member in members.voters()], members


def _replace_piece(context, number, replace):
    """Let ``replace`` change the piece that the leader's source returns at one offset, once."""
    group = context.consensus
    context.consensus_leader = group.leader()
    source = group.driver(context.consensus_leader)._snapshots._source
    original = source.piece
    replaced = []
    context.consensus_rejoined = False

    def piece(index, identity, offset, part_bytes):
        found = original(index, identity, offset, part_bytes)
        if offset != number or replaced or not context.consensus_rejoined:
            return found
        replaced.append(offset)
        return Ok(replace(found.ok))

    source.piece = piece
    _close_snapshot_readers(context)


def _pieces(context):
    """Read the leader's snapshot independently of the follower's reader."""
    group = context.consensus
    storage = group.driver(group.leader())._snapshots._storage
    return list(storage.read_snapshot())


def _piece_at(context, offset):
    return _pieces(context)[offset]


@when("the leader of the consensus group sends the checksum in place of chunk {number:d}, once")
def end_early(context, number):
    _replace_piece(context, number, lambda read: PieceRead(number, _piece_at(context, -1)))


@when("the leader of the consensus group sends chunk {other:d} in place of chunk {number:d}, once")
def wrong_chunk(context, other, number):
    _replace_piece(context, number, lambda read: PieceRead(number, _piece_at(context, other)))


@when("the leader of the consensus group sends a flipped bit in chunk {number:d}, once")
def flipped_bit(context, number):
    """Flip a bit that leaves the bytes valid numbers, so that only the checksum detects it."""

    def replace(read):
        return PieceRead(number, read.piece[:-1] + bytes([read.piece[-1] ^ 1]))

    _replace_piece(context, number, replace)


@when("the leader of the consensus group sends a chunk after the last one, once")
def one_more(context):
    count = len(_pieces(context)) - 1
    _replace_piece(context, count, lambda read: PieceRead(count, b"1,2,3"))


@given("{count:d} commands without a number are committed by the consensus group")
def commit_empty(context, count):
    group = context.consensus
    leader = group.leader()
    answers = []
    for _ in range(count):
        group.driver(leader).propose(NoOperation()).addCallback(answers.append)
    group.run_until(lambda: len(answers) == count, "the commands")
    assert all(answer.is_ok() for answer in answers)


@then("the cut-off replica of the consensus group holds no number and has applied all")
def holds_nothing(context):
    group = context.consensus
    names = (group.leader(), context.consensus_cut)
    ahead, behind = (group.driver(name)._applier.applied_index for name in names)
    assert ahead == behind > 300, (ahead, behind)
    assert group.running[context.consensus_cut].state.numbers == []


@then("the cut-off replica of the consensus group has got a snapshot")
def got_snapshot(context):
    assert any(chunk.whole == SnapshotChecksum() for chunk in context.consensus_taken)


@when("the state of the cut-off replica of the consensus group can't be restored")
def cannot_restore(context):
    def restore(chunks):
        raise CodecError("no such record")

    context.consensus.running[context.consensus_cut].state.restore = restore


@then('the cut-off replica of the consensus group has stopped at "{where}"')
def stopped_at(context, where):
    faults = context.consensus.running[context.consensus_cut].faults
    assert [(fault.code, fault.step) for fault in faults] == [(FaultCode.STORAGE, where)], faults


@when("the leader of the consensus group can't encode the next snapshot of its state")
def cannot_encode(context):
    group = context.consensus
    _collect_log(context)
    context.consensus_leader = group.leader()
    state = group.running[context.consensus_leader].state
    take_snapshot = state.snapshot
    failed = []

    def snapshot():
        chunks = take_snapshot()
        yield next(chunks)
        if not failed:
            failed.append(True)
            raise CodecError("no such record")
        yield from chunks

    state.snapshot = snapshot


@then("the snapshot of the consensus group's leader is newer than entry {index:d}")
def newer_than(context, index):
    assert context.consensus.leader() == context.consensus_leader
    meta = context.consensus.driver(context.consensus_leader)._snapshots._storage.snapshot_meta
    assert meta is not None and meta.last_index > index, meta


@then('the consensus group has logged {times:d} times that a snapshot "{what}"')
@then('the consensus group has logged {times:d} times that a snapshot is "{what}"')
def logged(context, times, what):
    lines = [line for line in context.consensus_log if what in line]
    assert len(lines) == times, context.consensus_log


@then("the consensus group's leader has written {count:d} snapshot in place of the unreadable one")
def renewed(context, count):
    """Check the snapshot's index: the last regular snapshot is that of entry 300."""
    storage = context.consensus.driver(context.consensus_leader)._snapshots._storage
    assert storage.snapshot_meta.last_index == 300 + 2 * count, storage.snapshot_meta


class _SnapshotOnly:
    """A storage that holds only a snapshot with the given pieces."""

    last_index = 3
    snapshot_meta = SnapshotMeta(3, 1, b"")

    def __init__(self, pieces):
        self.read_snapshot = lambda: iter(pieces)


def _refuses(pieces):
    try:
        recover_log(_SnapshotOnly(pieces), RecordingState())
    except RainsailError as error:
        assert error.fault.code == FaultCode.STORAGE, error.fault
        return True
    return False


@then("a replica's log isn't recovered from a snapshot that ends without its checksum")
def not_without_sum(context):
    chunks = [b"1,2", b"3"]
    whole = SnapshotChecksum().with_chunk(chunks[0]).with_chunk(chunks[1])
    assert not _refuses([*chunks, whole]), "a complete snapshot was refused"
    assert _refuses(chunks)
    assert _refuses([])


@then("a replica's log isn't recovered from a snapshot that has another snapshot's checksum")
def not_with_other_sum(context):
    chunks = [b"1,2", b"3"]
    for other in ([b"1,2"], [b"1,2", b"4"], [b"3", b"1,2"], [b"1,23"]):
        total = SnapshotChecksum()
        for chunk in other:
            total = total.with_chunk(chunk)
        assert _refuses([*chunks, total]), other
