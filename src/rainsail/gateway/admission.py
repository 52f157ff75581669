"""Admission: who may start now, who waits, and who is told at once to come back later.

Per service there is one fair queue of online requests and one of batch requests; the second
is looked at only when the first is empty. A request that cannot start in time is refused when
that is known, not when the time has passed. Every refusal is NOT_RUN with a time to come back.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from rainsail.errors import Fault, FaultCode
from rainsail.gateway.fair_queue import FairQueue
from rainsail.gateway.settings import AdmissionSettings
from rainsail.runtime.clock import Clock

STEP = "gateway.admission"
HOLD_TIME_SMOOTHING = 0.1
"""Weight of the newest request in the running mean of the time a slot is held."""
SHORTEST_REFILL_S = 0.001
"""Least delay of the timer that waits for a bucket to fill."""
TENANT_ACTIVE_S = 10.0
"""A tenant counts as active this long after its last request, for the slot limit."""


class Quotas(Protocol):
    """The tenants' buckets (``rainsail.gateway.quota.TenantQuotas``)."""

    def weight(self, tenant: str) -> float:
        """Return the tenant's weight."""
        ...

    def wait_s(self, tenant: str, tokens: float) -> float:
        """Return the seconds until the tenant's bucket covers ``tokens``."""
        ...

    def take(self, tenant: str, tokens: float) -> None:
        """Charge the tenant."""
        ...

    def give_back(self, tenant: str, tokens: float) -> None:
        """Return unused tokens."""
        ...

    def refused(self, tenant: str, tokens: float) -> None:
        """Count refused demand."""
        ...


@dataclass(frozen=True, slots=True)
class Slots:
    """A service's online slots: how many there are, and how many are free for this gateway."""

    total: float
    free: float


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
class _ServiceQueues:
    online: FairQueue[Ticket] = field(default_factory=FairQueue)
    batch: FairQueue[Ticket] = field(default_factory=FairQueue)
    running: dict[str, int] = field(default_factory=dict)
    last_active_s: dict[str, float] = field(default_factory=dict)
    mean_hold_s: float = 0.0
    refill_timer: Any = None
    pumping: bool = False


