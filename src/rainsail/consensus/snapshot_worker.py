"""Snapshot I/O of one member: taking, sending and installing snapshots."""

from collections.abc import Callable, Iterator

from expression import Error, Result

from rainsail.consensus.applier import Applier
from rainsail.consensus.core import ConsensusCore
from rainsail.consensus.core_state import Role
from rainsail.consensus.effects import Effects, Outgoing, SnapshotInstall, SnapshotOrder
from rainsail.consensus.member_log import log_snapshot_unreadable, log_transfer_stalled
from rainsail.consensus.membership import encode_membership
from rainsail.consensus.messages import SnapshotChunk
from rainsail.consensus.snapshot_source import PieceRead, SnapshotSource
from rainsail.consensus.snapshot_transfer_part import SnapshotTransferPart
from rainsail.consensus.snapshot_transfers import SnapshotTransfers
from rainsail.errors import Fault, FaultCode, RainsailError
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.state.state_machine import StateMachine
from rainsail.storage.interface import GroupStorage, SnapshotMeta
from rainsail.storage.snapshot_checksum import SnapshotChecksum
from rainsail.wire.codec import CodecError

TRANSFER_ACTIVE_S = 1.0
"""A transfer counts as active for this long after a follower has requested a further chunk. A newer
snapshot would restart the transfer, which under steady load would then never finish."""
MAX_POSTPONE_FACTOR = 4
"""During an active transfer the next snapshot waits until the log has grown to this many times the
usual size; beyond that, limiting the log takes precedence."""
RETRY_AFTER_ENTRIES = 1_000
"""Entries to apply after a failed snapshot before the next attempt."""
READ_FAILURES_BEFORE_RENEWAL = 2
"""After this many consecutive read failures for one follower the snapshot counts as damaged, and a
new one of the state in memory replaces it. A single disk error only causes another read."""
MIN_ENTRIES_BETWEEN_RENEWALS = 1_000
"""Minimum entries between two such replacements: on a bad disk the next may be damaged too."""
READ_FAILURE_LOG_INTERVAL_S = 10.0
"""Minimum interval between two log lines about read failures."""


