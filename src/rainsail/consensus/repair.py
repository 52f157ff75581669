"""Replacing a member whose disk is lost, one step at a time, decided on the leader.

A replica that returns with an empty disk says ``Hello`` under its new identity. When the member
of its name has been unreachable for the stated time, the new identity is added as a learner, made
a voter once it has caught up (what it acknowledges is synced), and only then the old identity
leaves. Nothing else is repaired meanwhile.

An open group (``target_voters`` is set) also takes in replicas that it was not founded with: while
it has too few voters, in the place of a voter that is long gone, and in the place of one that is
to leave. A voter is dropped only while more than the target stay.
"""

from rainsail.consensus import membership_change
from rainsail.consensus.append_replies import match_index_of
from rainsail.consensus.core_state import CoreState, Role
from rainsail.consensus.membership import Membership, MemberSpec


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
    surplus = surplus_voter(state, now)
    if surplus is not None:
        return state.membership.without(surplus.identity)
    return with_replacement_learner(state, now) or with_additional_learner(state, now)


def after_learner(state: CoreState, learner: MemberSpec, now: float) -> Membership | None:
    """Promote a caught-up learner, or drop one that has itself been replaced or is long gone.

    A learner that went away for good must not stand in the way of other repairs.
    """
    if not heard_recently(state, learner.identity, now):
        if sent_hello_recently(state, learner.replica, now) or is_past_repair_timeout(
            state, learner.identity, now
        ):
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


def with_replacement_learner(state: CoreState, now: float) -> Membership | None:
    """Add the new identity of a member that has been away for long."""
    for member in state.membership.voters():
        if not sent_hello_recently(state, member.replica, now):
            continue
        if is_past_repair_timeout(state, member.identity, now):
            newest = state.join_candidates[member.replica].identity
            return state.membership.with_learner(member.replica, newest)
    return None


def surplus_voter(state: CoreState, now: float) -> MemberSpec | None:
    """Return a voter that an open group does without: one that leaves or is long gone.

    The leader itself leaves by handing its leadership over first.
    """
    voters = state.membership.voters()
    if not state.target_voters or len(voters) <= state.target_voters:
        return None
    others = [member for member in voters if member.identity != state.identity]
    for member in others:
        if member.replica in state.leaving:
            return member
    return next(
        (member for member in others if is_past_repair_timeout(state, member.identity, now)), None
    )


def with_additional_learner(state: CoreState, now: float) -> Membership | None:
    """Add a replica of another name to an open group that needs one more voter."""
    if not state.target_voters or not needs_voter(state, now):
        return None
    for replica in sorted(state.join_candidates):
        known = state.membership.named(replica)
        if known or replica in state.leaving or not sent_hello_recently(state, replica, now):
            continue
        return state.membership.with_learner(replica, state.join_candidates[replica].identity)
    return None


def needs_voter(state: CoreState, now: float) -> bool:
    """Tell whether fewer voters than intended are here to stay."""
    staying = [
        member
        for member in state.membership.voters()
        if member.replica not in state.leaving
        and not is_past_repair_timeout(state, member.identity, now)
    ]
    return len(staying) < state.target_voters


def sent_hello_recently(state: CoreState, replica: str, now: float) -> bool:
    """Tell whether a replica has called lately under an identity outside the group."""
    candidate = state.join_candidates.get(replica)
    if candidate is None or state.membership.find(candidate.identity) is not None:
        return False
    return now - candidate.heard_at_s < state.settings.unreachable_after_s


def is_past_repair_timeout(state: CoreState, identity: str, now: float) -> bool:
    """Tell whether a member was not heard of for the repair time, as far as this leader knows."""
    progress = state.progress.get(identity)
    if identity == state.identity or progress is None:
        return False
    heard_at_s = max(progress.heard_at_s, progress.added_at_s, state.leader_since_s)
    return now - heard_at_s >= state.settings.repair_after_s


def heard_recently(state: CoreState, identity: str, now: float) -> bool:
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
