"""The volatile and durable state of one member, and the operations that all modules share."""

import random as random_module
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from rainsail.consensus.effects import Effects, Outgoing
from rainsail.consensus.log_window import LogWindow
from rainsail.consensus.membership import Membership
from rainsail.consensus.messages import GroupMessage
from rainsail.consensus.settings import ConsensusSettings
from rainsail.state.command_basics import GroupId
from rainsail.storage.interface import HardState, LogEntry
from rainsail.storage.snapshot_checksum import SnapshotChecksum

FOUNDING_INDEX = 1
"""The log's first entry: it names the founders with the identities that voted."""


class Role(StrEnum):
    """The role of a member in the consensus protocol."""

    EMPTY = "empty"
    """No membership is known: the member waits for the group's founding or to be added to it."""
    FOUNDER = "founder"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


ALLOWED_ROLE_CHANGES: dict[Role, tuple[Role, ...]] = {
    Role.EMPTY: (Role.FOUNDER, Role.FOLLOWER),
    Role.FOUNDER: (Role.EMPTY, Role.FOLLOWER, Role.LEADER),
    Role.FOLLOWER: (Role.PRE_CANDIDATE, Role.CANDIDATE),
    Role.PRE_CANDIDATE: (Role.FOLLOWER, Role.CANDIDATE),
    Role.CANDIDATE: (Role.FOLLOWER, Role.PRE_CANDIDATE, Role.LEADER),
    Role.LEADER: (Role.FOLLOWER,),
}


class ProgressMode(StrEnum):
    """How the leader replicates to a follower."""

    PROBE = "probe"
    """One append at a time, until the index at which the logs agree is known."""
    REPLICATE = "replicate"
    """Pipelined appends within the in-flight limit."""
    SNAPSHOT = "snapshot"
    """The follower needs entries that are already compacted, so it receives the snapshot."""


@dataclass(slots=True)
class Progress:
    """Replication progress of one follower. Times are on the leader's monotonic clock."""

    next_index: int
    match_index: int = 0
    match_round: int = 0
    """The leader's heartbeat round in which ``match_index`` was recorded."""
    mode: ProgressMode = ProgressMode.PROBE
    probe_sent: bool = False
    in_flight: deque[tuple[int, int]] = field(default_factory=deque)
    in_flight_bytes: int = 0
    snapshot_offset: int = 0
    acked_round: int = 0
    acked_sent_at_s: float = float("-inf")
    heard_at_s: float = float("-inf")
    added_at_s: float = float("-inf")

    def reset_in_flight(self) -> None:
        """Forget appends that were sent and not acknowledged."""
        self.in_flight.clear()
        self.in_flight_bytes = 0

    def acknowledge(self, index: int) -> None:
        """Free the in-flight bytes up to an index."""
        while self.in_flight and self.in_flight[0][0] <= index:
            self.in_flight_bytes -= self.in_flight.popleft()[1]


class WriteTracker:
    """Tracks which writes are synced: batches of writes are numbered and synced in order."""

    def __init__(self, last_index: int) -> None:
        self.sequence = 0
        self.synced_index = last_index
        self._waiting: deque[tuple[int, int]] = deque()

    def wrote(self, last_index: int) -> int:
        """Record a batch of writes after which the log ends at ``last_index``."""
        self.sequence += 1
        self._waiting.append((self.sequence, last_index))
        return self.sequence

    def truncated_from(self, index: int) -> None:
        """Count entries from ``index`` on as not synced."""
        self.synced_index = min(self.synced_index, index - 1)
        self._waiting = deque((at, min(last, index - 1)) for at, last in self._waiting)

    def synced(self, sequence: int) -> None:
        """Record that all batches up to a number are synced."""
        while self._waiting and self._waiting[0][0] <= sequence:
            self.synced_index = max(self.synced_index, self._waiting.popleft()[1])

    def restart_at(self, index: int) -> None:
        """Restart at an installed snapshot: the log durably ends at ``index``."""
        self.synced_index = index
        self._waiting = deque((at, index) for at, _ in self._waiting)

    def all_synced(self) -> bool:
        """Return whether no write is waiting for its sync."""
        return not self._waiting


@dataclass(frozen=True, slots=True)
class CommitMark:
    """A leader's commit index at the start of a heartbeat round, on its monotonic clock."""

    at_s: float
    index: int


@dataclass(slots=True)
class PendingRead:
    """A read barrier that waits for a quorum to confirm a heartbeat round."""

    request: int
    index: int
    round: int


@dataclass(frozen=True, slots=True)
class JoinCandidate:
    """An identity outside the group that has sent Hello under a replica's name."""

    identity: str
    heard_at_s: float


@dataclass(slots=True)
class IncomingSnapshot:
    """What has been received so far of a leader's snapshot.

    It comes as whole chunks, or in parts of these if ``in_parts``.
    """

    sender: str
    last_index: int
    last_term: int
    in_parts: bool = False
    offset: int = 0
    """The chunks or parts received."""
    chunks: list[bytes] = field(default_factory=list)
    received: SnapshotChecksum = field(default_factory=SnapshotChecksum)
    _unfinished: list[bytes] = field(default_factory=list)
    """The parts received of the chunk that follows ``chunks``."""

    def take(self, data: bytes, ends_chunk: bool = True) -> None:
        """Add the next chunk or part."""
        self.offset += 1
        self._unfinished.append(data)
        if not ends_chunk:
            return
        chunk = data if len(self._unfinished) == 1 else b"".join(self._unfinished)
        self._unfinished.clear()
        self.chunks.append(chunk)
        self.received = self.received.with_chunk(chunk)


