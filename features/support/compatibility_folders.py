"""Data folders that were written once, are kept as bytes and must be read by every later version.

``write_data_folders`` wrote those under ``features/compatibility/data/folders``. A version that
stores something new adds a folder of another name there; the old ones stay as they are. To write
into a folder, from the root of the repository::

    python -c "import sys; from pathlib import Path; from features.support.compatibility_folders \
        import write_data_folders; write_data_folders(Path(sys.argv[1]))" TARGET
"""

import random
import shutil
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from features.support.compatibility_commands import (
    Apply,
    apply_fleet_commands,
    apply_ledger_commands,
    apply_relayed_job_commands,
    apply_root_commands,
)
from features.support.local_storage import RealFolder
from features.support.storage import StorageRig

from rainsail.cluster.committed_copy import CommittedCopies
from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.messages import RunnerRecord, RunnerState
from rainsail.cluster.runner_journal import RunnerJournal
from rainsail.cluster.runner_version_file import RunnerVersionFile
from rainsail.cluster.runner_versions import RunnerVersion, RunnerVersionTable
from rainsail.cluster.zone_drains import KnownZoneDrains
from rainsail.consensus.membership import (
    Membership,
    MemberSpec,
    encode_membership,
    membership_of_payload,
)
from rainsail.fleet.base import FLEET
from rainsail.fleet.storage_node import LEDGER_GROUP
from rainsail.jobs.job_state import JobState
from rainsail.quarantine.view import QuarantineView
from rainsail.state.command_basics import ROOT_GROUP, NoOperation, command_of
from rainsail.state.commands import encode_command
from rainsail.state.durable_schemas import durable_fingerprint
from rainsail.state.fleet_commands import FLEET_DURABLE_MODULES, encode_fleet_command
from rainsail.state.machine import ReplicatedState
from rainsail.state.settings import StateSettings
from rainsail.state.state_machine import StateMachine
from rainsail.storage.group_storage import DurableGroupStorage, open_group_storage
from rainsail.storage.identity import ReplicaIdentity, load_or_create_identity
from rainsail.storage.interface import FileSystem, HardState, LogEntry, SnapshotMeta
from rainsail.storage.local_files import LocalFileSystem
from rainsail.storage.settings import StorageSettings
from rainsail.storage.snapshot_checksum import verified_chunks
from rainsail.wire.codec import decode, encode

FOLDERS = Path("features/compatibility/data/folders")

SETTINGS = StorageSettings(segment_bytes=2048, cache_bytes=512)
"""Small segments, so that a small folder has several of them."""
SNAPSHOT_CHUNK_BYTES = 1024
"""The smallest allowed, so that a small snapshot has several chunks."""
NATIVE_LEDGER_GROUP = 3
SEED = 2038
UNIX_SECONDS = 1_750_000_000.0
"""The time of day at which the folders are written and read."""
TERM = 4
READ_BYTES = 1_000_000


@dataclass(frozen=True)
class GroupFolderKind:
    """A replicated group: its state, its commands and how they are encoded."""

    number: int
    make_state: Callable[[], StateMachine]
    apply_round: Callable[[Apply, str], None]
    encode_command: Callable[[Any], bytes]
    snapshot_is_installed: bool = False
    """The snapshot came from a leader and replaced a log that lacked its last entry."""


@dataclass(frozen=True)
class DataFolderKind:
    """A node's data folder; ``durable_modules`` of None stands for all of them."""

    name: str
    fleet: str
    replica: str
    durable_modules: tuple[str, ...] | None
    groups: tuple[GroupFolderKind, ...]


def make_replicated_state() -> ReplicatedState:
    """Return an empty state of a native replica's group."""
    return ReplicatedState(StateSettings(snapshot_chunk_bytes=SNAPSHOT_CHUNK_BYTES))


