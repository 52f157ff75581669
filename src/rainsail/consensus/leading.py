"""Becoming leader, after a won election or when founding a group."""

from rainsail.consensus import append_sending
from rainsail.consensus.core_state import FOUNDING_INDEX, CoreState, Progress, Role
from rainsail.consensus.membership import Membership, MemberSpec, encode_membership
from rainsail.state.command_basics import NoOperation
from rainsail.storage.interface import LogEntry
from rainsail.wire.codec import encode

NO_OPERATION_PAYLOAD = encode(NoOperation())


def become_leader(state: CoreState, now: float) -> None:
    """Lead the current term: append a no-op entry and start the first heartbeat round."""
    state.change_role(Role.LEADER)
    state.leader = state.identity
    state.leader_replica = state.replica
    state.leader_since_s = now
    state.round = 0
    state.round_sent_at_s.clear()
    state.transfer_target = ""
    state.reads.clear()
    state.progress = {
        member.identity: Progress(next_index=state.log.last_index + 1)
        for member in state.membership.members
        if member.identity != state.identity
    }
    state.term_start_index = state.log.last_index + 1
    state.append(LogEntry(state.term_start_index, state.term, NO_OPERATION_PAYLOAD))
    state.effects.leadership_won = True
    append_sending.begin_round(state, now)


def found_group(state: CoreState, now: float) -> None:
    """Found the group and lead it: entry 1 binds each replica name to the identity that voted."""
    members = [MemberSpec(name, state.founding_votes[name]) for name in state.bootstrap]
    payload = encode_membership(Membership(tuple(members)))
    state.append(LogEntry(FOUNDING_INDEX, state.term, payload))
    become_leader(state, now)
