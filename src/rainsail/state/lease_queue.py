"""Weighted fair queueing of a service's jobs: by tokens between tenants, by deadline within one.

The algorithm is start-time fair queueing. Each tenant has a virtual service, which grows by the
tokens leased to it divided by its weight; the tenant with the lowest value is served next. A
tenant that becomes backlogged again resumes at the service's virtual time, so idle tenants build
up no credit. Within a tenant the job with the earliest deadline goes first, then the one opened
first. All arithmetic uses integers, so that replicas compute identical values.

A tenant that submits its next job only after the last one is done is idle for a moment in between.
Resuming at the virtual time each time would cost it a part of its share. After a short gap, its
virtual service is therefore shifted back to its value before the gap (Valente and Checconi, "High
Throughput Disk Scheduling with Fair Bandwidth Distribution", section II-E). The gap is measured in
tokens served to other tenants, because replicas share no clock.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict, SortedList

from rainsail.wire.codec import wire_record

VIRTUAL_UNITS_PER_TOKEN = 1_000
"""Fixed-point resolution of virtual service: keeps precision when dividing by a weight."""

BACK_SHIFT_TOKENS = 30_000
"""Maximum lag (at weight 1) for a shift back; a tenant that lags more counts as idle."""

MIN_WEIGHT = 0.001
MAX_WEIGHT = 1_000.0


@dataclass(frozen=True, slots=True, order=True)
class QueuedJob:
    """Sort key of a job among the jobs of its tenant."""

    deadline_unix_s: float
    sequence: int
    job_id: str


@wire_record("StoredTenantShare")
@dataclass(frozen=True, slots=True)
class StoredTenantShare:
    """A tenant's virtual service at one service, in a snapshot."""

    service: str
    tenant: str
    virtual_service: int


@wire_record("StoredVirtualTime")
@dataclass(frozen=True, slots=True)
class StoredVirtualTime:
    """A service's virtual time, in a snapshot."""

    service: str
    virtual_time: int


class _TenantQueue:
    """One tenant's jobs with pending items and its virtual service."""

    __slots__ = ("jobs", "virtual_service")

    def __init__(self) -> None:
        self.jobs: SortedList = SortedList()
        self.virtual_service = 0


class LeaseQueue:
    """The jobs of one service that have pending items."""

    def __init__(self, service: str) -> None:
        self._service = service
        self._tenants: SortedDict = SortedDict()
        self._order: SortedList = SortedList()
        self._virtual_time = 0
        self.pending = 0

    def add(self, tenant: str, job: QueuedJob) -> None:
        """Add a job that now has pending items."""
        queue = self._tenant(tenant)
        if not queue.jobs:
            queue.virtual_service = self._resumed_virtual_service(queue.virtual_service)
            self._order.add((queue.virtual_service, tenant))
        queue.jobs.add(job)

    def remove(self, tenant: str, job: QueuedJob) -> None:
        """Remove a job that has no pending items any more."""
        queue = self._tenants[tenant]
        queue.jobs.remove(job)
        if not queue.jobs:
            self._order.remove((queue.virtual_service, tenant))

    def next_job_id(self) -> str | None:
        """Return the id of the job to lease from next; None when nothing is pending."""
        if not self._order:
            return None
        _, tenant = self._order[0]
        return self._tenants[tenant].jobs[0].job_id

    def charge(self, tenant: str, tokens: int, weight: float) -> None:
        """Charge leased tokens to a tenant that has jobs in the queue."""
        queue = self._tenants[tenant]
        self._virtual_time = max(self._virtual_time, queue.virtual_service)
        self._move(tenant, queue, queue.virtual_service + virtual_cost(tokens, weight))

    def refund(self, tenant: str, tokens: int, weight: float) -> None:
        """Undo the charge of an item that was preempted or revoked."""
        queue = self._tenant(tenant)
        self._move(tenant, queue, max(0, queue.virtual_service - virtual_cost(tokens, weight)))

    def _resumed_virtual_service(self, ended_at: int) -> int:
        """Return the virtual service at which a tenant resumes after being idle."""
        lag = self._virtual_time - ended_at
        if ended_at > 0 and lag <= BACK_SHIFT_TOKENS * VIRTUAL_UNITS_PER_TOKEN:
            return ended_at
        return max(ended_at, self._virtual_time)

    def _tenant(self, tenant: str) -> _TenantQueue:
        queue = self._tenants.get(tenant)
        if queue is None:
            queue = self._tenants[tenant] = _TenantQueue()
        return queue

    def _move(self, tenant: str, queue: _TenantQueue, virtual_service: int) -> None:
        if queue.jobs:
            self._order.remove((queue.virtual_service, tenant))
            self._order.add((virtual_service, tenant))
        queue.virtual_service = virtual_service

    def records(self) -> Iterator[StoredVirtualTime | StoredTenantShare]:
        """Yield the snapshot records of the state that can't be rebuilt from the jobs."""
        yield StoredVirtualTime(self._service, self._virtual_time)
        for tenant, queue in self._tenants.items():
            yield StoredTenantShare(self._service, tenant, queue.virtual_service)

    def restore(self, record: StoredVirtualTime | StoredTenantShare) -> None:
        """Restore one record of a snapshot; the jobs must be added before."""
        if isinstance(record, StoredVirtualTime):
            self._virtual_time = record.virtual_time
        else:
            self._move(record.tenant, self._tenant(record.tenant), record.virtual_service)


def virtual_cost(tokens: int, weight: float) -> int:
    """Return the virtual service of ``tokens`` at a weight; a weight of NaN counts as 1."""
    bounded = min(max(weight, MIN_WEIGHT), MAX_WEIGHT) if weight == weight else 1.0
    weight_units = int(bounded * VIRTUAL_UNITS_PER_TOKEN)
    return tokens * VIRTUAL_UNITS_PER_TOKEN * VIRTUAL_UNITS_PER_TOKEN // weight_units
