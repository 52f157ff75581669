"""A group of real cores under random delivery, loss, crashes, cuts and clocks of unequal rate."""

import random as random_module
from dataclasses import dataclass, field

from rainsail.consensus import repair
from rainsail.consensus.core_state import Role
from rainsail.consensus.effects import Effects, Outgoing
from rainsail.consensus.membership import Membership, MemberSpec, encode_membership
from rainsail.consensus.messages import SnapshotChunk
from rainsail.consensus.model_member import GROUP, ModelMember
from rainsail.consensus.model_properties import SafetyProperties
from rainsail.consensus.settings import ConsensusSettings
from rainsail.storage.interface import HardState, LogEntry, SnapshotMeta

CLOCK_RATE_SPREAD = 0.05
"""Clocks run up to this share fast or slow: together just inside the default margin."""
SNAPSHOT_CHUNKS = 2
MEMBER_NAMES = "abcde"
MODEL_SETTINGS = ConsensusSettings(
    heartbeat_period_s=0.3,
    election_timeout_s=1.0,
    election_timeout_spread=0.8,
    max_batch_bytes=1,
    max_in_flight_bytes=40,
    retained_entries=2,
    caught_up_entries=3,
    promotion_lag_entries=1,
    unreachable_after_s=1.0,
    repair_after_s=1.5,
    hello_period_s=0.5,
)


@dataclass(frozen=True, slots=True)
class InFlight:
    """A message on its way."""

    source: str
    outgoing: Outgoing


@dataclass(slots=True)
class Coverage:
    """How often what the schedules are about has happened: a check of nothing proves nothing."""

    steps: int = 0
    deliveries: int = 0
    elections: int = 0
    commits: int = 0
    crashes: int = 0
    disk_losses: int = 0
    membership_changes: int = 0
    reads_answered: int = 0
    lease_checks: int = 0
    snapshots_installed: int = 0
    transfers: int = 0
    foundings: int = 0

    def add(self, other: "Coverage") -> None:
        """Add another schedule's counts."""
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


