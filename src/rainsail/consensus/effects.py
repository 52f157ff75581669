"""What the consensus core asks its driver to do after each input."""

from dataclasses import dataclass, field

from rainsail.consensus.messages import GroupMessage
from rainsail.storage.interface import HardState, LogEntry, SnapshotMeta
from rainsail.storage.snapshot_checksum import SnapshotChecksum


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message for a replica."""

    replica: str
    message: GroupMessage


@dataclass(frozen=True, slots=True)
class SnapshotOrder:
    """Send one chunk of the stored snapshot to a member."""

    replica: str
    identity: str
    offset: int
    round: int


@dataclass(frozen=True, slots=True)
class SnapshotInstall:
    """A snapshot received whole: store it, restore from it, then report it installed."""

    meta: SnapshotMeta
    chunks: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read barrier is passed once ``index`` is applied."""

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
    """The chunks gathered from a leader are not the snapshot that it told of."""

    replica: str
    last_index: int
    received: SnapshotChecksum
    told: SnapshotChecksum


@dataclass(slots=True)
class Effects:
    """The outcome of one input, in the order in which the driver must take it.

    The writes (truncate, append, hard state) are queued first; ``messages`` may go at once,
    ``after_sync`` only when every write queued so far is synced. ``commit_index`` is what may
    be applied. ``reads_failed`` lists barriers that end because leadership was lost.
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
        """Tell whether there is anything to store."""
        return bool(self.append) or self.truncate_from is not None or self.hard_state is not None
