"""The leader's read lease and its check that a quorum still follows it.

Voters that have answered a round keep their votes back for an election timeout from when they
got it, which is later than when the round was sent. So no other leader can exist before the send
time plus the election timeout; the lease ends earlier by the margin for clocks of unequal rate.
"""

from rainsail.consensus.core_state import CommitMark, CoreState, Progress, Role


def note_acknowledged(state: CoreState, progress: Progress, round: int, now: float) -> None:
    """Note that a follower has answered a round."""
    progress.heard_at_s = now
    if round <= progress.acked_round:
        return
    sent_at = state.round_sent_at_s.get(round)
    if sent_at is None:
        return
    progress.acked_round = round
    progress.acked_sent_at_s = sent_at


def next_aligned_heartbeat_s(now: float, period_s: float) -> float:
    """Return the next multiple of the period, so that all groups of a process beat together."""
    beat_s = (now // period_s + 1) * period_s
    return beat_s if beat_s - now > period_s / 1_000 else beat_s + period_s


def forget_old_rounds(state: CoreState, now: float) -> None:
    """Drop the send times that are too old to matter."""
    horizon = now - 4 * state.settings.election_timeout_s
    for round in list(state.round_sent_at_s):
        if state.round_sent_at_s[round] >= horizon:
            break
        del state.round_sent_at_s[round]


def mark_commit(state: CoreState, now: float) -> None:
    """Keep where the commit index stood, back to one mark that is an election timeout old."""
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
    """Tell whether no other leader can exist now."""
    if state.role != Role.LEADER or state.transfer_target:
        return False
    horizon = now - state.settings.lease_s
    fresh = [m for m in state.membership.voters() if answered_since(state, m.identity, horizon)]
    return len(fresh) >= state.membership.quorum()


def answered_since(state: CoreState, identity: str, horizon: float) -> bool:
    """Tell whether a member has answered a round sent after a time; the leader itself always."""
    if identity == state.identity:
        return True
    progress = state.progress.get(identity)
    return progress is not None and progress.acked_sent_at_s > horizon


def has_lost_quorum(state: CoreState, now: float) -> bool:
    """Tell whether too few voters were heard of within an election timeout."""
    horizon = now - state.settings.election_timeout_s
    if state.leader_since_s > horizon:
        return False
    heard = [m for m in state.membership.voters() if heard_since(state, m.identity, horizon)]
    return len(heard) < state.membership.quorum()


def heard_since(state: CoreState, identity: str, horizon: float) -> bool:
    """Tell whether a member was heard of since a time; the leader hears itself."""
    if identity == state.identity:
        return True
    progress = state.progress.get(identity)
    return progress is not None and progress.heard_at_s >= horizon
