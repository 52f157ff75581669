"""Open groups: who may join, and when a replica that is to leave hands its leadership over.

A group is open once it has a target of voters; it then takes in replicas that were not among its
founders. ``repair`` decides which of them become members. Pure decisions over ``CoreState``.
"""

from rainsail.consensus.core_state import CoreState, Role


def open_membership(state: CoreState, contacts: tuple[str, ...], target_voters: int) -> None:
    """Let replicas that were not founders join; ``contacts`` are those known by now."""
    state.target_voters = target_voters
    state.contacts = tuple(name for name in contacts if name != state.replica)


def accepts_messages_from(state: CoreState, replica: str) -> bool:
    """Tell whether an open group listens to a replica that was not among its founders."""
    if not state.target_voters:
        return False
    return replica in state.contacts or bool(state.membership.named(replica))


def should_hand_over(state: CoreState) -> bool:
    """Tell whether this member leads, is to leave, and the others are enough without it."""
    if state.replica not in state.leaving or state.role != Role.LEADER:
        return False
    return len(state.membership.voters()) > state.target_voters
