"""A group's storage on a simulated disk, and a model of the valid states after a crash."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from expression import Ok, Result
from features.support.virtual_time import result_of
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from twisted.internet.defer import Deferred, succeed

from rainsail.simulation.clock import VirtualClock
from rainsail.simulation.disk import SimulatedDisk
from rainsail.simulation.disk_content import SimulatedDiskSettings
from rainsail.storage.group_storage import DurableGroupStorage, open_group_storage
from rainsail.storage.interface import HardState, LogEntry, SnapshotMeta
from rainsail.storage.settings import StorageSettings
from rainsail.storage.snapshot_checksum import verified_chunks

GROUP = 3
FOLDER = "group-3"
FIRST_SEGMENT = f"{FOLDER}/0000000001.log"
WAIT_TIMEOUT_S = 10.0
SYNC_LATENCY_S = 0.002
LOSE_UNSYNCED_WRITES = SimulatedDiskSettings(partial_write_share=0.0)

SCHEMAS = "test-schemas"
"""Schema fingerprint of the data folders in the features."""


@dataclass
class StorageRig:
    """A simulated disk, its clock and the storage opened on it."""

    disk_settings: SimulatedDiskSettings = LOSE_UNSYNCED_WRITES
    settings: StorageSettings = field(default_factory=StorageSettings)
    seed: int = 1
    storage: Any = None

    def __post_init__(self) -> None:
        self.clock = VirtualClock()
        self.disk = SimulatedDisk(self.clock, random.Random(self.seed), self.disk_settings)

    def wait(self, deferred: "Deferred[Any]") -> Any:
        """Run the clock until a Deferred fires and return its value."""
        return result_of(self.clock, deferred, WAIT_TIMEOUT_S)

    def try_open(self) -> Result[Any, Any]:
        """Open the storage and return the result."""
        result = self.wait(open_group_storage(self.disk, GROUP, self.settings))
        self.storage = result.ok if result.is_ok() else None
        return result

    def open(self) -> DurableGroupStorage:
        """Open the storage, which must succeed."""
        result = self.try_open()
        assert result.is_ok(), str(result.error)
        return self.storage

    def sync(self) -> None:
        """Sync, which must succeed."""
        result = self.wait(self.storage.sync())
        assert result.is_ok(), str(result.error)

    def append(self, count: int, term: int = 1, size: int = 20) -> None:
        """Queue entries whose payload contains index and term."""
        self.storage.append(make_entries(self.storage.last_index + 1, count, term, size))

    def found(self) -> tuple[LogEntry, ...]:
        """Return all entries of the log."""
        storage = self.storage
        if storage.last_index < storage.first_index:
            return ()
        return storage.entries(storage.first_index, storage.last_index, 10**9)


def make_entries(first: int, count: int, term: int = 1, size: int = 20) -> tuple[LogEntry, ...]:
    """Return entries whose payload contains index and term, padded to ``size`` bytes."""
    return tuple(
        LogEntry(index, term, f"{index}/{term}/".encode().ljust(size, b"."))
        for index in range(first, first + count)
    )


def snapshot_chunks(index: int) -> tuple[bytes, ...]:
    """Return the chunks of the test's snapshot at an index."""
    return tuple(f"state at {index}, part {part}".encode() * 20 for part in range(3))


@dataclass(frozen=True)
class LogState:
    """A state of the storage; ``base`` is the index before the first of ``entries``."""

    hard_state: HardState
    base: int
    entries: tuple[LogEntry, ...]

    def after(self, index: int) -> tuple[LogEntry, ...]:
        """Return the entries after an index."""
        return tuple(entry for entry in self.entries if entry.index > index)

    @property
    def last_index(self) -> int:
        """The last index covered."""
        return self.base + len(self.entries)