class SnapshotWorker:
    """Writes one snapshot at a time, either this member's own or a received one."""

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
        takes_parts: Callable[[str], bool],
    ) -> None:
        """``takes_parts`` tells whether a replica knows snapshots in parts."""
        self._storage = storage
        self._state_machine = state_machine
        self._applier = applier
        self._core = core
        self._clock = clock
        self._send = send
        self._take = take
        self._on_fault = on_fault
        self._takes_parts = takes_parts
        self._source = SnapshotSource(storage)
        self._writing = False
        self._waiting_install: SnapshotInstall | None = None
        self._stopped = False
        self._last_index = self._core.state.log.base_index
        self._retry_index = 0
        self._transfers = SnapshotTransfers()
        self._read_failures: dict[str, int] = {}
        self._renewal_due = False
        self._next_renewal_index = 0
        self._failure_logged_at_s = float("-inf")

    @property
    def installing(self) -> bool:
        """Return whether a received snapshot is being stored; applying entries has to pause."""
        return self._core.state.installing

    def stalled_transfers(self) -> int:
        """Return how many followers that need the snapshot make no progress with it."""
        return self._transfers.stalled(self._clock.seconds())

    def stop(self) -> None:
        """Stop reporting results."""
        self._stopped = True

    # --- own snapshots -------------------------------------------------------------------

    def take_when_due(self) -> None:
        """Write a snapshot if the log has outgrown its limits or a damaged one needs replacing."""
        applied = self._applier.applied_index
        if self._stopped or applied < self._retry_index or self._writing or self.installing:
            return
        transferring = self._clock.seconds() - self._transfers.last_progress_s < TRANSFER_ACTIVE_S
        if self._may_renew():
            self._renewal_due = False
            self._next_renewal_index = applied + MIN_ENTRIES_BETWEEN_RENEWALS
        elif not self._is_due(MAX_POSTPONE_FACTOR if transferring else 1):
            return
        self._writing = True
        self._applier.bytes_since_snapshot = 0
        self._encode_chunks(self._meta_at(applied), self._state_machine.snapshot(), [])

    def _is_due(self, times: int) -> bool:
        """Return whether the log has reached ``times`` the configured size limits."""
        settings = self._core.state.settings
        entries = self._applier.applied_index - self._last_index
        size = self._applier.bytes_since_snapshot
        return (
            entries >= times * settings.snapshot_log_entries
            or size >= times * settings.snapshot_log_bytes
        )

    def _may_renew(self) -> bool:
        """Return whether a damaged snapshot is due for replacement and a newer state exists."""
        applied = self._applier.applied_index
        is_newer = applied > self._last_index
        return self._renewal_due and is_newer and applied >= self._next_renewal_index

    def _encode_chunks(
        self, meta: SnapshotMeta, rest: Iterator[bytes], chunks: list[bytes]
    ) -> None:
        """Encode one chunk per reactor turn, so that heartbeats are sent in between."""
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
            self._clock.callLater(0, self._encode_chunks, meta, rest, chunks)
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
            # The log is complete without this snapshot, so the member goes on. If the disk can't
            # be synced at all, the next sync of the log fails too.
            logger.warning("snapshot at {} not written: {}", meta.last_index, result.error)
            self._retry_index = self._applier.applied_index + RETRY_AFTER_ENTRIES
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
        """Send one part of the stored snapshot, unless leadership has ended meanwhile.

        A follower of an earlier version gets the whole chunk in place of its parts. A chunk that
        can't be read doesn't stop this member: it still has the acknowledged state in memory,
        possibly as the only complete copy while a follower is behind. The follower gets a message
        without data as a heartbeat, and the next heartbeat retries the chunk.
        """
        meta = self._storage.snapshot_meta
        if self._core.state.role != Role.LEADER or meta is None:
            return
        self._note_order(order, meta)
        in_parts = self._takes_parts(order.replica)
        part_bytes = self._core.state.settings.snapshot_part_bytes if in_parts else 0
        read = self._source.piece(meta.last_index, order.identity, order.offset, part_bytes)
        if read.is_error():
            self._handle_read_failure(order, meta, read.error)
            self._send_part(order, meta, PieceRead(order.offset, None), in_parts)
            return
        if self._read_failures.pop(order.identity, 0):
            self._renewal_due = False
        self._send_part(order, meta, read.ok, in_parts)

    def _send_part(
        self, order: SnapshotOrder, meta: SnapshotMeta, part: PieceRead, in_parts: bool
    ) -> None:
        state = self._core.state
        begin = (
            state.group,
            state.term,
            state.identity,
            order.identity,
            meta.last_index,
            meta.last_term,
            meta.membership,
            part.offset,
        )
        data = part.piece if isinstance(part.piece, bytes) else None
        whole = part.piece if isinstance(part.piece, SnapshotChecksum) else None
        message: SnapshotChunk | SnapshotTransferPart
        if in_parts:
            message = SnapshotTransferPart(*begin, data, part.ends_chunk, whole, order.round)
        else:
            message = SnapshotChunk(*begin, data, whole, order.round)
        self._send([Outgoing(order.replica, message)])

    def _handle_read_failure(self, order: SnapshotOrder, meta: SnapshotMeta, fault: Fault) -> None:
        """Log the failure; schedule a new snapshot when reads keep failing."""
        now = self._clock.seconds()
        if now - self._failure_logged_at_s >= READ_FAILURE_LOG_INTERVAL_S:
            self._failure_logged_at_s = now
            log_snapshot_unreadable(meta.last_index, order.replica, fault)
        failures = self._read_failures.get(order.identity, 0) + 1
        self._read_failures[order.identity] = failures
        if failures >= READ_FAILURES_BEFORE_RENEWAL:
            self._renewal_due = True
            self._clock.callLater(0, self.take_when_due)

    def _forget_failures(self) -> None:
        """Reset the failure counts, when a new snapshot is in place."""
        self._read_failures.clear()
        self._renewal_due = False

    def _note_order(self, order: SnapshotOrder, meta: SnapshotMeta) -> None:
        """Record what a follower requests; log it if the follower makes no progress."""
        stalled_s = self._transfers.note_order(order, self._clock.seconds())
        if stalled_s is not None:
            log_transfer_stalled(order, meta.last_index, stalled_s)

    # --- snapshots from the leader -------------------------------------------------------

    def install(self, install: SnapshotInstall) -> None:
        """Store a received snapshot after the earlier writes are synced, then restore from it."""
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
