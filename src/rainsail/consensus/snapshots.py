"""Snapshots at a member: received from the leader and installed, or taken of its own state."""

from rainsail.consensus import following
from rainsail.consensus.core_state import CoreState, IncomingSnapshot, Role
from rainsail.consensus.effects import SnapshotInstall, SnapshotRefused
from rainsail.consensus.membership import EMPTY_MEMBERSHIP, membership_of_payload
from rainsail.consensus.messages import AppendReply, SnapshotChunk, SnapshotReply
from rainsail.consensus.snapshot_transfer_part import SnapshotTransferPart
from rainsail.storage.interface import SnapshotMeta
from rainsail.storage.snapshot_checksum import SnapshotChecksum

SnapshotMessage = SnapshotChunk | SnapshotTransferPart


def handle_chunk(state: CoreState, source: str, message: SnapshotMessage, now: float) -> None:
    """Take the next chunk or part; a complete snapshot is passed to the driver to be stored."""
    if message.term < state.term:
        reply(state, source, message, 0)
        return
    following.accept_leader(state, source, message.term, message.sender, now)
    if state.installing:
        reply(state, source, message, message.offset)
        return
    if message.last_index <= state.commit_index:
        report_position(state, source, message.sender, message.round)
        return
    incoming = incoming_for(state, message)
    if message.whole is not None and message.offset <= incoming.offset:
        finish(state, source, message, message.whole)
        return
    if message.data is not None and message.offset == incoming.offset:
        incoming.take(message.data, isinstance(message, SnapshotChunk) or message.ends_chunk)
    reply(state, source, message, incoming.offset)


def incoming_for(state: CoreState, message: SnapshotMessage) -> IncomingSnapshot:
    """Return what was received so far of the message's snapshot, empty for a new snapshot."""
    known = state.incoming
    in_parts = isinstance(message, SnapshotTransferPart)
    key = (message.sender, message.last_index, message.last_term, in_parts)
    if known is None or (known.sender, known.last_index, known.last_term, known.in_parts) != key:
        known = IncomingSnapshot(*key)
        state.incoming = known
    return known


def finish(
    state: CoreState, source: str, message: SnapshotMessage, expected: SnapshotChecksum
) -> None:
    """Install the received chunks if they match the checksum; otherwise drop them.

    A refusal gets no reply, so that the leader tries again with its next heartbeat.
    """
    incoming = incoming_for(state, message)
    state.incoming = None
    if is_whole(incoming, expected):
        install(state, message, incoming)
        reply(state, source, message, incoming.offset)
        return
    state.effects.snapshot_refused = SnapshotRefused(
        source, message.last_index, incoming.received, expected
    )


def is_whole(incoming: IncomingSnapshot, expected: SnapshotChecksum) -> bool:
    """Return whether the received chunks match the checksum of the leader's snapshot."""
    return incoming.received == expected


def install(state: CoreState, message: SnapshotMessage, incoming: IncomingSnapshot) -> None:
    """Pass the complete snapshot to the driver; appends wait until it is stored.

    No log entry is dropped before the snapshot is durable, because entries that this member has
    acknowledged may count towards a commit. A log that lacks the snapshot's last entry is dropped
    by the storage in the same step that activates the snapshot.
    """
    state.installing = True
    meta = SnapshotMeta(message.last_index, message.last_term, message.membership)
    state.effects.install = SnapshotInstall(meta, tuple(incoming.chunks))


def reply(state: CoreState, source: str, message: SnapshotMessage, next_offset: int) -> None:
    """Tell the leader which chunk to send next."""
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
    """Report the committed and synced index to the leader, so that it continues from there."""
    match_index = min(state.commit_index, state.writes.synced_index)
    answer = AppendReply(
        state.group, state.term, state.identity, leader, True, match_index, match_index, round
    )
    state.send_after_sync(source, answer)


def installed(state: CoreState, meta: SnapshotMeta, now: float) -> None:
    """Compact or reset the log after the driver has stored and restored a snapshot."""
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
    """Compact the log up to this member's own snapshot, except for some recent entries."""
    state.snapshot_index = index
    settings = state.settings
    log = state.log
    log.compact(log.retained_from(index, settings.retained_entries, settings.retained_bytes))
