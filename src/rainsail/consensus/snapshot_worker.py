"""Takes, sends and installs snapshots for one member."""

from collections.abc import Callable, Iterator

from expression import Error, Result

from rainsail.consensus.applier import Applier
from rainsail.consensus.core import ConsensusCore
from rainsail.consensus.core_state import Role
from rainsail.consensus.effects import Effects, Outgoing, SnapshotInstall, SnapshotOrder
from rainsail.consensus.member_log import log_snapshot_unread
from rainsail.consensus.membership import encode_membership
from rainsail.consensus.messages import SnapshotChunk
from rainsail.consensus.snapshot_source import SnapshotSource
from rainsail.errors import Fault, FaultCode, RainsailError
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.state.state_machine import StateMachine
from rainsail.storage.interface import GroupStorage, SnapshotMeta
from rainsail.storage.snapshot_checksum import SnapshotChecksum, SnapshotPiece
from rainsail.wire.codec import CodecError

FEEDING_S = 1.0
"""A follower counts as being fed for this long after it asked for a further chunk: a newer
snapshot would make it begin anew, and under steady load it would never be through."""
MOST_POSTPONED = 4
"""While a follower is fed the next snapshot waits until the log has grown to so many times the
usual size; then bounding the log goes first."""
RETRY_ENTRIES = 1_000
"""Entries after a snapshot that could not be written until it is tried again."""
READINGS_BEFORE_RENEWAL = 2
"""A snapshot that can't be read for one follower so many times running counts as damaged: a new
one, of the state in memory, takes its place. A single error of the disk costs another reading."""
RENEWAL_ENTRIES = 1_000
"""Entries between two such snapshots at least: on a bad disk the next may be damaged too."""
TELL_AGAIN_S = 10.0
"""The operator is told of readings that fail this often at most."""


