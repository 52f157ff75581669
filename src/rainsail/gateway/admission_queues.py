"""Admission state per service: queues of waiting requests, counts of running ones."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from rainsail.errors import Fault
from rainsail.tenancy.fair_queue import FairQueue
from rainsail.tenancy.tenant_activity import TenantActivity

HOLD_TIME_SMOOTHING = 0.1
"""Weight of the newest sample in the moving average of how long a slot is held."""


@dataclass(frozen=True, slots=True)
class Slots:
    """Online slots of a service: the total, and the estimate held by other gateways."""

    total: float
    others: float


class TicketStatus(StrEnum):
    """Status of a request in admission."""

    WAITING = "waiting"
    GRANTED = "granted"
    OVER = "over"


@dataclass(slots=True, eq=False)
class Ticket:
    """One request in admission. At most one of the two callbacks is called, and only once.

    ``cost_tokens`` is the prompt plus the maximum that may be generated. ``latest_start_s`` is the
    clock time after which the request must not be started.
    """

    service: str
    tenant: str
    batch: bool
    cost_tokens: float
    latest_start_s: float
    on_granted: Callable[[], None]
    on_refused: Callable[[Fault], None]
    status: TicketStatus = TicketStatus.WAITING
    granted_s: float = 0.0
    timer: Any = None


@dataclass(slots=True)
class ServiceQueues:
    """Queues of the waiting requests of one service, and counts of its running requests."""

    online: FairQueue[Ticket] = field(default_factory=FairQueue)
    batch: FairQueue[Ticket] = field(default_factory=FairQueue)
    running: dict[tuple[str, bool], int] = field(default_factory=dict)
    online_running: int = 0
    batch_running: int = 0
    activity: TenantActivity = field(default_factory=TenantActivity)
    mean_hold_s: float = 0.0
    holds_seen: int = 0
    refill_timer: Any = None
    pumping: bool = False

    def queue_of(self, ticket: Ticket) -> FairQueue[Ticket]:
        """Return the queue for the ticket's class, online or batch."""
        return self.batch if ticket.batch else self.online

    def free(self, slots: Slots) -> float:
        """Return the number of free online slots; negative when overcommitted."""
        return slots.total - slots.others - self.online_running

    def record_hold_time(self, hold_s: float) -> None:
        """Update the moving average with the time that a request held its slot."""
        self.holds_seen += 1
        weight = max(HOLD_TIME_SMOOTHING, 1.0 / self.holds_seen)
        self.mean_hold_s += (hold_s - self.mean_hold_s) * weight

    def running_of(self, ticket: Ticket) -> int:
        """Return the number of running requests of the ticket's tenant and class."""
        return self.running.get((ticket.tenant, ticket.batch), 0)

    def count(self, ticket: Ticket, change: int) -> None:
        """Update the counts of running requests; ``change`` is 1 for a start, -1 for an end."""
        if ticket.batch:
            self.batch_running += change
        else:
            self.online_running += change
        running = self.running_of(ticket) + change
        if running:
            self.running[ticket.tenant, ticket.batch] = running
        else:
            del self.running[ticket.tenant, ticket.batch]


def estimated_wait_s(
    ticket: Ticket, queues: ServiceQueues, slots: Slots, tenant_limit: float
) -> float:
    """Estimate a request's wait in seconds from the requests ahead and the rate of freed slots.

    With fair queueing, about as many requests of each other waiting tenant are served first as of
    the request's own tenant. The tenant's own requests share at most ``tenant_limit`` slots. Batch
    requests wait for all online requests. Pure.
    """
    queue = queues.queue_of(ticket)
    own = queue.queued(ticket.tenant)
    ahead = min(own * max(1, len(queue.tenants())), len(queue))
    if ticket.batch:
        ahead = len(queue) + len(queues.online)
    needed = ahead + 1 - max(0.0, queues.free(slots))
    own_needed = own + 1 - max(0.0, tenant_limit - queues.running_of(ticket))
    rounds = max(0.0, needed / slots.total, own_needed / tenant_limit)
    return rounds * queues.mean_hold_s