NATIVE_REPLICA = DataFolderKind(
    "native-replica",
    "north",
    "replica-a1",
    None,
    (
        GroupFolderKind(ROOT_GROUP, make_replicated_state, apply_root_commands, encode_command),
        GroupFolderKind(
            NATIVE_LEDGER_GROUP,
            make_replicated_state,
            apply_ledger_commands,
            encode_command,
            snapshot_is_installed=True,
        ),
    ),
)
RELAYING_CONTROLLER = DataFolderKind(
    "relaying-controller",
    FLEET,
    "10.0.0.1:7000",
    FLEET_DURABLE_MODULES,
    (GroupFolderKind(ROOT_GROUP, FleetState, apply_fleet_commands, encode_fleet_command),),
)
RELAYING_STORAGE = DataFolderKind(
    "relaying-storage",
    FLEET,
    "10.0.0.2:7000",
    FLEET_DURABLE_MODULES,
    (GroupFolderKind(LEDGER_GROUP, JobState, apply_relayed_job_commands, encode_fleet_command),),
)
KINDS = {kind.name: kind for kind in (NATIVE_REPLICA, RELAYING_CONTROLLER, RELAYING_STORAGE)}


# --- writing ---------------------------------------------------------------------------------


def write_data_folders(target: Path) -> None:
    """Write a data folder of every kind into ``target``."""
    for kind in KINDS.values():
        rig = StorageRig()
        _write_identity_and_groups(kind, rig)
        if kind is RELAYING_CONTROLLER:
            _write_runner_journal(rig)
            _write_runner_versions(rig)
            _write_committed_copy(rig)
        _copy_out(rig.disk, "", target / kind.name)


def _write_identity_and_groups(kind: DataFolderKind, rig: StorageRig) -> None:
    identity = rig.wait(_load_identity(kind, rig.disk)).ok
    for group in kind.groups:
        storage = rig.wait(open_group_storage(rig.disk, group.number, SETTINGS)).ok
        _GroupWriter(group, identity, storage, rig).write()
        storage.close()


class _GroupWriter:
    """Writes a group's log, a snapshot in the midst of it and the log that follows."""

    def __init__(
        self,
        group: GroupFolderKind,
        identity: ReplicaIdentity,
        storage: DurableGroupStorage,
        rig: StorageRig,
    ) -> None:
        self._group = group
        self._identity = identity
        self._storage = storage
        self._rig = rig
        self._state = group.make_state()
        member = MemberSpec(identity.replica, identity.identity, True)
        self._membership = Membership((member, MemberSpec("another", "0" * 32, False)))
        self._applied = 0

    def write(self) -> None:
        """Write everything and sync it."""
        self._storage.save_hard_state(HardState(TERM - 1, ""))
        self._append(encode_membership(self._membership))
        self._append(encode(NoOperation()))
        if self._group.snapshot_is_installed:
            self._group.apply_round(self._apply_unlogged, "first")
        else:
            self._group.apply_round(self._apply, "first")
        self._save_snapshot()
        self._storage.save_hard_state(HardState(TERM, self._identity.identity))
        self._replace_entry()
        self._group.apply_round(self._apply, "second")
        self._sync()

    def _append(self, payload: bytes) -> None:
        self._applied += 1
        self._storage.append((LogEntry(self._applied, TERM, payload),))
        self._sync()

    def _sync(self) -> None:
        synced = self._rig.wait(self._storage.sync())
        assert synced.is_ok(), str(synced.error)

    def _apply(self, command: Any) -> Any:
        self._append(self._group.encode_command(command))
        return self._state.apply(self._applied, command)

    def _apply_unlogged(self, command: Any) -> Any:
        """Apply a command that this replica never had in its log."""
        self._applied += 1
        return self._state.apply(self._applied, command)

    def _save_snapshot(self) -> None:
        meta = SnapshotMeta(self._applied, TERM, encode_membership(self._membership))
        saved = self._rig.wait(self._storage.save_snapshot(meta, self._state.snapshot()))
        assert saved.is_ok(), str(saved.error)

    def _replace_entry(self) -> None:
        """Append an entry that a later leader replaces, which leaves a truncation in the log."""
        self._append(encode(NoOperation()))
        self._storage.truncate_from(self._applied)
        self._applied -= 1


def _write_runner_journal(rig: StorageRig) -> None:
    """Keep two runners, and behind them a later report of one."""
    first = _runner_record(1, RunnerState.READY, 1)
    records = [first, replace(_runner_record(2, RunnerState.READY, 1), warm_up_left_s=30.0)]
    journal = RunnerJournal(rig.disk, rig.clock, lambda: UNIX_SECONDS, lambda: records)
    journal.load()
    assert rig.wait(journal.sync()).is_ok()
    journal.note([_runner_record(1, RunnerState.DRAINING, 2)])
    assert rig.wait(journal.sync()).is_ok()


