"""Replication: rounds, appends, acknowledgements, and what counts as committed."""

from rainsail.consensus import lease, reads, roles, snapshots
from rainsail.consensus.core_state import CoreState, Progress, ProgressMode, Role
from rainsail.consensus.effects import AcknowledgedLost
from rainsail.consensus.membership import MemberSpec
from rainsail.consensus.messages import AppendReply, AppendRequest
from rainsail.storage.interface import LogEntry


def begin_round(state: CoreState, now: float) -> None:
    """Start a heartbeat round: every follower gets an append, empty when it has everything."""
    state.round += 1
    state.round_sent_at_s[state.round] = now
    state.next_heartbeat_s = lease.next_beat_s(now, state.settings.heartbeat_period_s)
    lease.forget_old_rounds(state, now)
    lease.mark_commit(state, now)
    for member in state.membership.members:
        if member.identity != state.identity:
            send_append(state, member, heartbeat=True)
    reads.finish_confirmed(state)


def replicate(state: CoreState) -> None:
    """Send every follower what it lacks, within its in-flight limit."""
    for member in state.membership.members:
        if member.identity != state.identity:
            send_append(state, member, heartbeat=False)


def progress_of(state: CoreState, identity: str) -> Progress:
    """Return the progress of a member, new ones starting at the end of the log."""
    progress = state.progress.get(identity)
    if progress is None:
        progress = Progress(next_index=state.log.last_index + 1)
        state.progress[identity] = progress
    return progress


def send_append(state: CoreState, member: MemberSpec, heartbeat: bool) -> None:
    """Send one follower its next entries; an empty append only as a heartbeat."""
    progress = progress_of(state, member.identity)
    if progress.next_index <= state.log.base_index:
        snapshots.order_chunk(state, member, progress, heartbeat)
        return
    if progress.mode == ProgressMode.SNAPSHOT:
        progress.mode = ProgressMode.PROBE
        progress.probe_sent = False
    if heartbeat:
        progress.probe_sent = False
    sent_any = False
    while may_send(state, progress):
        entries = state.log.slice(progress.next_index, state.settings.max_batch_bytes)
        emit_append(state, member, progress, entries)
        note_sent(progress, entries)
        sent_any = True
    if heartbeat and not sent_any:
        emit_append(state, member, progress, ())


def may_send(state: CoreState, progress: Progress) -> bool:
    """Tell whether the follower lacks entries and may get more now."""
    if progress.next_index > state.log.last_index:
        return False
    if progress.mode == ProgressMode.PROBE:
        return not progress.probe_sent
    return progress.in_flight_bytes < state.settings.max_in_flight_bytes


def note_sent(progress: Progress, entries: tuple[LogEntry, ...]) -> None:
    """Account for entries on their way; a probing follower gets one append at a time."""
    if progress.mode == ProgressMode.PROBE:
        progress.probe_sent = True
        return
    size = sum(len(entry.payload) for entry in entries)
    progress.in_flight.append((entries[-1].index, size))
    progress.in_flight_bytes += size
    progress.next_index = entries[-1].index + 1


def emit_append(
    state: CoreState, member: MemberSpec, progress: Progress, entries: tuple[LogEntry, ...]
) -> None:
    """Send one append."""
    previous = progress.next_index - 1
    previous_term = state.log.term_at(previous)
    request = AppendRequest(
        state.group,
        state.term,
        state.identity,
        member.identity,
        previous,
        previous_term if previous_term is not None else 0,
        state.commit_index,
        state.round,
        entries,
    )
    state.send(member.replica, request)


# --- follower ----------------------------------------------------------------------------


def accept_leader(state: CoreState, source: str, term: int, sender: str, now: float) -> None:
    """Follow the sender of a current append or snapshot."""
    if term > state.term or state.role not in (Role.FOLLOWER, Role.EMPTY):
        roles.become_follower(state, term, now)
    state.leader = sender
    state.leader_replica = source
    state.heard_leader_at_s = now
    state.reset_election_deadline(now)


def handle_append_request(
    state: CoreState, source: str, message: AppendRequest, now: float
) -> None:
    """Take entries that continue this log; acknowledge only what is synced."""
    if message.term < state.term:
        reply_append(state, source, message, accepted=False, match_index=0)
        return
    accept_leader(state, source, message.term, message.sender, now)
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
    """Tell whether the entry before the new ones is in this log (or behind its snapshot)."""
    if message.previous_index < state.log.base_index:
        return True
    return state.log.term_at(message.previous_index) == message.previous_term


