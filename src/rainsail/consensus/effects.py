"""The effects that the consensus core returns to its driver after each input."""

from dataclasses import dataclass, field

from rainsail.consensus.messages import GroupMessage
from rainsail.storage.interface import HardState, LogEntry, SnapshotMeta
from rainsail.storage.snapshot_checksum import SnapshotChecksum


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to send to a replica."""

    replica: str
    message: GroupMessage


@dataclass(frozen=True, slots=True)
class SnapshotOrder:
    """An instruction to send one chunk of the stored snapshot to a member."""

    replica: str
    identity: str
    offset: int
    round: int


@dataclass(frozen=True, slots=True)
class SnapshotInstall:
    """A completely received snapshot: store it, restore from it, then report it installed."""

    meta: SnapshotMeta
    chunks: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read barrier that completes once ``index`` is applied."""

    request: int
    index: int


@dataclass(frozen=True, slots=True)
class AcknowledgedLost:
    """A follower no longer holds entries that it had acknowledged as synced."""

    replica: str
    holds_index: int
    acknowledged_index: int


@dataclass(frozen=True, slots=True)
class SnapshotRefused:
    """The chunks received from a leader don't match the checksum that it sent with them."""

    replica: str
    last_index: int
    received: SnapshotChecksum
    expected: SnapshotChecksum


@dataclass(slots=True)
class Effects:
    """The effects of one input, in the order in which the driver must carry them out.

    The writes (truncate, append, hard state) are queued first. ``messages`` may be sent at once,
    ``after_sync`` only after every write queued so far is synced. Entries up to ``commit_index``
    may be applied. ``reads_failed`` lists barriers that fail because this member doesn't lead.
    """

    truncate_from: int | None = None
    append: list[LogEntry] = field(default_factory=list)
    hard_state: HardState | None = None
    write_sequence: int = 0
    messages: list[Outgoing] = field(default_factory=list)
    after_sync: list[Outgoing] = field(default_factory=list)
    snapshot_orders: list[SnapshotOrder] = field(default_factory=list)
    install: SnapshotInstall | None = None
    commit_index: int = 0
    reads_ready: list[ReadReady] = field(default_factory=list)
    reads_failed: list[int] = field(default_factory=list)
    leadership_lost: bool = False
    leadership_won: bool = False
    acknowledged_lost: list[AcknowledgedLost] = field(default_factory=list)
    snapshot_refused: SnapshotRefused | None = None

    def has_writes(self) -> bool:
        """Return whether there is anything to store."""
        return bool(self.append) or self.truncate_from is not None or self.hard_state is not None