@dataclass(slots=True)
class ModelWorld:
    """The members, the messages between them, and the time."""

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
        """Return the members whose process runs."""
        return [member for member in self.members.values() if member.core is not None]

    def take(self, member: ModelMember, effects: Effects, commit_before: int) -> None:
        """Carry an input's effects out and hold them against the properties."""
        self._check(member, effects, commit_before)
        self.post(member, member.keep(effects))
        for order in effects.snapshot_orders:
            self._send_snapshot(member, order.replica, order.identity, order.offset, order.round)
        if effects.install is not None:
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

    def post(self, member: ModelMember, messages: list[Outgoing]) -> None:
        """Put messages on their way."""
        self.in_flight += [InFlight(member.name, outgoing) for outgoing in messages]

    def isolate(self, name: str) -> None:
        """Cut a member off from all others, both ways."""
        for other in self.members:
            if other != name:
                self.cuts[(name, other)] = None
                self.cuts[(other, name)] = None

    def lose_sent_by(self, name: str) -> None:
        """Drop what a member has sent and nobody has got yet."""
        self.in_flight = [message for message in self.in_flight if message.source != name]

    def _send_snapshot(
        self, member: ModelMember, replica: str, identity: str, offset: int, round: int
    ) -> None:
        meta = member.disk.snapshot
        if meta is None or member.core is None:
            return
        state = member.core.state
        offset = min(offset, SNAPSHOT_CHUNKS - 1)
        chunk = SnapshotChunk(
            GROUP,
            state.term,
            state.identity,
            identity,
            meta.last_index,
            meta.last_term,
            meta.membership,
            offset,
            b"",
            offset == SNAPSHOT_CHUNKS - 1,
            round,
        )
        self.post(member, [Outgoing(replica, chunk)])

    # --- inputs --------------------------------------------------------------------------

    def deliver(self, message: InFlight) -> None:
        """Hand a message to its target, if that runs and the link is whole."""
        member = self.members.get(message.outgoing.replica)
        if member is None or member.core is None:
            return
        if (message.source, member.name) in self.cuts:
            return
        self.coverage.deliveries += 1
        before = member.core.state.commit_index
        effects = member.core.receive(
            message.source, message.outgoing.message, member.now(self.time_s)
        )
        self.take(member, effects, before)

    def tick(self, member: ModelMember) -> None:
        """Let a member do what is due; a leader also takes the next step of a repair."""
        assert member.core is not None
        now = member.now(self.time_s)
        before = member.core.state.commit_index
        self.take(member, member.core.tick(now), before)
        membership = repair.next_membership(member.core.state, now)
        if membership is not None:
            self.change_membership(member, membership)

    def sync(self, member: ModelMember) -> None:
        """Complete a sync."""
        assert member.core is not None
        sequence, messages = member.sync_next()
        self.post(member, messages)
        before = member.core.state.commit_index
        self.take(member, member.core.synced(sequence, member.now(self.time_s)), before)

    def propose(self, member: ModelMember) -> None:
        """Propose one or two numbered payloads at a member."""
        assert member.core is not None
        payloads = []
        for _ in range(self.random.randint(1, 2)):
            self.next_payload += 1
            payloads.append(b"%08d" % self.next_payload)
        before = member.core.state.commit_index
        _, effects = member.core.propose(payloads, member.now(self.time_s))
        self.take(member, effects, before)

    def read(self, member: ModelMember) -> None:
        """Ask a member for a read barrier."""
        assert member.core is not None
        self.next_read += 1
        member.reads[self.next_read] = len(self.properties.committed)
        before = member.core.state.commit_index
        self.take(member, member.core.read(self.next_read, member.now(self.time_s)), before)

    def change_membership(self, member: ModelMember, membership: Membership) -> None:
        """Propose a membership at a member."""
        assert member.core is not None
        before = member.core.state.commit_index
        fault, effects = member.core.change_membership(membership, member.now(self.time_s))
        self.coverage.membership_changes += fault is None
        self.take(member, effects, before)

    def transfer(self, member: ModelMember) -> None:
        """Let a member hand leadership over."""
        assert member.core is not None
        before = member.core.state.commit_index
        begun, effects = member.core.transfer_leadership(member.now(self.time_s))
        self.coverage.transfers += begun
        self.take(member, effects, before)

    def take_snapshot(self, member: ModelMember) -> None:
        """Let a member snapshot what it has committed."""
        assert member.core is not None
        index = member.core.state.commit_index
        if index <= member.core.state.snapshot_index:
            return
        member.disk.save_snapshot(member.snapshot_at(index))
        member.forget_writes_to(index)
        before = member.core.state.commit_index
        self.take(member, member.core.snapshot_taken(index), before)

    def finish_install(self, member: ModelMember) -> None:
        """Complete the storing of a received snapshot."""
        assert member.core is not None and member.install is not None
        meta: SnapshotMeta = member.install.meta
        member.install = None
        member.disk.save_snapshot(meta)
        member.forget_writes_to(meta.last_index)
        self.coverage.snapshots_installed += 1
        before = meta.last_index
        self.take(member, member.core.snapshot_installed(meta, member.now(self.time_s)), before)


def founded_disk(member: ModelMember, membership: Membership, founder: str) -> None:
    """Give a member the disk of a group that was founded in term 1."""
    member.disk.hard_state = HardState(1, founder)
    member.disk.entries = [LogEntry(1, 1, encode_membership(membership))]


def new_world(random: random_module.Random, size: int) -> ModelWorld:
    """Build a group, mostly founded already."""
    names = tuple(MEMBER_NAMES[:size])
    members = {}
    for name in names:
        rate = 1 + random.uniform(-CLOCK_RATE_SPREAD, CLOCK_RATE_SPREAD)
        members[name] = ModelMember(name, names, MODEL_SETTINGS, random, rate)
    world = ModelWorld(members, random)
    if random.random() < 0.85:
        membership = Membership(
            tuple(MemberSpec(name, members[name].disk.identity) for name in names)
        )
        founding = encode_membership(membership)
        world.properties.entries[(1, 1)] = (founding, 0)
        world.properties.leaders[1] = members[names[0]].disk.identity
        for member in members.values():
            founded_disk(member, membership, members[names[0]].disk.identity)
    for member in members.values():
        member.start(0.0)
    return world
