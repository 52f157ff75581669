"""Read barriers: served at once under the lease, else after a quorum confirms a round."""

from rainsail.consensus import append_sending, lease
from rainsail.consensus.core_state import CoreState, PendingRead, Role
from rainsail.consensus.effects import ReadReady


def request_read(state: CoreState, request: int, now: float) -> None:
    """Request an index that covers everything committed in the group up to now."""
    if state.role != Role.LEADER:
        state.effects.reads_failed.append(request)
        return
    if state.commit_index >= state.term_start_index and lease.holds_lease(state, now):
        state.effects.reads_ready.append(ReadReady(request, state.commit_index))
        return
    # Until an entry of this term is committed, the commit index may lag behind what an earlier
    # leader has committed; the first entry of the term covers all of that.
    index = max(state.commit_index, state.term_start_index)
    if state.reads and state.round_sent_at_s.get(state.round) == now:
        state.reads.append(PendingRead(request, index, state.round))
        return
    state.reads.append(PendingRead(request, index, state.round + 1))
    append_sending.begin_round(state, now)