def _write_runner_versions(rig: StorageRig) -> None:
    table = RunnerVersionTable()
    file = RunnerVersionFile(rig.disk, rig.clock, table)
    for number, version in ((1, "v1"), (2, "v1.2")):
        record = _runner_record(number, RunnerState.READY, 1)
        table.take(RunnerVersion(record.runner, record.born, version))
    file.changed()
    rig.clock.advance(1.0)


def _runner_record(number: int, state: RunnerState, sequence: int) -> RunnerRecord:
    address = f"10.0.1.{number}:80"
    born_ms = 1_749_999_000_000
    return RunnerRecord(
        f"runner-{number}", "model", address, "zone-1", 4, state, 0.0, sequence, born=born_ms
    )


def _write_committed_copy(rig: StorageRig) -> None:
    state = FleetState()
    apply_fleet_commands(lambda command: state.apply(0, command), "first")
    drains = KnownZoneDrains()
    drains.take(state.zone_drains())
    quarantine = QuarantineView()
    quarantine.take(state.quarantine.snapshot())
    CommittedCopies(rig.disk, state, drains, quarantine).changed()
    rig.clock.advance(1.0)


def _copy_out(disk: FileSystem, folder: str, target: Path) -> None:
    target.mkdir(parents=True)
    for name in disk.list(folder):
        path = f"{folder}/{name}".strip("/")
        if disk.exists(path):
            (target / name).write_bytes(disk.read(path))
        else:
            _copy_out(disk, path, target / name)


# --- reading ---------------------------------------------------------------------------------


class ReadFolder:
    """A copy of a kept data folder, opened by the product's own code."""

    def __init__(self, kind: DataFolderKind) -> None:
        self.kind = kind
        self._folder = RealFolder()
        shutil.copytree(FOLDERS / kind.name, self._folder.path, dirs_exist_ok=True)
        self.files = LocalFileSystem(self._folder.path, self._folder.reactor)

    def load_identity(self) -> ReplicaIdentity:
        """Return the folder's identity; a folder that is refused fails."""
        return self._ok(_load_identity(self.kind, self.files))

    def open_groups(self) -> "Iterator[ReadGroup]":
        """Open each group of the folder and restore its state."""
        for group in self.kind.groups:
            storage = self._ok(open_group_storage(self.files, group.number, SETTINGS))
            try:
                yield ReadGroup(group, storage)
            finally:
                storage.close()

    def close(self) -> None:
        """Remove the copy."""
        self._folder.close()

    def _ok(self, deferred: Any) -> Any:
        result = self._folder.reactor.wait(deferred)
        assert result.is_ok(), str(result.error)
        return result.ok


class ReadGroup:
    """What was read of one group: its snapshot, the log behind it, and the state of both."""

    def __init__(self, group: GroupFolderKind, storage: DurableGroupStorage) -> None:
        self.group = group
        self.hard_state = storage.hard_state
        assert storage.snapshot_meta is not None, "the folder has no snapshot"
        self.snapshot_meta = storage.snapshot_meta
        self.snapshot_chunks = tuple(verified_chunks(storage.read_snapshot()))
        first = self.snapshot_meta.last_index + 1
        self.entries = storage.entries(first, storage.last_index, READ_BYTES)
        assert len(self.entries) == storage.last_index - first + 1

    def commands(self) -> list[Any]:
        """Return the commands of the log behind the snapshot."""
        payloads = (entry.payload for entry in self.entries)
        return [command_of(payload) for payload in payloads if not membership_of_payload(payload)]

    def entries_encoded_again(self) -> list[bytes]:
        """Return every entry's payload, decoded and encoded."""
        return [encode(decode(entry.payload)) for entry in self.entries]

    def restored_state(self) -> Any:
        """Return the state of the snapshot alone."""
        state = self.group.make_state()
        state.restore(self.snapshot_chunks)
        return state

    def current_state(self) -> Any:
        """Return the state of snapshot and log."""
        state = self.restored_state()
        for entry in self.entries:
            if membership_of_payload(entry.payload) is None:
                state.apply(entry.index, command_of(entry.payload))
        return state


def _load_identity(kind: DataFolderKind, files: FileSystem) -> Any:
    return load_or_create_identity(
        files,
        kind.fleet,
        kind.replica,
        durable_fingerprint(kind.durable_modules),
        random.Random(SEED),
    )
