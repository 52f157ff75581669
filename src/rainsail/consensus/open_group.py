"""Open groups: which replicas may join, and when a leaving leader transfers its leadership.

A group is open once it has a target number of voters; replicas other than its founders may then
join. ``repair`` decides which of them become members. These functions do no I/O.
"""

from rainsail.consensus.core_state import CoreState, Role


def open_membership(state: CoreState, contacts: tuple[str, ...], target_voters: int) -> None:
    """Let replicas other than the founders join; ``contacts`` are the known replicas."""
    state.target_voters = target_voters
    state.contacts = tuple(name for name in contacts if name != state.replica)


def accepts_messages_from(state: CoreState, replica: str) -> bool:
    """Return whether an open group accepts messages from a replica that is not a founder."""
    if not state.target_voters:
        return False
    return replica in state.contacts or bool(state.membership.named(replica))


def should_transfer_leadership(state: CoreState) -> bool:
    """Return whether this member leads, is to leave, and enough other voters remain."""
    if state.replica not in state.leaving or state.role != Role.LEADER:
        return False
    return len(state.membership.voters()) > state.target_voters