class CrashMachine(RuleBasedStateMachine):
    """Random calls and crashes; after a crash the storage must be in a state since the last sync.

    ``states[durable]`` is the newest state that a successful sync covers.
    """

    DISK_SETTINGS = SimulatedDiskSettings(
        sync_latency_s=SYNC_LATENCY_S, partial_write_share=0.8, hole_share=0.5
    )
    SETTINGS = StorageSettings(segment_bytes=300, cache_bytes=100, retained_entries=2)

    def __init__(self) -> None:
        super().__init__()
        self.states = [LogState(HardState(0, ""), 0, ())]
        self.durable = 0
        self.snapshot: SnapshotMeta | None = None
        self.offered: SnapshotMeta | None = None
        self.term = 1

    @initialize(seed=strategies.integers(0, 10**6))
    def start(self, seed: int) -> None:
        """Open an empty storage on a disk with its own random decisions."""
        self.rig = StorageRig(self.DISK_SETTINGS, self.SETTINGS, seed)
        self.prepare()
        self.rig.open()

    def prepare(self) -> None:
        """Hook for subclasses that inject a defect into the disk."""

    @property
    def storage(self) -> Any:
        """The open storage."""
        return self.rig.storage

    @rule(count=strategies.integers(1, 4), size=strategies.integers(0, 60))
    def append(self, count: int, size: int) -> None:
        """Queue entries."""
        state = self.states[-1]
        for entry in make_entries(state.last_index + 1, count, self.term, size):
            self.storage.append((entry,))
            state = LogState(state.hard_state, state.base, (*state.entries, entry))
            self.states.append(state)

    @rule(back=strategies.integers(0, 5))
    def truncate(self, back: int) -> None:
        """Queue the removal of a suffix that lies after the snapshot."""
        state = self.states[-1]
        first = max(self._committed() + 1, state.last_index - back)
        if first > state.last_index:
            return
        self.storage.truncate_from(first)
        self.term += 1
        kept = state.entries[: first - state.base - 1]
        self.states.append(LogState(state.hard_state, state.base, kept))

    @rule()
    def vote(self) -> None:
        """Queue a hard state."""
        self.term += 1
        state = self.states[-1]
        hard_state = HardState(self.term, f"replica-{self.term}")
        self.storage.save_hard_state(hard_state)
        self.states.append(LogState(hard_state, state.base, state.entries))

    @rule()
    def sync(self) -> None:
        """Request a sync; a successful answer makes the current state durable."""
        covered = len(self.states) - 1
        self.storage.sync().addCallback(self._synced, self.rig.disk.process, covered)

    def _synced(self, result: Result[Any, Any], process: int, covered: int) -> None:
        if process == self.rig.disk.process and result.is_ok():
            self.durable = max(self.durable, covered)

    @rule(milliseconds=strategies.integers(1, 12))
    def advance(self, milliseconds: int) -> None:
        """Let time pass."""
        self.rig.clock.advance(milliseconds / 1000)

    def _committed(self) -> int:
        """Return the index up to which the log must not change."""
        metas = [meta for meta in (self.snapshot, self.offered) if meta is not None]
        return max([self.states[-1].base, *(meta.last_index for meta in metas)])

    @precondition(lambda self: self.offered is None)
    @rule(back=strategies.integers(0, 3), milliseconds=strategies.integers(0, 12))
    def save_snapshot(self, back: int, milliseconds: int) -> None:
        """Save a snapshot of an entry that is in the log."""
        state = self.states[-1]
        index = state.last_index - back
        if index <= self._committed():
            return
        self._offer(SnapshotMeta(index, self.storage.term_at(index), b"members"), milliseconds)

    @precondition(lambda self: self.offered is None)
    @rule(ahead=strategies.integers(1, 4), milliseconds=strategies.integers(0, 12))
    def install_snapshot(self, ahead: int, milliseconds: int) -> None:
        """Save a snapshot received from a leader that is ahead of the log."""
        state = self.states[-1]
        self.term += 1
        meta = SnapshotMeta(state.last_index + ahead, self.term, b"members")
        self._offer(meta, milliseconds)
        if self.offered is not None:
            self.crash()
            return
        self.states.append(LogState(state.hard_state, meta.last_index, ()))
        self.durable = len(self.states) - 1

    def _offer(self, meta: SnapshotMeta, milliseconds: int) -> None:
        self.offered = meta
        chunks = iter(snapshot_chunks(meta.last_index))
        saved = self.storage.save_snapshot(meta, chunks)
        saved.addCallback(self._saved, self.rig.disk.process, meta)
        self.rig.clock.advance(milliseconds / 1000)

    def _saved(self, result: Result[Any, Any], process: int, meta: SnapshotMeta) -> None:
        if process == self.rig.disk.process and result.is_ok():
            self.snapshot = meta
            self.offered = None

    @rule()
    def crash(self) -> None:
        """Cut the power, reopen the storage and check it."""
        self.rig.disk.crash()
        self._check()

    @rule(count=strategies.integers(1, 4), size=strategies.integers(20, 60))
    def crash_under_way(self, count: int, size: int) -> None:
        """Cut the power while a batch is being synced."""
        self.append(count, size)
        self.sync()
        self.rig.clock.advance(SYNC_LATENCY_S / 2)
        self.crash()

    @rule()
    def kill(self) -> None:
        """Kill the process without losing the page cache, reopen the storage and check it."""
        self.rig.disk.kill()
        self._check()

    def _check(self) -> None:
        storage = self.rig.open()
        meta = storage.snapshot_meta
        assert meta in (self.snapshot, self.offered), (meta, self.snapshot, self.offered)
        if meta is not None:
            assert tuple(verified_chunks(storage.read_snapshot())) == snapshot_chunks(
                meta.last_index
            )
        covered = meta.last_index if meta else 0
        found = LogState(storage.hard_state, covered, self._entries_after(covered))
        assert any(self._matches(state, found) for state in self._candidates(meta)), found
        self.snapshot = meta
        self.offered = None
        self.states = [found]
        self.durable = 0

    def _entries_after(self, index: int) -> tuple[LogEntry, ...]:
        return tuple(entry for entry in self.rig.found() if entry.index > index)

    def _candidates(self, meta: SnapshotMeta | None) -> Iterator[LogState]:
        """Yield the valid states after a crash."""
        for state in self.states[self.durable :]:
            yield state
            if meta is not None and meta == self.offered and meta.last_index > state.last_index:
                yield LogState(state.hard_state, meta.last_index, ())

    @staticmethod
    def _matches(state: LogState, found: LogState) -> bool:
        if state.last_index < found.base:
            return False
        same_entries = state.after(found.base) == found.entries
        return state.hard_state == found.hard_state and same_entries


class LyingSyncMachine(CrashMachine):
    """Injected defect: the disk acknowledges syncs without making anything durable."""

    def prepare(self) -> None:
        """Make syncs ineffective."""
        self.rig.disk.sync_lies = True


class AckBeforeSyncMachine(CrashMachine):
    """Injected defect: a sync is acknowledged before the disk has answered."""

    @rule()
    def sync(self) -> None:
        """Count a sync as successful at once."""
        self.storage.sync()
        self.durable = len(self.states) - 1


class LyingFolderSyncMachine(CrashMachine):
    """Injected defect: folder syncs do nothing, so renames and creations are not durable."""

    def prepare(self) -> None:
        """Make folder syncs ineffective."""
        self.rig.disk.sync_folder = lambda folder: succeed(Ok(None))
