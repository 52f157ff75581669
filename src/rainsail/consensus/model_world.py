"""A group of real cores under random delivery, loss, crashes, link cuts and clock rates."""

import random as random_module
from dataclasses import dataclass, field

from rainsail.consensus import repair
from rainsail.consensus.core_state import Role
from rainsail.consensus.effects import Effects, Outgoing, SnapshotInstall
from rainsail.consensus.membership import Membership
from rainsail.consensus.messages import (
    AppendRequest,
    GroupMessage,
    SnapshotChunk,
    VoteRequest,
)
from rainsail.consensus.model_coverage import Coverage
from rainsail.consensus.model_member import GROUP, ModelMember
from rainsail.consensus.model_properties import SafetyProperties
from rainsail.storage.interface import SnapshotMeta
from rainsail.storage.snapshot_checksum import SnapshotChecksum, SnapshotPiece

SNAPSHOT_CHUNKS = 2
READ_FAILURE_PROBABILITY = 0.1
"""Probability that a leader can't read a chunk of its snapshot."""
EARLY_END_PROBABILITY = 0.05
"""Probability that a leader sends the checksum of its snapshot too early, instead of a chunk."""


def snapshot_chunks(last_index: int) -> tuple[bytes, ...]:
    """Return the chunks of the snapshot at an index."""
    return tuple(b"%d/%d" % (last_index, number) for number in range(SNAPSHOT_CHUNKS))


def snapshot_sum(last_index: int) -> SnapshotChecksum:
    """Return the checksum of the snapshot at an index."""
    total = SnapshotChecksum()
    for chunk in snapshot_chunks(last_index):
        total = total.with_chunk(chunk)
    return total


@dataclass(frozen=True, slots=True)
class InFlight:
    """A message in flight."""

    source: str
    outgoing: Outgoing


