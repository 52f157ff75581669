"""Leases of batch items: grant, commit, return, revoke.

Each lease gets a new fencing token (``fence``), higher than all earlier ones of the group.
A commit or a return takes effect only with the current fence of its item.
"""

from collections.abc import Callable, Iterator, MutableMapping
from dataclasses import replace

from rainsail.engine.prefix import count_tokens
from rainsail.state.commands import (
    CommitResults,
    CommitVerdict,
    Done,
    ItemBody,
    ItemRef,
    ItemResult,
    ItemsLeased,
    JobPhase,
    LeasedItem,
    LeaseItems,
    ResultsCommitted,
    ReturnedItem,
    ReturnItems,
    RevokeLeases,
)
from rainsail.state.held_items import HeldItems
from rainsail.state.job import Job, Lease
from rainsail.state.job_items import CANCELLED, COMPLETED, LEASED, PENDING, SET_ASIDE
from rainsail.state.lease_queue import LeaseQueue, StoredTenantShare, StoredVirtualTime
from rainsail.state.lease_requests import AnsweredLease, LeaseRequests, LedgerCounters
from rainsail.state.result_log import FinishedItem
from rainsail.state.settings import StateSettings

LeaseRecord = LedgerCounters | AnsweredLease | StoredVirtualTime | StoredTenantShare


def item_tokens(body: ItemBody) -> int:
    """Return the most tokens an item may cost: its prompt and the limit of its answer."""
    return count_tokens(body.prompt) + max(0, body.max_tokens)


