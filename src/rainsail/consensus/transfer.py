"""Leadership transfer: stop taking proposals, bring the target up to date, let it campaign.

Once a transfer has begun, the leader doesn't use its read lease again in this term, because the
target's campaign asks voters to vote although they follow a live leader. If the target has not
taken over within an election timeout, the old leader steps down.
"""

from rainsail.consensus import following
from rainsail.consensus.core_state import CoreState, Role
from rainsail.consensus.messages import TimeoutNow


def begin(state: CoreState, now: float) -> bool:
    """Begin a transfer to the most advanced voter; False when not leading or without a target."""
    if state.role != Role.LEADER:
        return False
    if state.transfer_target:
        return True
    target = most_advanced_voter(state)
    if not target:
        return False
    state.transfer_target = target
    state.transfer_deadline_s = now + state.settings.election_timeout_s
    state.transfer_sent = False
    continue_when_ready(state)
    return True


def most_advanced_voter(state: CoreState) -> str:
    """Return the identity of the other voter with the highest match index, empty if none."""
    best = ""
    best_index = -1
    for member in state.membership.voters():
        progress = state.progress.get(member.identity)
        if progress is not None and progress.match_index > best_index:
            best = member.identity
            best_index = progress.match_index
    return best


def continue_when_ready(state: CoreState) -> None:
    """Send ``TimeoutNow`` to the target once it holds the whole log."""
    progress = state.progress.get(state.transfer_target)
    member = state.membership.find(state.transfer_target)
    if progress is None or member is None or state.transfer_sent:
        return
    if progress.match_index == state.log.last_index:
        state.transfer_sent = True
        state.send(
            member.replica,
            TimeoutNow(state.group, state.term, state.identity, member.identity),
        )


def tick(state: CoreState, now: float) -> None:
    """Step down when the target has not taken over before the deadline."""
    if state.transfer_target and now >= state.transfer_deadline_s:
        following.become_follower(state, state.term, now)
