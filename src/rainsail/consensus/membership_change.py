"""Membership changes: one voter at a time, as log entries that take effect when appended."""

from rainsail.consensus import append_sending
from rainsail.consensus.core_state import CoreState, Role
from rainsail.consensus.membership import Membership, encode_membership
from rainsail.errors import Fault, FaultCode
from rainsail.storage.interface import LogEntry

STEP = "consensus.change_membership"


def propose(state: CoreState, membership: Membership, now: float) -> Fault | None:
    """Append a new membership, or return why it may not be appended now."""
    fault = refusal(state, membership)
    if fault is not None:
        return fault
    payload = encode_membership(membership)
    state.append(LogEntry(state.log.last_index + 1, state.term, payload))
    for identity in list(state.progress):
        if membership.find(identity) is None:
            del state.progress[identity]
    for member in membership.members:
        if member.identity != state.identity and member.identity not in state.progress:
            state.progress_of(member.identity).added_at_s = now
    append_sending.replicate(state)
    return None


def refusal(state: CoreState, membership: Membership) -> Fault | None:
    """Return why a membership may not be proposed now, or None."""
    if state.role != Role.LEADER or state.transfer_target:
        return Fault(FaultCode.NOT_LEADER, STEP, "not the leader", state.leader_replica)
    if not may_change(state):
        return Fault(FaultCode.CONFLICT, STEP, "an earlier change or this term is not committed")
    if not state.membership.is_single_step_to(membership):
        return Fault(FaultCode.INVALID, STEP, "more than one voter differs")
    return None


def may_change(state: CoreState) -> bool:
    """Return whether the last change and an entry of this term are committed.

    Without a committed entry of this term, two leaders could each change one voter of the same
    old membership and end up with quorums that don't overlap.
    """
    return (
        state.commit_index >= state.log.membership_index
        and state.commit_index >= state.term_start_index
    )


def is_removed(state: CoreState) -> bool:
    """Return whether a committed change has removed this member from the voters."""
    if state.commit_index < state.log.membership_index:
        return False
    return not state.membership.is_voter(state.identity)
