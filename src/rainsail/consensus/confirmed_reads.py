"""Completion of read barriers for which a quorum has confirmed that this member still leads."""

from rainsail.consensus import lease
from rainsail.consensus.core_state import CoreState
from rainsail.consensus.effects import ReadReady


def finish_confirmed(state: CoreState) -> None:
    """Complete the barriers whose round a quorum has answered."""
    if not state.reads:
        return
    confirmed = lease.quorum_round(state)
    waiting = []
    for read in state.reads:
        if read.round <= confirmed:
            state.effects.reads_ready.append(ReadReady(read.request, read.index))
        else:
            waiting.append(read)
    state.reads = waiting