class SnapshotWorker:
    """One snapshot at a time is written, either this member's own or a received one."""

    def __init__(
        self,
        storage: GroupStorage,
        state_machine: StateMachine,
        applier: Applier,
        core: ConsensusCore,
        clock: Clock,
        send: Callable[[list[Outgoing]], None],
        take: Callable[[Effects], None],
        on_fault: Callable[[Fault], None],
    ) -> None:
        self._storage = storage
        self._state_machine = state_machine
        self._applier = applier
        self._core = core
        self._clock = clock
        self._send = send
        self._take = take
        self._on_fault = on_fault
        self._source = SnapshotSource(storage)
        self._writing = False
        self._waiting_install: SnapshotInstall | None = None
        self._stopped = False
        self._last_index = self._core.state.log.base_index
        self._retry_index = 0
        self._fed_at_s = float("-inf")
        self._fed_offsets: dict[str, int] = {}
        self._failed_readings: dict[str, int] = {}
        self._renewal_due = False
        self._next_renewal_index = 0
        self._told_at_s = float("-inf")

    @property
    def installing(self) -> bool:
        """Whether a received snapshot is being stored; nothing may be applied meanwhile."""
        return self._core.state.installing

    def stop(self) -> None:
        """Report nothing any more."""
        self._stopped = True

    # --- own snapshots -------------------------------------------------------------------

    def take_when_due(self) -> None:
        """Write a snapshot when the log since the last one has grown past the settings."""
        applied = self._applier.applied_index
        if self._stopped or applied < self._retry_index or self._writing or self.installing:
            return
        feeding = self._clock.seconds() - self._fed_at_s < FEEDING_S
        if self._may_renew():
            self._renewal_due = False
            self._next_renewal_index = applied + RENEWAL_ENTRIES
        elif not self._is_due(MOST_POSTPONED if feeding else 1):
            return
        self._writing = True
        self._applier.bytes_since_snapshot = 0
        self._gather(self._meta_at(applied), self._state_machine.snapshot(), [])

    def _is_due(self, times: int) -> bool:
        """Tell whether the log has grown past so many times the settings."""
        settings = self._core.state.settings
        entries = self._applier.applied_index - self._last_index
        size = self._applier.bytes_since_snapshot
        return (
            entries >= times * settings.snapshot_log_entries
            or size >= times * settings.snapshot_log_bytes
        )

    def _may_renew(self) -> bool:
        """Tell whether a damaged snapshot is to be replaced, and there is a newer state for it."""
        applied = self._applier.applied_index
        is_newer = applied > self._last_index
        return self._renewal_due and is_newer and applied >= self._next_renewal_index

    def _gather(self, meta: SnapshotMeta, rest: Iterator[bytes], chunks: list[bytes]) -> None:
        """Encode one chunk a reactor turn, so that heartbeats go out in between."""
        if self._stopped:
            return
        try:
            chunk = next(rest, None)
        except (CodecError, RainsailError) as error:
            detail = f"the state can't be encoded: {error}"
            self._taken(Error(Fault(FaultCode.STORAGE, "consensus.snapshot", detail)), meta)
            return
        if chunk is not None:
            chunks.append(chunk)
            self._clock.callLater(0, self._gather, meta, rest, chunks)
            return
        done = self._storage.save_snapshot(meta, iter(chunks))
        done.addCallback(self._taken, meta)

    def _meta_at(self, index: int) -> SnapshotMeta:
        log = self._core.state.log
        term = log.term_at(index)
        assert term is not None
        return SnapshotMeta(index, term, encode_membership(log.membership_at(index)))

    def _taken(self, result: Result[None, Fault], meta: SnapshotMeta) -> None:
        self._writing = False
        if self._stopped:
            return
        if result.is_error():
            # The log is whole without it; a disk that can't be synced fails the next sync too.
            logger.warning("snapshot at {} not written: {}", meta.last_index, result.error)
            self._retry_index = self._applier.applied_index + RETRY_ENTRIES
        else:
            self._last_index = meta.last_index
            self._forget_failures()
            self._take(self._core.snapshot_taken(meta.last_index))
        self._install_waiting()

    def _install_waiting(self) -> None:
        waiting = self._waiting_install
        if waiting is not None:
            self._waiting_install = None
            self.install(waiting)

    # --- snapshots to others -------------------------------------------------------------

    def send_chunk(self, order: SnapshotOrder) -> None:
        """Send one chunk of the stored snapshot, unless leadership has ended meanwhile.

        A chunk that can't be read doesn't end this member: what it has acknowledged is in its
        memory, and may be whole nowhere else while a follower is behind. The follower hears of
        its leader all the same, and the next heartbeat asks for the chunk again.
        """
        meta = self._storage.snapshot_meta
        if self._core.state.role != Role.LEADER or meta is None:
            return
        self._note_progress(order)
        read = self._source.piece(meta.last_index, order.identity, order.offset)
        if read.is_error():
            self._reading_failed(order, meta, read.error)
            self._send_piece(order, meta, order.offset, None)
            return
        if self._failed_readings.pop(order.identity, 0):
            self._renewal_due = False
        self._send_piece(order, meta, read.ok.offset, read.ok.piece)

    def _send_piece(
        self, order: SnapshotOrder, meta: SnapshotMeta, offset: int, piece: SnapshotPiece | None
    ) -> None:
        state = self._core.state
        message = SnapshotChunk(
            state.group,
            state.term,
            state.identity,
            order.identity,
            meta.last_index,
            meta.last_term,
            meta.membership,
            offset,
            piece if isinstance(piece, bytes) else None,
            piece if isinstance(piece, SnapshotChecksum) else None,
            order.round,
        )
        self._send([Outgoing(order.replica, message)])

    def _reading_failed(self, order: SnapshotOrder, meta: SnapshotMeta, fault: Fault) -> None:
        """Tell the operator; have a snapshot replaced that fails again."""
        now = self._clock.seconds()
        if now - self._told_at_s >= TELL_AGAIN_S:
            self._told_at_s = now
            log_snapshot_unread(meta.last_index, order.replica, fault)
        failures = self._failed_readings.get(order.identity, 0) + 1
        self._failed_readings[order.identity] = failures
        if failures >= READINGS_BEFORE_RENEWAL:
            self._renewal_due = True
            self._clock.callLater(0, self.take_when_due)

    def _forget_failures(self) -> None:
        """Another snapshot is in place, of which no reading has failed yet."""
        self._failed_readings.clear()
        self._renewal_due = False

    def _note_progress(self, order: SnapshotOrder) -> None:
        """Note that a follower has asked for more; one that doesn't answer is not being fed."""
        if order.offset > self._fed_offsets.get(order.identity, 0):
            self._fed_at_s = self._clock.seconds()
        self._fed_offsets[order.identity] = order.offset

    # --- snapshots from the leader -------------------------------------------------------

    def install(self, install: SnapshotInstall) -> None:
        """Store a received snapshot, behind the writes before it, then restore from it."""
        if self._writing:
            self._waiting_install = install
            return
        self._writing = True
        self._storage.sync().addCallback(self._store, install)

    def _store(self, result: Result[None, Fault], install: SnapshotInstall) -> None:
        if result.is_error():
            self._installed(result, install)
            return
        done = self._storage.save_snapshot(install.meta, iter(install.chunks))
        done.addCallback(self._installed, install)

    def _installed(self, result: Result[None, Fault], install: SnapshotInstall) -> None:
        self._writing = False
        if self._stopped:
            return
        if result.is_error():
            self._on_fault(result.error)
            return
        try:
            self._state_machine.restore(install.chunks)
        except (CodecError, RainsailError) as error:
            detail = f"the snapshot at {install.meta.last_index} can't be restored: {error}"
            self._on_fault(Fault(FaultCode.STORAGE, "consensus.install", detail))
            return
        self._last_index = install.meta.last_index
        self._forget_failures()
        self._applier.restored(install.meta.last_index)
        now = self._clock.seconds()
        self._take(self._core.snapshot_installed(install.meta, now))
