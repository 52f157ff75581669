"""Snapshots on their way: the leader sends chunks, the follower gathers them and may resume."""

from rainsail.consensus import lease, replication, roles
from rainsail.consensus.core_state import CoreState, IncomingSnapshot, Progress, ProgressMode, Role
from rainsail.consensus.effects import SnapshotInstall, SnapshotOrder, SnapshotRefused
from rainsail.consensus.membership import (
    EMPTY_MEMBERSHIP,
    MemberSpec,
    membership_of_payload,
)
from rainsail.consensus.messages import AppendReply, SnapshotChunk, SnapshotReply
from rainsail.storage.interface import SnapshotMeta
from rainsail.storage.snapshot_sum import SnapshotSum


def order_chunk(state: CoreState, member: MemberSpec, progress: Progress, heartbeat: bool) -> None:
    """Ask the driver for the follower's next chunk; a heartbeat repeats the last order."""
    if progress.mode != ProgressMode.SNAPSHOT:
        progress.mode = ProgressMode.SNAPSHOT
        progress.snapshot_offset = 0
        progress.reset_in_flight()
    elif not heartbeat:
        return
    order = SnapshotOrder(member.replica, member.identity, progress.snapshot_offset, state.round)
    state.effects.snapshot_orders.append(order)


def handle_chunk(state: CoreState, source: str, message: SnapshotChunk, now: float) -> None:
    """Take the next chunk; a snapshot that is whole is handed to the driver to be stored."""
    if message.term < state.term:
        reply(state, source, message, 0)
        return
    replication.accept_leader(state, source, message.term, message.sender, now)
    if state.installing:
        reply(state, source, message, message.offset)
        return
    if message.last_index <= state.commit_index:
        report_position(state, source, message.sender, message.round)
        return
    incoming = incoming_for(state, message)
    if message.whole is not None and message.offset <= len(incoming.chunks):
        finish(state, source, message, message.whole)
        return
    if message.data is not None and message.offset == len(incoming.chunks):
        incoming.take(message.data)
    reply(state, source, message, len(incoming.chunks))


def incoming_for(state: CoreState, message: SnapshotChunk) -> IncomingSnapshot:
    """Return the gathering of this snapshot, begun anew when it is another one."""
    known = state.incoming
    key = (message.sender, message.last_index, message.last_term)
    if known is None or (known.sender, known.last_index, known.last_term) != key:
        known = IncomingSnapshot(*key)
        state.incoming = known
    return known


def finish(state: CoreState, source: str, message: SnapshotChunk, told: SnapshotSum) -> None:
    """Install what was gathered when it is the whole snapshot; otherwise begin anew.

    What is refused is not answered, so that the leader tries again with its next heartbeat.
    """
    incoming = incoming_for(state, message)
    state.incoming = None
    if is_whole(incoming, told):
        install(state, message, incoming)
        reply(state, source, message, len(incoming.chunks))
        return
    state.effects.snapshot_refused = SnapshotRefused(
        source, message.last_index, incoming.received, told
    )


def is_whole(incoming: IncomingSnapshot, told: SnapshotSum) -> bool:
    """Tell whether what was gathered is what the leader's snapshot holds on its disk."""
    return incoming.received == told


def install(state: CoreState, message: SnapshotChunk, incoming: IncomingSnapshot) -> None:
    """Hand over the whole snapshot; appends wait until it is stored.

    Nothing of the log goes before the snapshot is durable: what this member has acknowledged
    may have been counted for a commit. The storage drops a log that lacks the snapshot's last
    entry together with taking the snapshot up.
    """
    state.installing = True
    meta = SnapshotMeta(message.last_index, message.last_term, message.membership)
    state.effects.install = SnapshotInstall(meta, tuple(incoming.chunks))


def reply(state: CoreState, source: str, message: SnapshotChunk, next_offset: int) -> None:
    """Tell the leader where to go on."""
    answer = SnapshotReply(
        state.group,
        state.term,
        state.identity,
        message.sender,
        message.last_index,
        next_offset,
        message.round,
    )
    state.send_after_sync(source, answer)


def report_position(state: CoreState, source: str, leader: str, round: int) -> None:
    """Tell the leader what is committed and synced here, so that it goes on from there."""
    match_index = min(state.commit_index, state.writes.synced_index)
    answer = AppendReply(
        state.group, state.term, state.identity, leader, True, match_index, match_index, round
    )
    state.send_after_sync(source, answer)


def installed(state: CoreState, meta: SnapshotMeta, now: float) -> None:
    """Take up the log behind a snapshot that the driver has stored and restored."""
    state.installing = False
    if state.log.term_at(meta.last_index) == meta.last_term:
        state.log.compact(meta.last_index)
        state.writes.synced_index = max(state.writes.synced_index, meta.last_index)
    else:
        membership = membership_of_payload(meta.membership)
        state.log.reset(meta.last_index, meta.last_term, membership or EMPTY_MEMBERSHIP)
        state.writes.restart_at(meta.last_index)
    state.snapshot_index = meta.last_index
    state.commit_index = max(state.commit_index, meta.last_index)
    if state.role == Role.EMPTY and state.membership.members:
        state.change_role(Role.FOLLOWER)
    state.reset_election_deadline(now)
    if state.leader and state.leader != state.identity:
        report_position(state, state.leader_replica, state.leader, 0)


def taken(state: CoreState, index: int) -> None:
    """Compact the log behind a snapshot of this member's own, but for some recent entries."""
    state.snapshot_index = index
    settings = state.settings
    log = state.log
    log.compact(log.retained_from(index, settings.retained_entries, settings.retained_bytes))


def handle_reply(state: CoreState, message: SnapshotReply, now: float) -> None:
    """Send the next chunk, or go back to appends when the snapshot is through."""
    if message.term > state.term:
        roles.become_follower(state, message.term, now)
        return
    if state.role != Role.LEADER or message.term != state.term:
        return
    member = state.membership.find(message.sender)
    if member is None:
        return
    progress = replication.progress_of(state, member.identity)
    lease.note_acknowledged(state, progress, message.round, now)
    if progress.mode != ProgressMode.SNAPSHOT:
        return
    next_offset = message.next_offset if message.last_index == state.snapshot_index else 0
    if next_offset != progress.snapshot_offset:
        progress.snapshot_offset = next_offset
        order = SnapshotOrder(
            member.replica, member.identity, progress.snapshot_offset, state.round
        )
        state.effects.snapshot_orders.append(order)