def take_entry(state: CoreState, entry: LogEntry) -> None:
    """Append an entry unless it is there; one of another term is overruled with all after it."""
    if entry.index <= state.log.base_index:
        return
    known = state.log.term_at(entry.index)
    if known == entry.term:
        return
    if known is not None:
        state.truncate_from(entry.index)
    state.append(entry)


def conflict_hint(state: CoreState, previous_index: int) -> int:
    """Return the last index at which the logs may still agree."""
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
    """Answer an append: a heartbeat at once, with what is synced, entries after their sync.

    A heartbeat doesn't wait for a sync under way: a slow disk must not look like a lost
    follower.
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
    """Tell whether the answer need not wait for the sync of what this append has brought."""
    return not message.entries and state.effects.hard_state is None


def acknowledged_index(state: CoreState, match_index: int) -> int:
    """Return how much of a verified log may be acknowledged without waiting for a sync."""
    return min(match_index, state.writes.synced_index)


# --- leader ------------------------------------------------------------------------------


def handle_append_reply(state: CoreState, message: AppendReply, now: float) -> None:
    """Note what a follower has, commit what a quorum has, and send it more."""
    if message.term > state.term:
        roles.become_follower(state, message.term, now)
        return
    if state.role != Role.LEADER or message.term != state.term:
        return
    member = state.membership.find(message.sender)
    if member is None:
        return
    progress = progress_of(state, member.identity)
    lease.note_acknowledged(state, progress, message.round, now)
    if message.accepted:
        note_match(state, progress, message.match_index)
        advance_commit(state)
    elif has_lost_acknowledged(progress, message):
        take_match_back(state, member, progress, message)
    else:
        note_refusal(progress, message)
    reads.finish_confirmed(state)
    send_append(state, member, heartbeat=False)


def note_match(state: CoreState, progress: Progress, match_index: int) -> None:
    """The follower holds, synced, everything up to an index."""
    if match_index > progress.match_index:
        progress.match_index = match_index
        progress.match_round = state.round
    progress.acknowledge(progress.match_index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    if progress.mode == ProgressMode.PROBE:
        progress.mode = ProgressMode.REPLICATE
        progress.probe_sent = False


def has_lost_acknowledged(progress: Progress, message: AppendReply) -> bool:
    """Tell whether a follower lacks what it had acknowledged as synced: its disk has lied.

    A refusal of a round before the acknowledgement was noted may just have come late.
    """
    return message.previous_index <= progress.match_index and message.round > progress.match_round


def take_match_back(
    state: CoreState, member: MemberSpec, progress: Progress, message: AppendReply
) -> None:
    """Count for no commit what the follower has lost, send it again, and have it reported."""
    lost = AcknowledgedLost(member.replica, message.match_index, progress.match_index)
    state.effects.acknowledged_lost.append(lost)
    progress.match_index = min(message.match_index, message.previous_index - 1)
    progress.match_round = state.round
    progress.next_index = progress.match_index + 1
    progress.mode = ProgressMode.PROBE
    progress.probe_sent = False
    progress.reset_in_flight()


def note_refusal(progress: Progress, message: AppendReply) -> None:
    """The follower lacks what the append builds on: go back, but never behind its match."""
    if message.previous_index <= progress.match_index:
        return
    if message.previous_index >= progress.next_index:
        return
    hint = min(message.match_index + 1, message.previous_index)
    progress.next_index = max(hint, progress.match_index + 1)
    progress.mode = ProgressMode.PROBE
    progress.probe_sent = False
    progress.reset_in_flight()


def match_index_of(state: CoreState, identity: str) -> int:
    """Return up to where a voter has synced, the leader itself included."""
    if identity == state.identity:
        return state.writes.synced_index
    progress = state.progress.get(identity)
    return progress.match_index if progress is not None else 0


def advance_commit(state: CoreState) -> None:
    """Commit what a majority of the voters has synced, counting only entries of this term."""
    synced = sorted(match_index_of(state, m.identity) for m in state.membership.voters())
    if not synced:
        return
    index = synced[len(synced) - state.membership.quorum()]
    if index > state.commit_index and counts_for_commit(state, index):
        state.commit_to(index)


def counts_for_commit(state: CoreState, index: int) -> bool:
    """Only an entry of the leader's own term commits, and with it all that precede it."""
    return state.log.term_at(index) == state.term