class CoreState:
    """One member's consensus state. All times are seconds of the member's own monotonic clock."""

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
        """Build the state of a member whose process started at ``started_s`` (None: at ``now``).

        Any promise not to vote was made before that time, so the voting restriction after a
        restart is measured from it.
        """
        began_s = now if started_s is None else min(started_s, now)
        self.group = group
        self.replica = replica
        self.identity = identity
        self.bootstrap = bootstrap
        self.settings = settings
        self.random = random
        self.log = log
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.role = Role.FOLLOWER if log.membership.members else Role.EMPTY
        self.leader = ""
        self.leader_replica = ""
        self.commit_index = log.base_index
        self.writes = WriteTracker(log.last_index)
        self.effects = Effects()
        # A restarted member may have acknowledged a leader just before it stopped, so it
        # withholds its vote for a whole election timeout after its process started.
        was_used = bool(log.membership.members) or hard_state.term > 0
        self.heard_leader_at_s = began_s if was_used else float("-inf")
        self.election_deadline_s = now
        self.votes: dict[str, bool] = {}
        self.founding_votes: dict[str, str] = {}
        self.founding_refused = False
        self.group_exists = False
        self.founded_in_this_run = False
        """The group was founded since this process started, with this replica as a founder."""
        self.campaign_is_transfer = False
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.round_sent_at_s: dict[int, float] = {}
        self.commit_marks: deque[CommitMark] = deque()
        self.next_heartbeat_s = now
        self.leader_since_s = now
        self.term_start_index = 0
        self.transfer_target = ""
        self.transfer_deadline_s = 0.0
        self.transfer_sent = False
        self.reads: list[PendingRead] = []
        self.installing = False
        self.incoming: IncomingSnapshot | None = None
        self.snapshot_index = log.base_index
        self.join_candidates: dict[str, JoinCandidate] = {}
        self.contacts = tuple(name for name in bootstrap if name != replica)
        """Replicas that this member sends Hello to while it is outside the group."""
        self.target_voters = 0
        """Intended number of voters of an open group; 0 when only its founders may join."""
        self.leaving: frozenset[str] = frozenset()
        """Replicas that an open group removes once enough other voters hold its entries."""
        self.reset_election_deadline(began_s)

    @property
    def membership(self) -> Membership:
        """The latest membership in the log; it takes effect when it is appended."""
        return self.log.membership

    def change_role(self, role: Role) -> None:
        """Change the role; a change not in ``ALLOWED_ROLE_CHANGES`` is a programming error."""
        if role == self.role:
            return
        if role not in ALLOWED_ROLE_CHANGES[self.role]:
            raise AssertionError(f"role change from {self.role} to {role}")
        self.role = role

    def progress_of(self, identity: str) -> Progress:
        """Return a member's progress; a new member's starts at the end of the log."""
        progress = self.progress.get(identity)
        if progress is None:
            progress = Progress(next_index=self.log.last_index + 1)
            self.progress[identity] = progress
        return progress

    def reset_election_deadline(self, now: float) -> None:
        """Draw a randomised time at which this member campaigns unless it hears a leader."""
        timeout = self.settings.election_timeout_s
        spread = timeout * self.settings.election_timeout_spread
        self.election_deadline_s = now + timeout + self.random.random() * spread

    def send(self, replica: str, message: GroupMessage) -> None:
        """Queue a message that need not wait for a sync."""
        self.effects.messages.append(Outgoing(replica, message))

    def send_after_sync(self, replica: str, message: GroupMessage) -> None:
        """Queue a message that leaves once everything written so far is synced."""
        self.effects.after_sync.append(Outgoing(replica, message))

    def save_hard_state(self, term: int, voted_for: str) -> None:
        """Change the term and the vote; durable with the next sync."""
        self.term = term
        self.voted_for = voted_for
        self.effects.hard_state = HardState(term, voted_for)

    def append(self, entry: LogEntry) -> None:
        """Append to the log; durable with the next sync."""
        self.log.append(entry)
        self.effects.append.append(entry)
        if entry.index == FOUNDING_INDEX:
            # A replica that lost its disk has another identity than the entry names.
            self.founded_in_this_run = self.log.membership.find(self.identity) is not None

    def truncate_from(self, index: int) -> None:
        """Drop entries that conflict with a leader's log; committed entries are never dropped."""
        if index <= self.commit_index:
            raise AssertionError(f"truncation from {index} at commit {self.commit_index}")
        self.log.truncate_from(index)
        self.writes.truncated_from(index)
        self.effects.truncate_from = index

    def commit_to(self, index: int) -> None:
        """Raise the commit index."""
        if index > self.commit_index:
            self.commit_index = index
            self.effects.commit_index = index

    def take_effects(self) -> Effects:
        """Return the effects collected since the last call, with their writes numbered."""
        effects = self.effects
        self.effects = Effects()
        if effects.has_writes():
            effects.write_sequence = self.writes.wrote(self.log.last_index)
        return effects
