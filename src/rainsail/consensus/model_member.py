"""One member in the model check: the real core on a disk that can lose unsynced writes."""

import random as random_module
from collections import deque
from dataclasses import dataclass, field, replace

from rainsail.consensus.core import ConsensusCore
from rainsail.consensus.core_state import Role
from rainsail.consensus.effects import Effects, Outgoing, SnapshotInstall
from rainsail.consensus.log_window import LogWindow
from rainsail.consensus.membership import (
    EMPTY_MEMBERSHIP,
    encode_membership,
    membership_of_payload,
)
from rainsail.consensus.settings import ConsensusSettings
from rainsail.storage.interface import HardState, LogEntry, SnapshotMeta

GROUP = 0


@dataclass(slots=True)
class Write:
    """Writes of one input that wait for their sync, and the messages to send after it."""

    sequence: int
    truncate_from: int | None
    entries: list[LogEntry]
    hard_state: HardState | None
    messages: list[Outgoing] = field(default_factory=list)


@dataclass(slots=True)
class ModelDisk:
    """The durable contents of a member's disk."""

    identity: str
    hard_state: HardState = HardState(0, "")
    snapshot: SnapshotMeta | None = None
    entries: list[LogEntry] = field(default_factory=list)

    @property
    def base_index(self) -> int:
        """Return the last index covered by the snapshot, 0 without one."""
        return self.snapshot.last_index if self.snapshot is not None else 0

    def is_blank(self) -> bool:
        """Return whether the disk holds neither a snapshot nor entries."""
        return self.snapshot is None and not self.entries

    def write(self, write: Write) -> None:
        """Make one input's writes durable."""
        if write.truncate_from is not None:
            self.entries = [e for e in self.entries if e.index < write.truncate_from]
        self.entries += [e for e in write.entries if e.index > self.base_index]
        if write.hard_state is not None:
            self.hard_state = write.hard_state

    def save_snapshot(self, meta: SnapshotMeta) -> None:
        """Store a snapshot and drop the log up to it, or all of the log if it doesn't match."""
        if meta.last_index <= self.base_index:
            return
        at = [e for e in self.entries if e.index == meta.last_index]
        keeps = bool(at) and at[0].term == meta.last_term
        self.entries = [e for e in self.entries if keeps and e.index > meta.last_index]
        self.snapshot = meta

    def log(self) -> LogWindow:
        """Return the log as a restarted member reads it."""
        log = LogWindow()
        if self.snapshot is not None:
            membership = membership_of_payload(self.snapshot.membership) or EMPTY_MEMBERSHIP
            log = LogWindow(self.snapshot.last_index, self.snapshot.last_term, membership)
        for entry in self.entries:
            log.append(entry)
        return log


class ModelMember:
    """A replica: its name, its disk, its clock and, while it runs, its core."""

    def __init__(
        self,
        name: str,
        names: tuple[str, ...],
        settings: ConsensusSettings,
        random: random_module.Random,
        rate: float,
    ) -> None:
        self.name = name
        self.disk = ModelDisk(f"{name}.1")
        self.generation = 1
        self.core: ConsensusCore | None = None
        self.writes: deque[Write] = deque()
        self.install: SnapshotInstall | None = None
        self.reads: dict[int, int] = {}
        self.answered_leader_at_s = float("-inf")
        """When it last answered a leader, on its own clock; checked when it votes."""
        self._names = names
        self._settings = settings
        self._random = random
        self._rate = rate
        self._offset_s = random.random() * 1_000

    def now(self, time_s: float) -> float:
        """Return the member's own monotonic time at a real time."""
        return self._offset_s + time_s * self._rate

    def real_time(self, own_s: float) -> float:
        """Return the real time at which the member's clock shows ``own_s``."""
        return (own_s - self._offset_s) / self._rate

    def leads(self) -> bool:
        """Return whether the member runs and its core is in the leader role."""
        return self.core is not None and self.core.state.role == Role.LEADER

    def term(self) -> int:
        """Return the running member's term."""
        return self.core.state.term if self.core is not None else 0

    def start(self, time_s: float) -> None:
        """Start the process from the disk's contents."""
        self.core = ConsensusCore(
            GROUP,
            self.name,
            self.disk.identity,
            self._names,
            self._settings,
            self._random,
            self.disk.hard_state,
            self.disk.log(),
            self.now(time_s),
        )

    def crash(self) -> None:
        """Crash; a random prefix of the unsynced writes may have reached the disk."""
        survive = self._random.randint(0, len(self.writes)) if self._random.random() < 0.3 else 0
        for _ in range(survive):
            self.disk.write(self.writes.popleft())
        self.writes.clear()
        self.install = None
        self.reads.clear()
        self.core = None

    def lose_disk(self) -> None:
        """Crash and replace the disk by an empty one with a new identity."""
        self.crash()
        self.generation += 1
        self.disk = ModelDisk(f"{self.name}.{self.generation}")
        self.answered_leader_at_s = float("-inf")

    def queue_writes(self, effects: Effects) -> list[Outgoing]:
        """Queue the writes of an input; returns the messages that may be sent now."""
        if effects.has_writes():
            self.writes.append(
                Write(
                    effects.write_sequence,
                    effects.truncate_from,
                    effects.append,
                    effects.hard_state,
                )
            )
        if effects.after_sync and self.writes:
            self.writes[-1].messages += effects.after_sync
            return effects.messages
        return effects.messages + effects.after_sync

    def sync_next(self) -> tuple[int, list[Outgoing]]:
        """Sync some of the queued writes; returns the last sequence and the released messages."""
        count = self._random.randint(1, len(self.writes))
        messages: list[Outgoing] = []
        sequence = 0
        for _ in range(count):
            write = self.writes.popleft()
            self.disk.write(write)
            messages += write.messages
            sequence = write.sequence
        return sequence, messages

    def snapshot_at(self, index: int) -> SnapshotMeta:
        """Return the metadata of the member's snapshot at a committed index."""
        assert self.core is not None
        log = self.core.state.log
        term = log.term_at(index)
        assert term is not None
        return SnapshotMeta(index, term, encode_membership(log.membership_at(index)))

    def forget_writes_to(self, index: int) -> None:
        """Drop queued entries up to an index, which a snapshot covers."""
        for position, write in enumerate(self.writes):
            entries = [entry for entry in write.entries if entry.index > index]
            self.writes[position] = replace(write, entries=entries)
