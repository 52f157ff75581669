"""One job of the batch ledger: its items, leases, counts and results."""

from collections.abc import Iterator
from dataclasses import dataclass

from rainsail.state.commands import (
    ItemBody,
    ItemPhase,
    ItemRef,
    JobPhase,
    JobSpec,
    JobView,
    LeasedItem,
)
from rainsail.state.interface import ResultRow
from rainsail.state.job_items import CANCELLED, ITEM_PHASES, PENDING, JobItems
from rainsail.state.lease_queue import QueuedJob
from rainsail.state.result_log import FinishedItem, ResultLog
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_type("Lease")
@dataclass(frozen=True, slots=True)
class Lease:
    """The holder of an item, its fencing token, and the tokens charged to the tenant."""

    index: int
    holder: str
    fence: int
    tokens: int


@wire_type("ItemNote")
@dataclass(frozen=True, slots=True)
class UnfinishedItem:
    """Retry state of an unfinished item: failed attempts and the text generated so far.

    Only items that have such state are stored.
    """

    index: int
    attempts: int
    generated_prefix: str


@wire_record("StoredJob")
@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job in a snapshot, without its item bodies and results."""

    job_id: str
    spec: JobSpec
    phase: JobPhase
    sequence: int
    item_phases: bytes
    leases: tuple[Lease, ...]
    notes: tuple[UnfinishedItem, ...]


class Job:
    """A job of the ledger. ``sequence`` numbers the jobs in order of opening."""

    __slots__ = (
        "cancelled",
        "completed",
        "items",
        "job_id",
        "leases",
        "notes",
        "pending",
        "phase",
        "results",
        "sequence",
        "set_aside",
        "spec",
    )

    def __init__(self, job_id: str, spec: JobSpec, sequence: int) -> None:
        self.job_id = job_id
        self.spec = spec
        self.sequence = sequence
        self.phase = JobPhase.OPEN
        self.items = JobItems(spec.item_count)
        self.results = ResultLog(spec.item_count)
        self.leases: dict[int, Lease] = {}
        self.notes: dict[int, UnfinishedItem] = {}
        self.pending = 0
        self.completed = 0
        self.set_aside = 0
        self.cancelled = 0

    def queued(self) -> QueuedJob:
        """Return the key that orders the job among the jobs of its tenant."""
        return QueuedJob(self.spec.deadline_unix_s, self.sequence, self.job_id)

    def view(self) -> JobView:
        """Return an immutable view of phase and counts."""
        return JobView(
            self.job_id,
            self.spec,
            self.phase,
            self.pending,
            len(self.leases),
            self.completed,
            self.set_aside,
            self.cancelled,
        )

    def note(self, index: int) -> UnfinishedItem:
        """Return the retry state of an item; it is empty for most items."""
        return self.notes.get(index) or UnfinishedItem(index, 0, "")

    def leased_item(self, lease: Lease, body: ItemBody) -> LeasedItem:
        """Return an item in the form that is sent to the holder of its lease."""
        return LeasedItem(
            ItemRef(self.job_id, lease.index, lease.fence),
            self.spec.tenant,
            self.spec.adapter,
            self.spec.deadline_unix_s,
            body,
            self.note(lease.index).generated_prefix,
        )

    def store_note(self, note: UnfinishedItem) -> None:
        """Store the retry state of an item, or remove it when it is empty."""
        if note.attempts or note.generated_prefix:
            self.notes[note.index] = note
        else:
            self.notes.pop(note.index, None)

    def is_done(self) -> bool:
        """Return whether the job is sealed and every item has finished."""
        return self.phase is JobPhase.SEALED and not self.pending and not self.leases

    def result_rows(self, first_index: int, limit: int) -> Iterator[ResultRow]:
        """Yield up to ``limit`` finished items from ``first_index`` on."""
        finished = self.items.finished_from(first_index)
        for _, index in zip(range(limit), finished, strict=False):
            yield self._result_row(index)

    def _result_row(self, index: int) -> ResultRow:
        phase = self.items.phases[index]
        if phase == CANCELLED:
            custom_id = self.items.body(index).custom_id
            return ResultRow(index, custom_id, ItemPhase.CANCELLED, "", "the job was cancelled")
        item = self.results.get(index)
        return ResultRow(index, item.custom_id, ITEM_PHASES[phase], item.text, item.failure)

    def finish(self, index: int, phase: int, item: FinishedItem) -> None:
        """Store the result of an item; the caller updates the counts."""
        self.notes.pop(index, None)
        self.items.set_phase(index, phase)
        self.results.append(index, item)

    def record(self) -> StoredJob:
        """Return the job for a snapshot, without bodies and results."""
        return StoredJob(
            self.job_id,
            self.spec,
            self.phase,
            self.sequence,
            bytes(self.items.phases),
            tuple(self.leases[index] for index in sorted(self.leases)),
            tuple(self.notes[index] for index in sorted(self.notes)),
        )

    @classmethod
    def restored(cls, record: StoredJob) -> "Job":
        """Return a job restored from its snapshot record."""
        job = cls(record.job_id, record.spec, record.sequence)
        job.phase = record.phase
        job.items.phases[:] = record.item_phases
        job.leases = {lease.index: lease for lease in record.leases}
        job.notes = {note.index: note for note in record.notes}
        job.recount()
        return job

    def recount(self) -> None:
        """Recompute the counts from the phases of the items."""
        phases = self.items.phases
        by_phase = {phase: phases.count(code) for code, phase in ITEM_PHASES.items()}
        self.pending = phases.count(PENDING)
        self.completed = by_phase[ItemPhase.COMPLETED]
        self.set_aside = by_phase[ItemPhase.SET_ASIDE]
        self.cancelled = by_phase[ItemPhase.CANCELLED]
