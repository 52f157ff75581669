"""Replacing a member whose disk is lost, one step at a time, decided on the leader.

A replica that returns with an empty disk says ``Hello`` under its new identity. When the member
of its name has been unreachable for the stated time, the new identity is added as a learner, made
a voter once it has caught up (what it acknowledges is synced), and only then the old identity
leaves. Nothing else is repaired meanwhile.
"""

from rainsail.consensus import membership_change
from rainsail.consensus.core_state import CoreState, Role
from rainsail.consensus.membership import Membership, MemberSpec
from rainsail.consensus.replication import match_index_of


def next_membership(state: CoreState, now: float) -> Membership | None:
    """Return the membership that the next step of a repair leads to, None when there is none."""
    if state.role != Role.LEADER or state.transfer_target:
        return None
    if not membership_change.may_change(state):
        return None
    learner = next((m for m in state.membership.members if not m.voter), None)
    if learner is not None:
        return after_learner(state, learner, now)
    replaced = replaced_member(state)
    if replaced is not None:
        return state.membership.without(replaced.identity)
    return with_newcomer(state, now)


def after_learner(state: CoreState, learner: MemberSpec, now: float) -> Membership | None:
    """Promote a caught-up learner, or drop one that has itself been replaced or is long gone.

    A learner that went away for good must not stand in the way of other repairs.
    """
    if not heard_lately(state, learner.identity, now):
        if calls_lately(state, learner.replica, now) or is_long_gone(state, learner.identity, now):
            return state.membership.without(learner.identity)
        return None
    if is_caught_up(state, learner.identity):
        return state.membership.promoted(learner.identity)
    return None


def replaced_member(state: CoreState) -> MemberSpec | None:
    """Return the older of two voters of one name; the newer stands later in the list."""
    for member in state.membership.voters():
        if state.membership.named(member.replica)[-1].identity != member.identity:
            return member
    return None


def with_newcomer(state: CoreState, now: float) -> Membership | None:
    """Add the new identity of a member that has been away for long."""
    for member in state.membership.voters():
        if not calls_lately(state, member.replica, now):
            continue
        if is_long_gone(state, member.identity, now):
            newest = state.newcomers[member.replica].identity
            return state.membership.with_learner(member.replica, newest)
    return None


def calls_lately(state: CoreState, replica: str, now: float) -> bool:
    """Tell whether a replica has called lately under an identity outside the group."""
    newcomer = state.newcomers.get(replica)
    if newcomer is None or state.membership.find(newcomer.identity) is not None:
        return False
    return now - newcomer.heard_at_s < state.settings.unreachable_after_s


def is_long_gone(state: CoreState, identity: str, now: float) -> bool:
    """Tell whether a member was not heard of for the repair time, as far as this leader knows."""
    progress = state.progress.get(identity)
    if identity == state.identity or progress is None:
        return False
    heard_at_s = max(progress.heard_at_s, progress.added_at_s, state.leader_since_s)
    return now - heard_at_s >= state.settings.repair_after_s


def heard_lately(state: CoreState, identity: str, now: float) -> bool:
    """Tell whether a member has answered lately."""
    progress = state.progress.get(identity)
    if progress is None:
        return False
    return now - progress.heard_at_s < state.settings.unreachable_after_s


def is_caught_up(state: CoreState, identity: str) -> bool:
    """Tell whether a learner holds, synced, all that is committed but for a short tail.

    Short is a number of entries, or under load what was committed within an election timeout.
    """
    match_index = match_index_of(state, identity)
    if state.commit_index - match_index <= state.settings.promotion_lag_entries:
        return True
    oldest = state.commit_marks[0] if state.commit_marks else None
    return oldest is not None and match_index >= oldest.index > 0
