"""Replacement of a member that lost its disk, one step at a time, decided by the leader.

A replica that returns with an empty disk sends ``Hello`` under its new identity. When the member
of its name has been unreachable for ``repair_after_s``, the new identity is added as a learner and
promoted to voter once it has caught up (what it acknowledges is synced). Only then is the old
identity removed. No other repair runs meanwhile.

An open group (``target_voters`` is set) also adds replicas that didn't found it: while it has too
few voters, and to replace voters that are past the repair timeout or are to leave. A voter is
removed only while more than ``target_voters`` voters exist.
"""

from rainsail.consensus import membership_change
from rainsail.consensus.append_replies import match_index_of
from rainsail.consensus.core_state import CoreState, Role
from rainsail.consensus.membership import Membership, MemberSpec


def next_membership(state: CoreState, now: float) -> Membership | None:
    """Return the membership after the next repair step, or None if no step is due."""
    if state.role != Role.LEADER or state.transfer_target:
        return None
    if not membership_change.may_change(state):
        return None
    learner = next((m for m in state.membership.members if not m.voter), None)
    if learner is not None:
        return after_learner_step(state, learner, now)
    replaced = replaced_member(state)
    if replaced is not None:
        return state.membership.without(replaced.identity)
    surplus = surplus_voter(state, now)
    if surplus is not None:
        return state.membership.without(surplus.identity)
    return with_replacement_learner(state, now) or with_additional_learner(state, now)


def after_learner_step(state: CoreState, learner: MemberSpec, now: float) -> Membership | None:
    """Promote a caught-up learner, or remove one that was replaced or is past the repair timeout.

    A learner that is permanently lost must not block other repairs.
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
    """Return the older of two voters of one name; the newer one is later in the list."""
    for member in state.membership.voters():
        if state.membership.named(member.replica)[-1].identity != member.identity:
            return member
    return None


def with_replacement_learner(state: CoreState, now: float) -> Membership | None:
    """Add the new identity of a member that is past the repair timeout as a learner."""
    for member in state.membership.voters():
        if not sent_hello_recently(state, member.replica, now):
            continue
        if is_past_repair_timeout(state, member.identity, now):
            newest = state.join_candidates[member.replica].identity
            return state.membership.with_learner(member.replica, newest)
    return None


def surplus_voter(state: CoreState, now: float) -> MemberSpec | None:
    """Return a voter that an open group can remove: one to leave or past the repair timeout.

    The leader itself has to transfer its leadership before it can be removed.
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
    """Add a replica of a new name, as a learner, to an open group that needs another voter."""
    if not state.target_voters or not needs_voter(state, now):
        return None
    for replica in sorted(state.join_candidates):
        known = state.membership.named(replica)
        if known or replica in state.leaving or not sent_hello_recently(state, replica, now):
            continue
        return state.membership.with_learner(replica, state.join_candidates[replica].identity)
    return None


def needs_voter(state: CoreState, now: float) -> bool:
    """Return whether fewer than ``target_voters`` voters are expected to stay."""
    staying = [
        member
        for member in state.membership.voters()
        if member.replica not in state.leaving
        and not is_past_repair_timeout(state, member.identity, now)
    ]
    return len(staying) < state.target_voters


def sent_hello_recently(state: CoreState, replica: str, now: float) -> bool:
    """Return whether a replica has recently sent Hello under an identity outside the group."""
    candidate = state.join_candidates.get(replica)
    if candidate is None or state.membership.find(candidate.identity) is not None:
        return False
    return now - candidate.heard_at_s < state.settings.unreachable_after_s


def is_past_repair_timeout(state: CoreState, identity: str, now: float) -> bool:
    """Return whether this leader has not heard from a member for ``repair_after_s``."""
    progress = state.progress.get(identity)
    if identity == state.identity or progress is None:
        return False
    heard_at_s = max(progress.heard_at_s, progress.added_at_s, state.leader_since_s)
    return now - heard_at_s >= state.settings.repair_after_s


def heard_recently(state: CoreState, identity: str, now: float) -> bool:
    """Return whether a member has answered within ``unreachable_after_s``."""
    progress = state.progress.get(identity)
    if progress is None:
        return False
    return now - progress.heard_at_s < state.settings.unreachable_after_s


def is_caught_up(state: CoreState, identity: str) -> bool:
    """Return whether a learner has synced all committed entries except for a short tail.

    The tail is at most ``promotion_lag_entries`` long or, for a group under load, at most what was
    committed within about an election timeout.
    """
    match_index = match_index_of(state, identity)
    if state.commit_index - match_index <= state.settings.promotion_lag_entries:
        return True
    oldest = state.commit_marks[0] if state.commit_marks else None
    return oldest is not None and match_index >= oldest.index > 0