class Admission:
    """Grants, queues and refuses requests of every service at one gateway."""

    def __init__(
        self,
        quotas: Quotas,
        slots: Callable[[str], Slots],
        clock: Clock,
        settings: AdmissionSettings,
    ) -> None:
        self._quotas = quotas
        self._slots = slots
        self._clock = clock
        self._settings = settings
        self._services: dict[str, _ServiceQueues] = {}

    def offer(self, ticket: Ticket) -> None:
        """Grant, queue or refuse a request; callbacks may come before this returns."""
        queues = self._services.setdefault(ticket.service, _ServiceQueues())
        now_s = self._clock.seconds()
        queues.last_active_s[ticket.tenant] = now_s
        fault = self._refusal(ticket, queues, now_s)
        if fault is not None:
            self._refuse(ticket, fault)
            return
        queue = queues.batch if ticket.batch else queues.online
        weight = self._quotas.weight(ticket.tenant)
        queue.push(ticket.tenant, weight, ticket.cost_tokens, ticket)
        self.pump(ticket.service)
        if ticket.status == TicketStatus.WAITING:
            limit_s = min(self._settings.max_queue_s, ticket.latest_start_s - now_s)
            ticket.timer = self._clock.callLater(max(0.0, limit_s), self._expire, ticket)

    def release(self, ticket: Ticket, used_tokens: float) -> None:
        """Take a granted request's slot back and return the tokens that it did not use."""
        if ticket.status != TicketStatus.GRANTED:
            return
        ticket.status = TicketStatus.OVER
        queues = self._services[ticket.service]
        queues.running[ticket.tenant] -= 1
        if not queues.running[ticket.tenant]:
            del queues.running[ticket.tenant]
        hold_s = self._clock.seconds() - ticket.granted_s
        queues.mean_hold_s += (hold_s - queues.mean_hold_s) * HOLD_TIME_SMOOTHING
        self._quotas.give_back(ticket.tenant, ticket.cost_tokens - used_tokens)
        self.pump(ticket.service)

    def withdraw(self, ticket: Ticket) -> None:
        """Take a waiting request out of its queue (its caller has left)."""
        queues = self._services.get(ticket.service)
        if queues is None or ticket.status != TicketStatus.WAITING:
            return
        ticket.status = TicketStatus.OVER
        (queues.batch if ticket.batch else queues.online).remove(ticket.tenant, ticket)
        self._stop_timer(ticket)

    def waiting(self, service: str) -> int:
        """Return how many requests of a service wait."""
        queues = self._services.get(service)
        return len(queues.online) + len(queues.batch) if queues else 0

    # --- decisions ----------------------------------------------------------------------------

    def _refusal(self, ticket: Ticket, queues: _ServiceQueues, now_s: float) -> Fault | None:
        slots = self._slots(ticket.service)
        if slots.total <= 0:
            detail = f"no runner of {ticket.service} takes work now"
            return self._fault(FaultCode.UNAVAILABLE, detail, self._settings.max_queue_s)
        queue = queues.batch if ticket.batch else queues.online
        limit_s = min(self._settings.max_queue_s, ticket.latest_start_s - now_s)
        quota_wait_s = self._quotas.wait_s(ticket.tenant, ticket.cost_tokens)
        if quota_wait_s > limit_s:
            return self._fault(FaultCode.OVER_LIMIT, "the tenant's tokens are used", quota_wait_s)
        queue_wait_s = self._estimated_wait_s(ticket, queue, queues, slots)
        if queue_wait_s > limit_s:
            return self._fault(FaultCode.OVERLOADED, "the queue is too long", queue_wait_s)
        if queue.queued(ticket.tenant) >= self._settings.max_queued_per_tenant:
            return self._fault(FaultCode.OVER_LIMIT, "too many waiting", queue_wait_s)
        if len(queue) >= self._settings.max_queued:
            return self._fault(FaultCode.OVERLOADED, "the queue is full", queue_wait_s)
        return None

    def _estimated_wait_s(
        self, ticket: Ticket, queue: FairQueue[Ticket], queues: _ServiceQueues, slots: Slots
    ) -> float:
        """Estimate the wait: what goes before, at the rate at which slots come free."""
        ahead = queue.queued(ticket.tenant) * max(1, len(queue.tenants()))
        ahead = min(ahead, len(queue))
        if ticket.batch:
            ahead = len(queue) + len(queues.online)
        needed = ahead + 1 - max(0.0, slots.free)
        return max(0.0, needed) * queues.mean_hold_s / slots.total

    def _tenant_limit(self, tenant: str, queues: _ServiceQueues, slots: Slots) -> float:
        oldest_s = self._clock.seconds() - TENANT_ACTIVE_S
        others = any(
            other != tenant and seen_s >= oldest_s for other, seen_s in queues.last_active_s.items()
        )
        if not others:
            return slots.total
        return max(1.0, slots.total * self._settings.tenant_slot_fraction)

    def pump(self, service: str) -> None:
        """Start waiting requests while there are slots."""
        queues = self._services.get(service)
        if queues is None or queues.pumping or not (queues.online or queues.batch):
            return
        queues.pumping = True
        try:
            while self._start_next(service, queues):
                pass
        finally:
            queues.pumping = False
        self._wait_for_refill(service, queues)

    def _start_next(self, service: str, queues: _ServiceQueues) -> bool:
        slots = self._slots(service)
        if slots.free < 1.0:
            return False

        def eligible(ticket: Ticket) -> bool:
            running = queues.running.get(ticket.tenant, 0)
            if running >= self._tenant_limit(ticket.tenant, queues, slots):
                return False
            return self._quotas.wait_s(ticket.tenant, ticket.cost_tokens) <= 0.0

        ticket = queues.online.pop(eligible)
        if ticket is None and not queues.online:
            ticket = queues.batch.pop(eligible)
        if ticket is None:
            return False
        self._grant(ticket, queues)
        return True

    def _grant(self, ticket: Ticket, queues: _ServiceQueues) -> None:
        self._stop_timer(ticket)
        self._quotas.take(ticket.tenant, ticket.cost_tokens)
        queues.running[ticket.tenant] = queues.running.get(ticket.tenant, 0) + 1
        ticket.status = TicketStatus.GRANTED
        ticket.granted_s = self._clock.seconds()
        ticket.on_granted()

    def _wait_for_refill(self, service: str, queues: _ServiceQueues) -> None:
        if queues.refill_timer is not None:
            queues.refill_timer.cancel()
            queues.refill_timer = None
        waits = [
            self._quotas.wait_s(head.tenant, head.cost_tokens)
            for queue in (queues.online, queues.batch)
            for head in queue.heads()
        ]
        waits = [wait_s for wait_s in waits if 0.0 < wait_s < float("inf")]
        if waits:
            delay_s = max(min(waits), SHORTEST_REFILL_S)
            queues.refill_timer = self._clock.callLater(delay_s, self._refilled, service)

    def _refilled(self, service: str) -> None:
        self._services[service].refill_timer = None
        self.pump(service)

    def _expire(self, ticket: Ticket) -> None:
        ticket.timer = None
        self.withdraw(ticket)
        queues = self._services[ticket.service]
        retry_s = max(queues.mean_hold_s, self._settings.min_retry_after_s)
        self._refuse(
            ticket, self._fault(FaultCode.OVERLOADED, "waited as long as allowed", retry_s)
        )

    def _refuse(self, ticket: Ticket, fault: Fault) -> None:
        ticket.status = TicketStatus.OVER
        self._quotas.refused(ticket.tenant, ticket.cost_tokens)
        ticket.on_refused(fault)

    def _fault(self, code: FaultCode, detail: str, retry_after_s: float) -> Fault:
        retry_s = max(self._settings.min_retry_after_s, retry_after_s)
        retry_s = min(self._settings.max_retry_after_s, retry_s)
        return Fault(code, STEP, detail, retry_after_s=retry_s)

    @staticmethod
    def _stop_timer(ticket: Ticket) -> None:
        if ticket.timer is not None:
            ticket.timer.cancel()
            ticket.timer = None