@dataclass(slots=True)
class ModelWorld:
    """The members, the messages in flight, the link cuts, and the time."""

    members: dict[str, ModelMember]
    random: random_module.Random
    time_s: float = 0.0
    in_flight: list[InFlight] = field(default_factory=list)
    cuts: dict[tuple[str, str], None] = field(default_factory=dict)
    properties: SafetyProperties = field(default_factory=SafetyProperties)
    coverage: Coverage = field(default_factory=Coverage)
    next_payload: int = 0
    next_read: int = 0

    # --- taking effects ------------------------------------------------------------------

    def running(self) -> list[ModelMember]:
        """Return the members whose process is running."""
        return [member for member in self.members.values() if member.core is not None]

    def take(self, member: ModelMember, effects: Effects, commit_before: int) -> None:
        """Carry out an input's effects and check them against the properties."""
        self._check(member, effects, commit_before)
        self.post(member, member.queue_writes(effects))
        for order in effects.snapshot_orders:
            self._send_snapshot(member, order.replica, order.identity, order.offset, order.round)
        if effects.install is not None:
            self._check_install(member, effects.install)
            member.install = effects.install
        for ready in effects.reads_ready:
            needed = member.reads.pop(ready.request)
            self.coverage.reads_answered += 1
            assert member.core is not None
            self.properties.read_answered(member.name, ready.index, needed)
        for request in effects.reads_failed:
            member.reads.pop(request)

    def _check(self, member: ModelMember, effects: Effects, commit_before: int) -> None:
        assert member.core is not None
        state = member.core.state
        for entry in effects.append:
            previous = state.log.term_at(entry.index - 1)
            if previous is not None:
                self.properties.appended(entry, previous)
        if effects.leadership_won:
            self.coverage.elections += 1
            self.coverage.transfers_won += state.campaign_is_transfer
            self.coverage.foundings += any(entry.index == 1 for entry in effects.append)
            self.properties.became_leader(state)
        if effects.commit_index and self.properties.committed_to(state, commit_before):
            self.coverage.commits += 1
            for other in self.running():
                self._check_lease(other)
        self._check_lease(member)
        self._check_acknowledged(effects)

    def _check_acknowledged(self, effects: Effects) -> None:
        for lost in effects.acknowledged_lost:
            self.properties.acknowledged_lost(
                lost.replica, lost.holds_index, lost.acknowledged_index
            )

    def _check_lease(self, member: ModelMember) -> None:
        assert member.core is not None
        if member.core.state.role == Role.LEADER:
            self.coverage.lease_checks += 1
            self.properties.would_answer_reads(member.core, member.now(self.time_s))

    def _check_install(self, member: ModelMember, install: SnapshotInstall) -> None:
        expected = snapshot_chunks(install.meta.last_index)
        self.properties.installs(member.name, install.chunks, expected)

    def post(self, member: ModelMember, messages: list[Outgoing]) -> None:
        """Put a member's messages in flight."""
        self.in_flight += [InFlight(member.name, outgoing) for outgoing in messages]

    def isolate(self, name: str) -> None:
        """Cut the links between a member and all others, in both directions."""
        for other in self.members:
            if other != name:
                self.cuts[(name, other)] = None
                self.cuts[(other, name)] = None

    def lose_sent_by(self, name: str) -> None:
        """Drop the messages in flight that a member has sent."""
        self.in_flight = [message for message in self.in_flight if message.source != name]

    def _send_snapshot(
        self, member: ModelMember, replica: str, identity: str, offset: int, round: int
    ) -> None:
        meta = member.disk.snapshot
        if meta is None or member.core is None:
            return
        state = member.core.state
        offset = min(offset, SNAPSHOT_CHUNKS)
        piece = self._read_piece(meta.last_index, offset)
        chunk = SnapshotChunk(
            GROUP,
            state.term,
            state.identity,
            identity,
            meta.last_index,
            meta.last_term,
            meta.membership,
            offset,
            piece if isinstance(piece, bytes) else None,
            piece if isinstance(piece, SnapshotChecksum) else None,
            round,
        )
        self.post(member, [Outgoing(replica, chunk)])

    def _read_piece(self, last_index: int, offset: int) -> SnapshotPiece | None:
        """Return a piece of a snapshot; at random none, or the checksum too early."""
        drawn = self.random.random()
        if drawn < READ_FAILURE_PROBABILITY:
            self.coverage.readings_failed += 1
            return None
        ends = offset == SNAPSHOT_CHUNKS
        early = not ends and drawn < READ_FAILURE_PROBABILITY + EARLY_END_PROBABILITY
        self.coverage.early_ends += early
        if ends or early:
            return snapshot_sum(last_index)
        return snapshot_chunks(last_index)[offset]

    # --- inputs --------------------------------------------------------------------------

    def deliver(self, message: InFlight) -> None:
        """Deliver a message to its target if that runs and the link is not cut."""
        member = self.members.get(message.outgoing.replica)
        if member is None or member.core is None:
            return
        if (message.source, member.name) in self.cuts:
            return
        self.coverage.deliveries += 1
        state = member.core.state
        before = state.commit_index
        vote_before = (state.term, state.voted_for)
        now = member.now(self.time_s)
        effects = member.core.receive(message.source, message.outgoing.message, now)
        self._check_vote_withheld(member, message.outgoing.message, vote_before, now)
        self.take(member, effects, before)

    def _check_vote_withheld(
        self, member: ModelMember, message: GroupMessage, vote_before: tuple[int, str], now: float
    ) -> None:
        """Check that a vote doesn't break the lease of a leader that the member has answered."""
        assert member.core is not None
        state = member.core.state
        if isinstance(message, AppendRequest | SnapshotChunk) and message.term == state.term:
            member.answered_leader_at_s = now
        if not isinstance(message, VoteRequest) or message.transfer:
            return
        if state.voted_for == message.sender and vote_before != (state.term, state.voted_for):
            self.properties.voted(state, now - member.answered_leader_at_s)

    def tick(self, member: ModelMember) -> None:
        """Run a member's due timers; a leader also takes the next step of a repair."""
        assert member.core is not None
        now = member.now(self.time_s)
        before = member.core.state.commit_index
        self.take(member, member.core.tick(now), before)
        membership = repair.next_membership(member.core.state, now)
        if membership is not None:
            self.change_membership(member, membership)

    def sync(self, member: ModelMember) -> None:
        """Complete a sync of some of a member's queued writes."""
        assert member.core is not None
        sequence, messages = member.sync_next()
        self.post(member, messages)
        before = member.core.state.commit_index
        self.take(member, member.core.synced(sequence, member.now(self.time_s)), before)

    def propose(self, member: ModelMember) -> None:
        """Propose one or two numbered payloads to a member."""
        assert member.core is not None
        payloads = []
        for _ in range(self.random.randint(1, 2)):
            self.next_payload += 1
            payloads.append(b"%08d" % self.next_payload)
        before = member.core.state.commit_index
        _, effects = member.core.propose(payloads, member.now(self.time_s))
        self.take(member, effects, before)

    def read(self, member: ModelMember) -> None:
        """Request a read barrier from a member."""
        assert member.core is not None
        self.next_read += 1
        member.reads[self.next_read] = len(self.properties.committed)
        before = member.core.state.commit_index
        self.take(member, member.core.read(self.next_read, member.now(self.time_s)), before)

    def change_membership(self, member: ModelMember, membership: Membership) -> None:
        """Propose a membership to a member."""
        assert member.core is not None
        old = member.core.state.membership
        before = member.core.state.commit_index
        fault, effects = member.core.change_membership(membership, member.now(self.time_s))
        if fault is None:
            self._note_change(old, membership)
        self.take(member, effects, before)

    def _note_change(self, old: Membership, new: Membership) -> None:
        coverage = self.coverage
        coverage.membership_changes += 1
        coverage.promotions += len(new.voters()) > len(old.voters())
        gone = [member for member in old.voters() if new.find(member.identity) is None]
        coverage.repairs_finished += any(new.named(member.replica) for member in gone)

    def in_change(self) -> bool:
        """Return whether any running member holds a membership that it has not committed."""
        cores = [member.core for member in self.running() if member.core is not None]
        return any(core.state.commit_index < core.state.log.membership_index for core in cores)

    def transfer(self, member: ModelMember) -> None:
        """Have a member transfer its leadership."""
        assert member.core is not None
        before = member.core.state.commit_index
        begun, effects = member.core.transfer_leadership(member.now(self.time_s))
        self.coverage.transfers += begun
        self.take(member, effects, before)

    def take_snapshot(self, member: ModelMember) -> None:
        """Have a member take a snapshot at its commit index."""
        assert member.core is not None
        index = member.core.state.commit_index
        if index <= member.core.state.snapshot_index:
            return
        member.disk.save_snapshot(member.snapshot_at(index))
        member.forget_writes_to(index)
        before = member.core.state.commit_index
        self.take(member, member.core.snapshot_taken(index), before)

    def finish_install(self, member: ModelMember) -> None:
        """Complete the installation of a received snapshot."""
        assert member.core is not None and member.install is not None
        meta: SnapshotMeta = member.install.meta
        member.install = None
        member.disk.save_snapshot(meta)
        member.forget_writes_to(meta.last_index)
        self.coverage.snapshots_installed += 1
        self.coverage.installs_in_change += self.in_change()
        before = meta.last_index
        self.take(member, member.core.snapshot_installed(meta, member.now(self.time_s)), before)
