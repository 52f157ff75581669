"""The status reply of a group: reachability, health and tolerated losses."""

from rainsail.consensus.append_replies import match_index_of
from rainsail.consensus.core_state import CoreState, Role
from rainsail.consensus.group_status import GroupHealth, GroupStatusReply, MemberStatus
from rainsail.consensus.membership import MemberSpec


def is_reachable(state: CoreState, member: MemberSpec, now: float) -> bool:
    """Return whether a member has answered recently.

    A follower knows this only of itself and its leader.
    """
    if member.identity == state.identity:
        return True
    if state.role != Role.LEADER:
        heard_recently = now - state.heard_leader_at_s < state.settings.unreachable_after_s
        return member.identity == state.leader and heard_recently
    progress = state.progress.get(member.identity)
    return progress is not None and now - progress.heard_at_s < state.settings.unreachable_after_s


def losses_borne(state: CoreState, now: float) -> int:
    """Return how many more voters may be lost while a healthy majority remains."""
    if state.role != Role.LEADER:
        return 0
    healthy = [member for member in state.membership.voters() if is_healthy(state, member, now)]
    return max(0, len(healthy) - state.membership.quorum())


def is_healthy(state: CoreState, member: MemberSpec, now: float) -> bool:
    """Return whether a member is reachable, kept its disk and has synced nearly everything."""
    if has_lost_disk(state, member):
        return False
    lag = state.commit_index - match_index_of(state, member.identity)
    return is_reachable(state, member, now) and lag <= state.settings.caught_up_entries


def has_lost_disk(state: CoreState, member: MemberSpec) -> bool:
    """Return whether a member's replica has sent Hello as another identity since it answered."""
    candidate = state.join_candidates.get(member.replica)
    progress = state.progress.get(member.identity)
    if candidate is None or progress is None or candidate.identity == member.identity:
        return False
    return candidate.heard_at_s > progress.heard_at_s


def health(state: CoreState, now: float) -> GroupHealth:
    """Return the group's health; only the leader can report anything but Degraded."""
    if state.role != Role.LEADER:
        return GroupHealth.DEGRADED
    members = state.membership.members
    if any(not member.voter for member in members):
        return GroupHealth.REPAIRING
    if len(members) > len({member.replica for member in members}):
        return GroupHealth.REPAIRING
    intended = max(len(state.bootstrap), 1)
    healthy = [member for member in members if is_healthy(state, member, now)]
    if len(healthy) >= intended:
        return GroupHealth.HEALTHY
    return GroupHealth.DEGRADED


def status_reply(
    state: CoreState, applied_index: int, revision: int, now: float
) -> GroupStatusReply:
    """Build this replica's status reply."""
    members = tuple(
        MemberStatus(
            member.replica,
            member.identity,
            member.voter,
            is_reachable(state, member, now),
            match_index_of(state, member.identity),
        )
        for member in state.membership.members
    )
    return GroupStatusReply(
        state.replica,
        state.leader_replica,
        state.term,
        state.commit_index,
        applied_index,
        revision,
        health(state, now),
        losses_borne(state, now),
        members,
    )
