"""The follower's side of appends: appending entries to its log and acknowledging them."""

from rainsail.consensus import following
from rainsail.consensus.core_state import CoreState, Role
from rainsail.consensus.messages import AppendReply, AppendRequest
from rainsail.storage.interface import LogEntry


def handle_append_request(
    state: CoreState, source: str, message: AppendRequest, now: float
) -> None:
    """Append entries that continue this log; acknowledge only synced entries."""
    if message.term < state.term:
        reply_append(state, source, message, accepted=False, match_index=0)
        return
    following.accept_leader(state, source, message.term, message.sender, now)
    if state.installing:
        reply_append(state, source, message, accepted=True, match_index=0)
        return
    if not previous_matches(state, message):
        reply_append(state, source, message, False, conflict_hint(state, message.previous_index))
        return
    for entry in message.entries:
        take_entry(state, entry)
    if state.role == Role.EMPTY and state.membership.members:
        state.change_role(Role.FOLLOWER)
    verified = message.previous_index + len(message.entries)
    state.commit_to(min(message.commit_index, verified))
    reply_append(state, source, message, True, verified)


def previous_matches(state: CoreState, message: AppendRequest) -> bool:
    """Return whether the entry before the new ones is in this log or covered by its snapshot."""
    if message.previous_index < state.log.base_index:
        return True
    return state.log.term_at(message.previous_index) == message.previous_term


def take_entry(state: CoreState, entry: LogEntry) -> None:
    """Append an entry unless present; a conflicting entry is truncated with all after it."""
    if entry.index <= state.log.base_index:
        return
    known = state.log.term_at(entry.index)
    if known == entry.term:
        return
    if known is not None:
        state.truncate_from(entry.index)
    state.append(entry)


def conflict_hint(state: CoreState, previous_index: int) -> int:
    """Return the last index at which this log and the leader's may agree."""
    if previous_index > state.log.last_index:
        return state.log.last_index
    term = state.log.term_at(previous_index)
    hint = previous_index - 1
    while hint > state.commit_index and state.log.term_at(hint) == term:
        hint -= 1
    return hint


def reply_append(
    state: CoreState, source: str, message: AppendRequest, accepted: bool, match_index: int
) -> None:
    """Reply to an append: to a heartbeat at once with the synced index, to entries after sync.

    A heartbeat reply doesn't wait for a running sync, so that a follower with a slow disk doesn't
    appear unreachable.
    """
    at_once = answers_at_once(state, message)
    if accepted and at_once:
        match_index = acknowledged_index(state, match_index)
    reply = AppendReply(
        state.group,
        state.term,
        state.identity,
        message.sender,
        accepted,
        message.previous_index,
        match_index,
        message.round,
    )
    if at_once:
        state.send(source, reply)
    else:
        state.send_after_sync(source, reply)


def answers_at_once(state: CoreState, message: AppendRequest) -> bool:
    """Return whether the reply need not wait for a sync: the append caused no writes."""
    return not message.entries and state.effects.hard_state is None


def acknowledged_index(state: CoreState, match_index: int) -> int:
    """Return the index up to which a verified log may be acknowledged without a further sync."""
    return min(match_index, state.writes.synced_index)
