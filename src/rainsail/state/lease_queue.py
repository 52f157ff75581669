"""Which job of a service is leased from next: fair by tokens between tenants, then by deadline.

Start-time fair queueing: each tenant has a virtual service, raised by the tokens leased to it
divided by its weight. The tenant with the least goes next; one that had nothing pending starts
again at the service's virtual time, so that idling saves nothing up. Within a tenant the job with
the earliest deadline goes first, then the one opened first. Integers only, so that every replica
computes the same.

A tenant that sends its next job once the last is done has nothing pending in between. Starting
again each time would take its share from it, so after a short gap its start is shifted back to
where it ended (Valente and Checconi, "High Throughput Disk Scheduling with Fair Bandwidth
Distribution", section II-E). The gap is counted in tokens served to others, as replicas share no
clock.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict, SortedList

from rainsail.wire.codec import wire_record

VIRTUAL_UNITS_PER_TOKEN = 1_000
"""Resolution of virtual service, so that dividing by a weight keeps enough digits."""

BACK_SHIFT_TOKENS = 30_000
"""A tenant that lags behind by more (at weight 1) was idle and starts again."""

MIN_WEIGHT = 0.001
MAX_WEIGHT = 1_000.0


@dataclass(frozen=True, slots=True, order=True)
class QueuedJob:
    """A job's place among the jobs of its tenant."""

    deadline_unix_s: float
    sequence: int
    job_id: str


@wire_record("StoredTenantShare")
@dataclass(frozen=True, slots=True)
class StoredTenantShare:
    """A tenant's virtual service at one service, for a snapshot."""

    service: str
    tenant: str
    virtual_service: int


@wire_record("StoredVirtualTime")
@dataclass(frozen=True, slots=True)
class StoredVirtualTime:
    """A service's virtual time, for a snapshot."""

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
        """Add a job that has got pending items."""
        queue = self._tenant(tenant)
        if not queue.jobs:
            queue.virtual_service = self._resumed_virtual_service(queue.virtual_service)
            self._order.add((queue.virtual_service, tenant))
        queue.jobs.add(job)

    def remove(self, tenant: str, job: QueuedJob) -> None:
        """Remove a job that has no pending items left."""
        queue = self._tenants[tenant]
        queue.jobs.remove(job)
        if not queue.jobs:
            self._order.remove((queue.virtual_service, tenant))

    def next_job_id(self) -> str | None:
        """Return the id of the job to lease from next, or None when nothing is pending."""
        if not self._order:
            return None
        _, tenant = self._order[0]
        return self._tenants[tenant].jobs[0].job_id

    def charge(self, tenant: str, tokens: int, weight: float) -> None:
        """Account for tokens leased to a tenant that is in the queue."""
        queue = self._tenants[tenant]
        self._virtual_time = max(self._virtual_time, queue.virtual_service)
        self._move(tenant, queue, queue.virtual_service + virtual_cost(tokens, weight))

    def refund(self, tenant: str, tokens: int, weight: float) -> None:
        """Take back the charge of an item that was preempted."""
        queue = self._tenant(tenant)
        self._move(tenant, queue, max(0, queue.virtual_service - virtual_cost(tokens, weight)))

    def _resumed_virtual_service(self, ended_at: int) -> int:
        """Return the virtual service at which a tenant that ended at one has work again."""
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
        """Yield what can't be rebuilt from the jobs, for a snapshot."""
        yield StoredVirtualTime(self._service, self._virtual_time)
        for tenant, queue in self._tenants.items():
            yield StoredTenantShare(self._service, tenant, queue.virtual_service)

    def restore(self, record: StoredVirtualTime | StoredTenantShare) -> None:
        """Take one record of a snapshot, after the jobs were added."""
        if isinstance(record, StoredVirtualTime):
            self._virtual_time = record.virtual_time
        else:
            self._move(record.tenant, self._tenant(record.tenant), record.virtual_service)


def virtual_cost(tokens: int, weight: float) -> int:
    """Return the virtual service of some tokens; a weight that is no number counts as one."""
    bounded = min(max(weight, MIN_WEIGHT), MAX_WEIGHT) if weight == weight else 1.0
    weight_units = int(bounded * VIRTUAL_UNITS_PER_TOKEN)
    return tokens * VIRTUAL_UNITS_PER_TOKEN * VIRTUAL_UNITS_PER_TOKEN // weight_units
