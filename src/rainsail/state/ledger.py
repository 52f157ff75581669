"""The life cycle of jobs in the batch ledger: open, add items, seal, cancel, delete.

A job is opened, receives ranges of items and is sealed; only a sealed job counts as accepted.
``ItemLeases`` leases items and commits their results. A cancelled job keeps the results that
were committed before the cancel and accepts no others.
"""

import math
from collections.abc import Callable, Iterator

from sortedcontainers import SortedDict

from rainsail.errors import Fault, FaultCode
from rainsail.state.commands import (
    AddItems,
    CancelJob,
    Done,
    ForgetJob,
    JobPhase,
    JobSpec,
    JobView,
    OpenJob,
    SealJob,
)
from rainsail.state.faults import cancelled, conflict, invalid, not_found
from rainsail.state.interface import ResultRow
from rainsail.state.item_leases import ItemLeases, LeaseRecord
from rainsail.state.job import Job, StoredJob
from rainsail.state.job_items import StoredRange
from rainsail.state.result_log import StoredResults
from rainsail.state.settings import StateSettings

JobRecord = StoredJob | StoredRange | StoredResults

JobKey = tuple[str, str]


def _job_key(spec: JobSpec) -> JobKey:
    return (spec.tenant, spec.job_key)


class BatchLedger:
    """All jobs, indexed by id and by the idempotency keys of the callers."""

    def __init__(
        self, settings: StateSettings, tenant_weight: Callable[[str], float | None]
    ) -> None:
        self._settings = settings
        self._jobs: SortedDict = SortedDict()
        self._job_ids: dict[JobKey, str] = {}
        self._next_sequence = 0
        self.leases = ItemLeases(settings, self._jobs, tenant_weight)

    def jobs(self) -> list[JobView]:
        """Return every job in id order."""
        return [job.view() for job in self._jobs.values()]

    def job(self, job_id: str) -> JobView | None:
        """Return one job."""
        job = self._jobs.get(job_id)
        return None if job is None else job.view()

    def results(self, job_id: str, first_index: int, limit: int) -> list[ResultRow]:
        """Return up to ``limit`` finished items from ``first_index`` on in index order."""
        job = self._jobs.get(job_id)
        return [] if job is None else list(job.result_rows(first_index, limit))

    def open(self, command: OpenJob) -> JobView | Fault:
        """Create a job, or return the job that the tenant already opened under the same key."""
        refusal = self._check_spec(command)
        if refusal is not None:
            return refusal
        known_id = self._job_ids.get(_job_key(command.spec))
        if known_id is not None:
            return self._existing_job(self._jobs[known_id], command.spec)
        if command.job_id in self._jobs:
            return conflict("open_job", f"job id {command.job_id!r} is taken")
        job = Job(command.job_id, command.spec, self._next_sequence)
        self._next_sequence += 1
        self._add(job)
        return job.view()

    def _check_spec(self, command: OpenJob) -> Fault | None:
        spec = command.spec
        if not command.job_id or not spec.job_key:
            return invalid("open_job", "a job needs an id and a key")
        if spec.item_count < 0 or not math.isfinite(spec.deadline_unix_s):
            return invalid("open_job", "item count and deadline must be numbers from 0 on")
        if not 1 <= spec.max_attempts <= self._settings.max_attempts_count:
            limit = self._settings.max_attempts_count
            return invalid("open_job", f"max_attempts must be from 1 to {limit}")
        if spec.item_count > self._settings.max_job_items_count:
            detail = f"a job may have {self._settings.max_job_items_count} items"
            return Fault(FaultCode.TOO_LARGE, "state.open_job", detail)
        return None

    def _existing_job(self, job: Job, spec: JobSpec) -> JobView | Fault:
        known = (job.spec.content_digest, job.spec.item_count, job.spec.service)
        if known != (spec.content_digest, spec.item_count, spec.service):
            return conflict("open_job", f"job key {spec.job_key!r} has other content")
        return job.view()

    def _add(self, job: Job) -> None:
        self._jobs[job.job_id] = job
        self._job_ids[_job_key(job.spec)] = job.job_id

    def add_items(self, command: AddItems) -> Done | Fault:
        """Add a range of items to an open job; items that exist already are ignored."""
        job = self._jobs.get(command.job_id)
        if job is None:
            return not_found("add_items", f"there is no job {command.job_id!r}")
        if job.phase is JobPhase.CANCELLED:
            return cancelled("add_items", f"job {command.job_id!r} was cancelled")
        last_index = command.first_index + len(command.items)
        if command.first_index < 0 or last_index > job.spec.item_count:
            return invalid("add_items", f"job {command.job_id!r} has {job.spec.item_count} items")
        if job.phase is not JobPhase.OPEN:
            return Done()
        added = job.items.add(command.first_index, command.items)
        if added is None:
            return conflict("add_items", f"job {command.job_id!r} has other items there")
        job.pending += added
        return Done()

    def seal(self, command: SealJob) -> JobView | Fault:
        """Accept a job once all of its items have been added."""
        job = self._jobs.get(command.job_id)
        if job is None:
            return not_found("seal_job", f"there is no job {command.job_id!r}")
        if job.phase is JobPhase.CANCELLED:
            return cancelled("seal_job", f"job {command.job_id!r} was cancelled")
        if job.phase is not JobPhase.OPEN:
            return job.view()
        if job.pending != job.spec.item_count:
            detail = f"job {job.job_id!r} has {job.pending} of {job.spec.item_count} items"
            return conflict("seal_job", detail)
        job.phase = JobPhase.SEALED
        self.leases.enqueue(job)
        self.leases.complete_if_done(job)
        return job.view()

    def cancel(self, command: CancelJob) -> JobView | Fault:
        """Cancel a job; a completed job stays completed."""
        job = self._jobs.get(command.job_id)
        if job is None:
            return not_found("cancel_job", f"there is no job {command.job_id!r}")
        if job.phase in (JobPhase.COMPLETED, JobPhase.CANCELLED):
            return job.view()
        self.leases.withdraw(job)
        job.phase = JobPhase.CANCELLED
        job.items.cancel_unfinished()
        job.notes.clear()
        job.recount()
        return job.view()

    def forget(self, command: ForgetJob) -> Done | Fault:
        """Delete a job and its results, unless it is accepted and not finished."""
        job = self._jobs.get(command.job_id)
        if job is None:
            return Done()
        if job.phase is JobPhase.SEALED:
            return conflict("forget_job", f"job {command.job_id!r} is not finished")
        del self._jobs[job.job_id]
        del self._job_ids[_job_key(job.spec)]
        return Done()

    def records(self) -> Iterator[JobRecord | LeaseRecord]:
        """Yield the records of the whole ledger for a snapshot."""
        yield self.leases.counters(self._next_sequence)
        for job in self._jobs.values():
            yield job.record()
            yield from job.items.records(job.job_id)
            yield from job.results.records(job.job_id)
        yield from self.leases.records()

    def restore(self, record: JobRecord | LeaseRecord) -> None:
        """Restore one record of a snapshot; records come in the order of ``records``."""
        if isinstance(record, StoredJob):
            self._add(Job.restored(record))
        elif isinstance(record, StoredRange):
            self._jobs[record.job_id].items.restore(record)
        elif isinstance(record, StoredResults):
            self._jobs[record.job_id].results.restore(record)
        else:
            self._next_sequence = self.leases.restore(record, self._next_sequence)
