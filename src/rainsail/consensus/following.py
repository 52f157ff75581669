"""Following: accepting a leader, and stepping down for a leader or a later term."""

from rainsail.consensus.core_state import CoreState, Role


def accept_leader(state: CoreState, source: str, term: int, sender: str, now: float) -> None:
    """Follow the sender of an append or snapshot chunk of a current term."""
    if term > state.term or state.role not in (Role.FOLLOWER, Role.EMPTY):
        become_follower(state, term, now)
    state.leader = sender
    state.leader_replica = source
    state.heard_leader_at_s = now
    state.reset_election_deadline(now)


def become_follower(state: CoreState, term: int, now: float) -> None:
    """Become a follower in ``term``, the current one or a later one."""
    was_leader = state.role == Role.LEADER
    if term > state.term:
        state.save_hard_state(term, "")
        state.leader = ""
        state.leader_replica = ""
    if was_leader:
        end_leadership(state)
        state.reset_election_deadline(now)
    state.votes.clear()
    state.founding_votes.clear()
    has_group = bool(state.membership.members)
    state.change_role(Role.FOLLOWER if has_group else Role.EMPTY)


def end_leadership(state: CoreState) -> None:
    """Clear the state that only a leader keeps, and fail the pending read barriers."""
    state.effects.leadership_lost = True
    state.effects.reads_failed += [read.request for read in state.reads]
    state.reads.clear()
    state.commit_marks.clear()
    state.progress.clear()
    state.round_sent_at_s.clear()
    state.transfer_target = ""
    if state.leader == state.identity:
        state.leader = ""
        state.leader_replica = ""