class ItemLeases:
    """Live leases by holder and the queues of pending items by service."""

    def __init__(
        self,
        settings: StateSettings,
        jobs: MutableMapping[str, Job],
        tenant_weight: Callable[[str], float | None],
    ) -> None:
        self._jobs = jobs
        self._tenant_weight = tenant_weight
        self._queues: dict[str, LeaseQueue] = {}
        self._held = HeldItems()
        self._requests = LeaseRequests(settings)
        self._last_fence = 0
        self._stored_shares: list[StoredVirtualTime | StoredTenantShare] = []

    # --- reads ---

    def holders(self) -> list[str]:
        """Return all holders with a live lease, sorted."""
        return self._held.holders()

    def held_by(self, holder: str) -> list[ItemRef]:
        """Return the items leased to a holder, by job and index."""
        return [self._ref(*held) for held in self._held.items_of(holder)]

    def holds(self, holder: str, ref: ItemRef) -> bool:
        """Return whether an item is still leased to the holder under exactly this fence."""
        lease = self._lease(ref)
        return lease is not None and (lease.holder, lease.fence) == (holder, ref.fence)

    def backlog(self, service: str) -> int:
        """Return the number of pending items of a service's sealed jobs."""
        queue = self._queues.get(service)
        return 0 if queue is None else queue.pending

    def backlogs(self) -> dict[str, int]:
        """Return the number of pending items by service, in name order, without zeros."""
        return {
            name: queue.pending for name, queue in sorted(self._queues.items()) if queue.pending
        }

    def _weight(self, job: Job) -> float:
        """Return the tenant's declared weight, or else its weight at submission."""
        declared = self._tenant_weight(job.spec.tenant)
        return job.spec.tenant_weight if declared is None else declared

    def _ref(self, job_id: str, index: int) -> ItemRef:
        return ItemRef(job_id, index, self._jobs[job_id].leases[index].fence)

    def _lease(self, ref: ItemRef) -> Lease | None:
        job = self._jobs.get(ref.job_id)
        return None if job is None else job.leases.get(ref.index)

    # --- queueing ---

    def enqueue(self, job: Job) -> None:
        """Queue the pending items of a job that has just been sealed."""
        queue = self._queue(job.spec.service)
        queue.pending += job.pending
        if job.pending:
            queue.add(job.spec.tenant, job.queued())

    def withdraw(self, job: Job) -> None:
        """Revoke all leases of a job and remove its items from the queue."""
        for lease in job.leases.values():
            self._held.remove(lease.holder, job.job_id, lease.index)
        job.leases.clear()
        if job.phase is JobPhase.SEALED:
            queue = self._queue(job.spec.service)
            queue.pending -= job.pending
            if job.pending:
                queue.remove(job.spec.tenant, job.queued())

    def complete_if_done(self, job: Job) -> None:
        """Mark a job as completed once all of its items have finished."""
        if job.is_done():
            job.phase = JobPhase.COMPLETED

    def _queue(self, service: str) -> LeaseQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = LeaseQueue(service)
        return queue

    # --- leasing ---

    def lease(self, command: LeaseItems) -> ItemsLeased:
        """Lease pending items; a re-sent request gets the items that it still holds.

        The first item is leased even if it costs more than ``max_tokens``: otherwise a large
        item would starve.
        """
        known = self._requests.first_answer(command.holder, command.request_id)
        if known is not None:
            current = [ref for ref in known if self.holds(command.holder, ref)]
            return self._leased([self._leased_item(ref) for ref in current], command.service)
        items = self._lease_new(command)
        refs = tuple(item.ref for item in items)
        self._requests.remember(AnsweredLease(command.holder, command.request_id, refs))
        return self._leased(items, command.service)

    def _leased(self, items: list[LeasedItem], service: str) -> ItemsLeased:
        return ItemsLeased(tuple(items), self.backlog(service))

    def _lease_new(self, command: LeaseItems) -> list[LeasedItem]:
        items: list[LeasedItem] = []
        queue = self._queues.get(command.service)
        if queue is None:
            return items
        tokens_left = command.max_tokens
        while len(items) < command.max_items:
            job_id = queue.next_job_id()
            if job_id is None:
                break
            job = self._jobs[job_id]
            index = job.items.next_pending()
            body = job.items.body(index)
            tokens = item_tokens(body)
            if items and tokens > tokens_left:
                break
            tokens_left -= tokens
            lease = self._grant(queue, job, index, command.holder, tokens)
            items.append(job.leased_item(lease, body))
        return items

    def _grant(self, queue: LeaseQueue, job: Job, index: int, holder: str, tokens: int) -> Lease:
        self._last_fence += 1
        lease = Lease(index, holder, self._last_fence, tokens)
        job.leases[index] = lease
        job.items.set_phase(index, LEASED)
        job.pending -= 1
        queue.pending -= 1
        queue.charge(job.spec.tenant, tokens, self._weight(job))
        if not job.pending:
            queue.remove(job.spec.tenant, job.queued())
        self._held.add(holder, job.job_id, index)
        return lease

    def _leased_item(self, ref: ItemRef) -> LeasedItem:
        job = self._jobs[ref.job_id]
        return job.leased_item(job.leases[ref.index], job.items.body(ref.index))

    def _end_lease(self, job: Job, lease: Lease) -> None:
        del job.leases[lease.index]
        self._held.remove(lease.holder, job.job_id, lease.index)

    # --- results ---

    def commit(self, command: CommitResults) -> ResultsCommitted:
        """Commit each result whose item is leased to the holder under the result's fence."""
        return ResultsCommitted(
            tuple(self._commit_one(command.holder, result) for result in command.results)
        )

    def _commit_one(self, holder: str, result: ItemResult) -> CommitVerdict:
        ref = result.ref
        job = self._jobs.get(ref.job_id)
        if job is None or not 0 <= ref.index < job.spec.item_count:
            return CommitVerdict.UNKNOWN_ITEM
        phase = job.items.phases[ref.index]
        if phase == COMPLETED:
            return CommitVerdict.ALREADY_COMMITTED
        if phase == CANCELLED:
            return CommitVerdict.CANCELLED
        if not self.holds(holder, ref):
            return CommitVerdict.FENCED
        self._end_lease(job, job.leases[ref.index])
        custom_id = job.items.body(ref.index).custom_id
        ended = FinishedItem(custom_id, result.text, result.generated_tokens, "")
        job.finish(ref.index, COMPLETED, ended)
        job.completed += 1
        self.complete_if_done(job)
        return CommitVerdict.COMMITTED

    # --- returns ---

    def return_items(self, command: ReturnItems) -> Done:
        """Return items to the queue; ignores items that the holder no longer leases."""
        for item in command.items:
            if self.holds(command.holder, item.ref):
                self._return_item(self._jobs[item.ref.job_id], item)
        return Done()

    def _return_item(self, job: Job, item: ReturnedItem) -> None:
        index = item.ref.index
        note = replace(job.note(index), generated_prefix=item.generated_prefix)
        if item.failure:
            note = replace(note, attempts=note.attempts + 1)
        if note.attempts >= job.spec.max_attempts:
            self._set_aside(job, index, item.failure)
            return
        job.store_note(note)
        self._requeue(job, job.leases[index], refund=not item.failure)

    def _set_aside(self, job: Job, index: int, failure: str) -> None:
        self._end_lease(job, job.leases[index])
        custom_id = job.items.body(index).custom_id
        job.finish(index, SET_ASIDE, FinishedItem(custom_id, "", 0, failure))
        job.set_aside += 1
        self.complete_if_done(job)

    def _requeue(self, job: Job, lease: Lease, refund: bool) -> None:
        self._end_lease(job, lease)
        job.items.set_phase(lease.index, PENDING)
        queue = self._queue(job.spec.service)
        if refund:
            queue.refund(job.spec.tenant, lease.tokens, self._weight(job))
        if not job.pending:
            queue.add(job.spec.tenant, job.queued())
        job.pending += 1
        queue.pending += 1

    def revoke(self, command: RevokeLeases) -> Done:
        """Return all items of a holder to the queue; like a preemption, it uses up no attempt."""
        for job_id, index in self._held.items_of(command.holder):
            job = self._jobs[job_id]
            self._requeue(job, job.leases[index], refund=True)
        return Done()

    # --- snapshots ---

    def counters(self, next_sequence: int) -> LedgerCounters:
        """Return the ledger's counters for a snapshot."""
        return LedgerCounters(self._last_fence, next_sequence)

    def records(self) -> Iterator[LeaseRecord]:
        """Yield the snapshot records of the state that can't be rebuilt from the jobs."""
        for service in sorted(self._queues):
            yield from self._queues[service].records()
        yield from self._requests.records()

    def restore(self, record: LeaseRecord, next_sequence: int) -> int:
        """Restore one record of a snapshot; return the ledger's next job sequence number."""
        if isinstance(record, LedgerCounters):
            self._last_fence = record.last_fence
            return record.next_sequence
        if isinstance(record, AnsweredLease):
            self._requests.restore(record)
        else:
            self._stored_shares.append(record)
        return next_sequence

    def finish_restore(self) -> None:
        """Rebuild the indexes of leases and the queues after all records are restored."""
        self._rebuild_from_jobs()
        for record in self._stored_shares:
            self._queue(record.service).restore(record)
        self._stored_shares.clear()

    def _rebuild_from_jobs(self) -> None:
        for job in self._jobs.values():
            for lease in job.leases.values():
                self._held.add(lease.holder, job.job_id, lease.index)
            if job.phase is JobPhase.SEALED:
                self.enqueue(job)
