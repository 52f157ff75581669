"""The consensus core of one member: each input returns ``Effects``; the core does no I/O.

Inputs are ticks, messages, proposals, reads, and the driver's reports of synced writes and stored
snapshots. ``now`` is always the member's own monotonic time in seconds.
"""

import random as random_module

from rainsail.consensus import (
    append_receiving,
    append_replies,
    append_sending,
    election,
    following,
    founding,
    lease,
    membership_change,
    reads,
    snapshot_sending,
    snapshots,
    transfer,
)
from rainsail.consensus.core_state import CoreState, Role
from rainsail.consensus.effects import Effects
from rainsail.consensus.log_window import LogWindow
from rainsail.consensus.membership import Membership
from rainsail.consensus.messages import (
    AppendReply,
    AppendRequest,
    FoundingVoteReply,
    FoundingVoteRequest,
    GroupMessage,
    Hello,
    PreVoteReply,
    PreVoteRequest,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from rainsail.consensus.settings import ConsensusSettings
from rainsail.consensus.snapshot_transfer_part import SnapshotTransferPart
from rainsail.errors import Fault
from rainsail.state.command_basics import GroupId
from rainsail.storage.interface import HardState, LogEntry, SnapshotMeta


def is_addressed(state: CoreState, message: GroupMessage) -> bool:
    """Return whether a message addresses this identity, not an earlier one of the same name."""
    return message.target in ("", state.identity)


class ConsensusCore:
    """Decides elections, replication, membership, leases and reads of one member."""

    def __init__(
        self,
        group: GroupId,
        replica: str,
        identity: str,
        bootstrap: tuple[str, ...],
        settings: ConsensusSettings,
        random: random_module.Random,
        hard_state: HardState,
        log: LogWindow,
        now: float,
        started_s: float | None = None,
    ) -> None:
        self.state = CoreState(
            group, replica, identity, bootstrap, settings, random, hard_state, log, now, started_s
        )

    def tick(self, now: float) -> Effects:
        """Run the timers that are due at ``now``: elections, heartbeats, founding, transfer."""
        state = self.state
        if state.role == Role.LEADER:
            self._tick_leader(now)
        elif now >= state.election_deadline_s:
            if state.membership.members:
                self._tick_campaign(now)
            elif not state.installing:
                founding.tick_empty(state, now)
        return state.take_effects()

    def _tick_leader(self, now: float) -> None:
        state = self.state
        if lease.has_lost_quorum(state, now):
            following.become_follower(state, state.term, now)
            return
        transfer.tick(state, now)
        if state.role == Role.LEADER and now >= state.next_heartbeat_s:
            append_sending.begin_round(state, now)

    def _tick_campaign(self, now: float) -> None:
        state = self.state
        if state.installing:
            state.reset_election_deadline(now)
            return
        if not state.membership.is_voter(state.identity):
            founding.send_hello(state)
        if state.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            following.become_follower(state, state.term, now)
        election.campaign(state, now)

    def next_wakeup_s(self) -> float:
        """Return when the next timer is due."""
        state = self.state
        if state.role != Role.LEADER:
            return state.election_deadline_s
        if state.transfer_target:
            return min(state.next_heartbeat_s, state.transfer_deadline_s)
        return state.next_heartbeat_s

    def receive(self, source: str, message: GroupMessage, now: float) -> Effects:
        """Handle a message; one that addresses another identity is only answered with Hello."""
        state = self.state
        if not is_addressed(state, message):
            if not isinstance(message, Hello):
                hello = Hello(state.group, 0, state.identity, message.sender, state.replica)
                state.send(source, hello)
            return state.take_effects()
        self._dispatch(source, message, now)
        if state.role == Role.LEADER:
            self._after_leader_input(now)
        return state.take_effects()

    def _dispatch(self, source: str, message: GroupMessage, now: float) -> None:
        state = self.state
        match message:
            case AppendRequest():
                append_receiving.handle_append_request(state, source, message, now)
            case AppendReply():
                append_replies.handle_append_reply(state, message, now)
            case PreVoteRequest():
                election.handle_pre_vote_request(state, source, message, now)
            case PreVoteReply():
                election.handle_pre_vote_reply(state, message, now)
            case VoteRequest():
                election.handle_vote_request(state, source, message, now)
            case VoteReply():
                election.handle_vote_reply(state, message, now)
            case SnapshotChunk() | SnapshotTransferPart():
                snapshots.handle_chunk(state, source, message, now)
            case SnapshotReply():
                snapshot_sending.handle_reply(state, message, now)
            case TimeoutNow():
                election.handle_timeout_now(state, message, now)
            case FoundingVoteRequest():
                founding.handle_request(state, source, message, now)
            case FoundingVoteReply():
                founding.handle_reply(state, message, now)
            case Hello():
                founding.handle_hello(state, source, message, now)

    def _after_leader_input(self, now: float) -> None:
        state = self.state
        if membership_change.is_removed(state):
            append_sending.begin_round(state, now)
            following.become_follower(state, state.term, now)
            return
        if state.transfer_target:
            transfer.continue_when_ready(state)

    def propose(self, payloads: list[bytes], now: float) -> tuple[int, Effects]:
        """Append entries of the current term; returns the first index.

        Returns 0 when this member is not the leader or is transferring its leadership.
        """
        state = self.state
        if state.role != Role.LEADER or state.transfer_target:
            return 0, state.take_effects()
        first = state.log.last_index + 1
        for offset, payload in enumerate(payloads):
            state.append(LogEntry(first + offset, state.term, payload))
        append_sending.replicate(state)
        return first, state.take_effects()

    def change_membership(self, membership: Membership, now: float) -> tuple[Fault | None, Effects]:
        """Append a single-step membership change, or return why it is refused now."""
        fault = membership_change.propose(self.state, membership, now)
        return fault, self.state.take_effects()

    def read(self, request: int, now: float) -> Effects:
        """Begin a read barrier; the effects of this or a later input complete or fail it."""
        reads.request_read(self.state, request, now)
        return self.state.take_effects()

    def transfer_leadership(self, now: float) -> tuple[bool, Effects]:
        """Begin a leadership transfer; False when this member can't or no target exists."""
        begun = transfer.begin(self.state, now)
        return begun, self.state.take_effects()

    def synced(self, sequence: int, now: float) -> Effects:
        """Record that all writes up to a sequence number are durable."""
        state = self.state
        state.writes.synced(sequence)
        if state.writes.all_synced():
            election.own_vote_synced(state, now)
            founding.own_vote_synced(state, now)
        if state.role == Role.LEADER:
            append_replies.advance_commit(state)
            self._after_leader_input(now)
        return state.take_effects()

    def snapshot_taken(self, index: int) -> Effects:
        """Record that a snapshot of this member's own state at an applied index is stored."""
        snapshots.taken(self.state, index)
        return self.state.take_effects()

    def snapshot_installed(self, meta: SnapshotMeta, now: float) -> Effects:
        """Record that a received snapshot is stored and the state machine restored from it."""
        snapshots.installed(self.state, meta, now)
        return self.state.take_effects()

    def holds_lease(self, now: float) -> bool:
        """Return whether this member leads and may answer reads without a quorum round."""
        return lease.holds_lease(self.state, now)
