"""The leader's sending of appends: heartbeat rounds and missing entries."""

from rainsail.consensus import confirmed_reads, lease, snapshot_sending
from rainsail.consensus.core_state import CoreState, Progress, ProgressMode
from rainsail.consensus.membership import MemberSpec
from rainsail.consensus.messages import AppendRequest
from rainsail.storage.interface import LogEntry


def begin_round(state: CoreState, now: float) -> None:
    """Start a heartbeat round: every follower gets an append, empty if it needs no entries."""
    state.round += 1
    state.round_sent_at_s[state.round] = now
    state.next_heartbeat_s = lease.next_aligned_heartbeat_s(now, state.settings.heartbeat_period_s)
    lease.forget_old_rounds(state, now)
    lease.mark_commit(state, now)
    for member in state.membership.members:
        if member.identity != state.identity:
            send_append(state, member, heartbeat=True)
    confirmed_reads.finish_confirmed(state)


def replicate(state: CoreState) -> None:
    """Send each follower its missing entries, within the in-flight limit."""
    for member in state.membership.members:
        if member.identity != state.identity:
            send_append(state, member, heartbeat=False)


def send_append(state: CoreState, member: MemberSpec, heartbeat: bool) -> None:
    """Send one follower its next entries or snapshot chunk; an empty append only as heartbeat."""
    progress = state.progress_of(member.identity)
    if progress.next_index <= state.log.base_index:
        snapshot_sending.order_chunk(state, member, progress, heartbeat)
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
    """Return whether the follower lacks entries and flow control allows another append."""
    if progress.next_index > state.log.last_index:
        return False
    if progress.mode == ProgressMode.PROBE:
        return not progress.probe_sent
    return progress.in_flight_bytes < state.settings.max_in_flight_bytes


def note_sent(progress: Progress, entries: tuple[LogEntry, ...]) -> None:
    """Account for sent entries; in probe mode only one append is outstanding."""
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
    """Send one append with the given entries."""
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
