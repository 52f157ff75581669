"""The leader's read lease and quorum check.

A voter that answers a heartbeat round withholds its vote for an election timeout after receiving
it, which is after the leader sent it. So no other leader can exist before the send time plus the
election timeout. The lease ends earlier by a margin for clocks that run at different rates.
"""

from rainsail.consensus.core_state import CommitMark, CoreState, Progress, Role


def note_acknowledged(state: CoreState, progress: Progress, round: int, now: float) -> None:
    """Record that a follower has answered a heartbeat round."""
    progress.heard_at_s = now
    if round <= progress.acked_round:
        return
    sent_at = state.round_sent_at_s.get(round)
    if sent_at is None:
        return
    progress.acked_round = round
    progress.acked_sent_at_s = sent_at


def next_aligned_heartbeat_s(now: float, period_s: float) -> float:
    """Return the next multiple of the heartbeat period.

    All groups of a process then send heartbeats at the same moment, so the router can merge them.
    """
    beat_s = (now // period_s + 1) * period_s
    return beat_s if beat_s - now > period_s / 1_000 else beat_s + period_s


def forget_old_rounds(state: CoreState, now: float) -> None:
    """Drop the send times of rounds older than four election timeouts."""
    horizon = now - 4 * state.settings.election_timeout_s
    for round in list(state.round_sent_at_s):
        if state.round_sent_at_s[round] >= horizon:
            break
        del state.round_sent_at_s[round]


def mark_commit(state: CoreState, now: float) -> None:
    """Record the commit index; keep marks back to one that is an election timeout old."""
    marks = state.commit_marks
    marks.append(CommitMark(now, state.commit_index))
    while len(marks) > 1 and now - marks[1].at_s >= state.settings.election_timeout_s:
        marks.popleft()


def quorum_round(state: CoreState) -> int:
    """Return the newest round that a majority of the voters has answered."""
    rounds = []
    for member in state.membership.voters():
        if member.identity == state.identity:
            rounds.append(state.round)
            continue
        progress = state.progress.get(member.identity)
        rounds.append(progress.acked_round if progress is not None else 0)
    if not rounds:
        return 0
    return sorted(rounds)[len(rounds) - state.membership.quorum()]


def holds_lease(state: CoreState, now: float) -> bool:
    """Return whether a quorum of lease promises rules out another leader now."""
    if state.role != Role.LEADER or state.transfer_target:
        return False
    horizon = now - state.settings.lease_s
    fresh = [m for m in state.membership.voters() if answered_since(state, m.identity, horizon)]
    return len(fresh) >= state.membership.quorum()


def answered_since(state: CoreState, identity: str, horizon: float) -> bool:
    """Return whether a member has answered a round sent after ``horizon`` (the leader: always)."""
    if identity == state.identity:
        return True
    progress = state.progress.get(identity)
    return progress is not None and progress.acked_sent_at_s > horizon


def has_lost_quorum(state: CoreState, now: float) -> bool:
    """Return whether less than a quorum of voters has answered within an election timeout."""
    horizon = now - state.settings.election_timeout_s
    if state.leader_since_s > horizon:
        return False
    heard = [m for m in state.membership.voters() if heard_since(state, m.identity, horizon)]
    return len(heard) < state.membership.quorum()


def heard_since(state: CoreState, identity: str, horizon: float) -> bool:
    """Return whether a member has answered since ``horizon`` (the leader: always)."""
    if identity == state.identity:
        return True
    progress = state.progress.get(identity)
    return progress is not None and progress.heard_at_s >= horizon
