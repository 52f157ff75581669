"""The replicated state machine: applies committed commands to the stores.

Applying is deterministic: it uses no clock, no randomness and no hash order. Replicas that applied
the same commands therefore produce snapshots that are equal byte by byte.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from rainsail.resources.specs import Kind, Resource, ResourceKey, TenantSpec, WatchEvent
from rainsail.state.change_window import AnsweredChange, ChangeWindow, IdentifiedChange
from rainsail.state.claims import Claim, ClaimStore
from rainsail.state.commands import (
    AddItems,
    AppendTurn,
    AttachSession,
    CancelJob,
    ClaimRequest,
    Command,
    CommandOutcome,
    CommitResults,
    DeleteResource,
    Done,
    FinishRequest,
    ForgetJob,
    ItemRef,
    JobView,
    LeaseItems,
    MarkInForce,
    NoOperation,
    OpenJob,
    PutResource,
    PutStatus,
    ResourceChanged,
    ReturnItems,
    RevokeLeases,
    SealJob,
    SessionView,
)
from rainsail.state.interface import ResultRow
from rainsail.state.ledger import BatchLedger
from rainsail.state.resource_store import ResourceStore, StoredEvent, StoreRevisions
from rainsail.state.sessions import SessionFenceFloor, SessionStore, StoredSession
from rainsail.state.settings import StateSettings
from rainsail.state.snapshot import (
    SNAPSHOT_FORMAT,
    SnapshotRecord,
    SnapshotStart,
    decode_parts,
    encode_parts,
)

Apply = Callable[[Any], CommandOutcome]


class ReplicatedState:
    """Resources, batch ledger, request claims and sessions of one group."""

    def __init__(self, settings: StateSettings | None = None) -> None:
        self._settings = settings or StateSettings()
        self._reset()

    def _reset(self) -> None:
        self._applied_index = 0
        self._resources = ResourceStore(self._settings.event_window_count)
        self._changes = ChangeWindow(self._settings.change_window_count)
        self._ledger = BatchLedger(self._settings, self._tenant_weight)
        self._claims = ClaimStore(self._settings)
        self._sessions = SessionStore()
        self._appliers = self._make_appliers()

    def _make_appliers(self) -> dict[type, Apply]:
        leases = self._ledger.leases
        return {
            NoOperation: lambda command: Done(),
            PutResource: self._idempotent(self._put),
            DeleteResource: self._idempotent(self._delete),
            PutStatus: self._resources.put_status,
            MarkInForce: self._resources.mark_in_force,
            OpenJob: self._ledger.open,
            AddItems: self._ledger.add_items,
            SealJob: self._ledger.seal,
            CancelJob: self._idempotent(self._ledger.cancel),
            ForgetJob: self._ledger.forget,
            LeaseItems: leases.lease,
            CommitResults: leases.commit,
            ReturnItems: leases.return_items,
            RevokeLeases: leases.revoke,
            ClaimRequest: self._claims.claim,
            FinishRequest: self._claims.finish,
            AttachSession: self._attach,
            AppendTurn: self._sessions.append_turn,
        }

    def _idempotent(self, apply: Apply) -> Apply:
        """Wrap ``apply`` so that a re-sent change gets its first answer and changes nothing."""

        def apply_idempotently(command: IdentifiedChange) -> CommandOutcome:
            answer = self._changes.first_answer(command)
            if answer is None:
                answer = apply(command)
                self._changes.remember(command, answer)
            return answer

        return apply_idempotently

    def _put(self, command: PutResource) -> CommandOutcome:
        outcome = self._resources.put(command)
        if isinstance(outcome, ResourceChanged) and command.key.kind is Kind.SESSION:
            self._sessions.declare(command.key.name)
        return outcome

    def _attach(self, command: AttachSession) -> CommandOutcome:
        outcome = self._sessions.attach(command)
        if isinstance(outcome, SessionView):
            self._resources.update_session_status(outcome)
        return outcome

    def _delete(self, command: DeleteResource) -> CommandOutcome:
        outcome = self._resources.delete(command)
        if isinstance(outcome, ResourceChanged) and command.key.kind is Kind.SESSION:
            self._sessions.remove(command.key.name)
        return outcome

    def _tenant_weight(self, tenant: str) -> float | None:
        resource = self._resources.get(ResourceKey(Kind.TENANT, tenant))
        if resource is None or not isinstance(resource.spec, TenantSpec):
            return None
        return resource.spec.weight

    # --- StateMachine ---

    def apply(self, index: int, command: Command) -> CommandOutcome:
        """Apply the committed command at log ``index``; a ``Fault`` outcome changed nothing."""
        self._applied_index = index
        return self._appliers[type(command)](command)

    def snapshot(self) -> Iterator[bytes]:
        """Return the whole state as chunks.

        The call captures the state as immutable records, which share data with the state where
        possible. Chunks are encoded lazily; the state may change in between.
        """
        return encode_parts(list(self._records()), self._settings.snapshot_chunk_bytes)

    def _records(self) -> Iterator[SnapshotRecord]:
        yield SnapshotStart(SNAPSHOT_FORMAT, self._applied_index)
        yield from self._resources.records()
        yield from self._changes.records()
        yield from self._ledger.records()
        yield from self._claims.records()
        yield from self._sessions.records()

    def restore(self, chunks: Iterable[bytes]) -> None:
        """Replace the whole state by a snapshot; raises ``RainsailError`` if it is damaged.

        After an error the state must not be used. Missing chunks at the end are not detected
        here, but by the source of the chunks: by the end record of a file and by the checksum
        of a transfer.
        """
        self._reset()
        for record in decode_parts(chunks):
            self._restore_record(record)
        self._ledger.leases.finish_restore()

    def _restore_record(self, record: SnapshotRecord) -> None:
        if isinstance(record, SnapshotStart):
            self._applied_index = record.applied_index
        elif isinstance(record, StoreRevisions | Resource | StoredEvent):
            self._resources.restore(record)
        elif isinstance(record, AnsweredChange):
            self._changes.restore(record)
        elif isinstance(record, Claim):
            self._claims.restore(record)
        elif isinstance(record, SessionFenceFloor | StoredSession):
            self._sessions.restore(record)
        else:
            self._ledger.restore(record)

    # --- ReplicatedReader ---

    @property
    def applied_index(self) -> int:
        """The log index of the last applied command."""
        return self._applied_index

    @property
    def revision(self) -> int:
        """The revision of the last resource change."""
        return self._resources.revision

    @property
    def in_force_revision(self) -> int:
        """The highest revision that every gateway with a configuration lease has applied."""
        return self._resources.in_force_revision

    def get(self, key: ResourceKey) -> Resource | None:
        """Return one resource."""
        return self._resources.get(key)

    def list_resources(self, kind: Kind | None = None) -> list[Resource]:
        """Return resources in key order."""
        return self._resources.list_resources(kind)

    def events_since(self, revision: int, limit: int) -> list[WatchEvent] | None:
        """Return events after ``revision`` in order, or None if some of them are compacted."""
        return self._resources.events_since(revision, limit)

    def jobs(self) -> list[JobView]:
        """Return all jobs in id order."""
        return self._ledger.jobs()

    def job(self, job_id: str) -> JobView | None:
        """Return one job."""
        return self._ledger.job(job_id)

    def results(self, job_id: str, first_index: int, limit: int) -> list[ResultRow]:
        """Return finished items from ``first_index`` on in index order."""
        return self._ledger.results(job_id, first_index, limit)

    def holders(self) -> list[str]:
        """Return all holders with a live lease, sorted."""
        return self._ledger.leases.holders()

    def held_by(self, holder: str) -> list[ItemRef]:
        """Return the items leased to a holder, by job and index."""
        return self._ledger.leases.held_by(holder)

    def holds(self, holder: str, ref: ItemRef) -> bool:
        """Return whether an item is still leased to the holder under exactly this fence."""
        return self._ledger.leases.holds(holder, ref)

    def backlog(self, service: str) -> int:
        """Return the number of pending items of a service's sealed jobs."""
        return self._ledger.leases.backlog(service)

    def backlogs(self) -> dict[str, int]:
        """Return the number of pending items by service, in name order, without zeros."""
        return self._ledger.leases.backlogs()

    def session(self, name: str) -> SessionView | None:
        """Return a session's gateway, runner and transcript."""
        return self._sessions.get(name)
