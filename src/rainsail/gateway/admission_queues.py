"""What admission keeps per service: tickets that wait, counts of those that run."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from rainsail.errors import Fault
from rainsail.tenancy.fair_queue import FairQueue
from rainsail.tenancy.tenant_activity import TenantActivity

HOLD_TIME_SMOOTHING = 0.1
"""Weight of the newest request in the running mean of the time a slot is held."""


@dataclass(frozen=True, slots=True)
class Slots:
    """A service's online slots: how many there are, and how many others seem to hold."""

    total: float
    others: float


class TicketStatus(StrEnum):
    """Where a request stands in admission."""

    WAITING = "waiting"
    GRANTED = "granted"
    OVER = "over"


@dataclass(slots=True, eq=False)
class Ticket:
    """One request in admission. Exactly one of the two callbacks is called, at most once.

    ``cost_tokens`` is the prompt plus the most that may be generated; ``latest_start_s`` the
    clock time after which starting is of no use.
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
    """The requests of one service that wait, and counts of those that run."""

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
        """Return the queue of the ticket's class."""
        return self.batch if ticket.batch else self.online

    def free(self, slots: Slots) -> float:
        """Return the slots left for online requests, none of them promised to anyone."""
        return slots.total - slots.others - self.online_running

    def record_hold_time(self, hold_s: float) -> None:
        """Take the time that a request held its slot into the running mean."""
        self.holds_seen += 1
        weight = max(HOLD_TIME_SMOOTHING, 1.0 / self.holds_seen)
        self.mean_hold_s += (hold_s - self.mean_hold_s) * weight

    def running_of(self, ticket: Ticket) -> int:
        """Return how many requests of the ticket's tenant and class run."""
        return self.running.get((ticket.tenant, ticket.batch), 0)

    def count(self, ticket: Ticket, change: int) -> None:
        """Count a started or ended request."""
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
    """Estimate a request's wait: what goes before it, at the rate at which slots come free.

    With fair queues about as many requests of each other waiting tenant go before it as of its
    own; its own have no more than ``tenant_limit`` slots to pass through; batch requests wait
    for all online ones. Pure.
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
