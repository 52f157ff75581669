"""The leader's handling of append replies: follower progress and the commit index."""

from rainsail.consensus import append_sending, confirmed_reads, following, lease
from rainsail.consensus.core_state import CoreState, Progress, ProgressMode, Role
from rainsail.consensus.effects import AcknowledgedLost
from rainsail.consensus.membership import MemberSpec
from rainsail.consensus.messages import AppendReply


def handle_append_reply(state: CoreState, message: AppendReply, now: float) -> None:
    """Update a follower's progress, advance the commit index, and send more entries."""
    if message.term > state.term:
        following.become_follower(state, message.term, now)
        return
    if state.role != Role.LEADER or message.term != state.term:
        return
    member = state.membership.find(message.sender)
    if member is None:
        return
    progress = state.progress_of(member.identity)
    lease.note_acknowledged(state, progress, message.round, now)
    if message.accepted:
        note_match(state, progress, message.match_index)
        advance_commit(state)
    elif has_lost_acknowledged(progress, message):
        revoke_match(state, member, progress, message)
    else:
        note_refusal(progress, message)
    confirmed_reads.finish_confirmed(state)
    append_sending.send_append(state, member, heartbeat=False)


def note_match(state: CoreState, progress: Progress, match_index: int) -> None:
    """Record that a follower has synced everything up to an index."""
    if match_index > progress.match_index:
        progress.match_index = match_index
        progress.match_round = state.round
    progress.acknowledge(progress.match_index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    if progress.mode == ProgressMode.PROBE:
        progress.mode = ProgressMode.REPLICATE
        progress.probe_sent = False


def has_lost_acknowledged(progress: Progress, message: AppendReply) -> bool:
    """Return whether a follower lost entries that it had acknowledged as synced.

    This happens when its disk reports a sync that it has not done. A refusal that belongs to a
    round before the acknowledgement was recorded may only be late, so it doesn't count.
    """
    return message.previous_index <= progress.match_index and message.round > progress.match_round


def revoke_match(
    state: CoreState, member: MemberSpec, progress: Progress, message: AppendReply
) -> None:
    """Lower the match index to what the follower holds, resend the rest, and report the loss.

    The lost entries no longer count towards a commit.
    """
    lost = AcknowledgedLost(member.replica, message.match_index, progress.match_index)
    state.effects.acknowledged_lost.append(lost)
    progress.match_index = min(message.match_index, message.previous_index - 1)
    progress.match_round = state.round
    progress.next_index = progress.match_index + 1
    progress.mode = ProgressMode.PROBE
    progress.probe_sent = False
    progress.reset_in_flight()


def note_refusal(progress: Progress, message: AppendReply) -> None:
    """Move ``next_index`` back after a refused append, but never below the match index."""
    if message.previous_index <= progress.match_index:
        return
    if message.previous_index >= progress.next_index:
        return
    hint = min(message.match_index + 1, message.previous_index)
    progress.next_index = max(hint, progress.match_index + 1)
    progress.mode = ProgressMode.PROBE
    progress.probe_sent = False
    progress.reset_in_flight()


def match_index_of(state: CoreState, identity: str) -> int:
    """Return the index up to which a member, possibly the leader itself, has synced."""
    if identity == state.identity:
        return state.writes.synced_index
    progress = state.progress.get(identity)
    return progress.match_index if progress is not None else 0


def advance_commit(state: CoreState) -> None:
    """Commit what a majority of the voters has synced, if its last entry is of this term."""
    synced = sorted(match_index_of(state, m.identity) for m in state.membership.voters())
    if not synced:
        return
    index = synced[len(synced) - state.membership.quorum()]
    if index > state.commit_index and counts_for_commit(state, index):
        state.commit_to(index)


def counts_for_commit(state: CoreState, index: int) -> bool:
    """Return whether an index may be committed by counting replicas.

    Only an entry of the leader's own term may; it commits all entries before it too. An entry of
    an earlier term on a majority of voters can still be overwritten by another leader.
    """
    return state.log.term_at(index) == state.term
