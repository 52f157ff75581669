"""Admission control: starts, queues or refuses requests.

Each service has a fair queue of online requests and one of batch requests; the batch queue is
served only while the online queue is empty. A request whose estimated wait exceeds its limit is
refused on arrival instead of after a timeout. Every refusal has the outcome NOT_RUN and a
retry-after time.
"""

from collections.abc import Callable
from typing import Protocol

from rainsail.errors import Fault, FaultCode
from rainsail.gateway.admission_queues import (
    ServiceQueues,
    Slots,
    Ticket,
    TicketStatus,
    estimated_wait_s,
)
from rainsail.gateway.settings import AdmissionSettings
from rainsail.runtime.clock import Clock

STEP = "gateway.admission"
MIN_REFILL_DELAY_S = 0.001
"""Minimum delay of the timer that waits for a token bucket to refill."""
TENANT_ACTIVE_S = 10.0
"""Seconds after its last request for which a tenant counts as active in the slot limit."""


class Quotas(Protocol):
    """The token buckets of the tenants; implemented by ``rainsail.gateway.quota.TenantQuotas``."""

    def weight(self, tenant: str) -> float:
        """Return the tenant's weight in the fair queues."""
        ...

    def wait_s(self, tenant: str, tokens: float) -> float:
        """Return the seconds until the tenant's bucket covers ``tokens``."""
        ...

    def take(self, tenant: str, tokens: float) -> None:
        """Take ``tokens`` from the tenant's bucket."""
        ...

    def give_back(self, tenant: str, tokens: float) -> None:
        """Refund unused tokens to the tenant's bucket."""
        ...

    def expected_wait_s(self, tenant: str, tokens: float, ahead: float) -> float:
        """Return the expected wait in seconds behind ``ahead`` queued tokens.

        It takes into account a quota share that control is about to lend.
        """
        ...

    def record_shortfall(self, tenant: str, tokens: float) -> None:
        """Count tokens that could not be granted at once as demand."""
        ...


class Admission:
    """Admission control of one gateway, for all services."""

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
        self._services: dict[str, ServiceQueues] = {}

    def offer(self, ticket: Ticket) -> None:
        """Grant, queue or refuse a request; callbacks may be called before this returns."""
        queues = self._services.setdefault(ticket.service, ServiceQueues())
        now_s = self._clock.seconds()
        queues.activity.seen(ticket.tenant, now_s)
        fault = self._refusal(ticket, queues, now_s)
        if fault is not None:
            self._refuse(ticket, fault)
            return
        weight = self._quotas.weight(ticket.tenant)
        queues.queue_of(ticket).push(ticket.tenant, weight, ticket.cost_tokens, ticket)
        self.pump(ticket.service)
        if ticket.status == TicketStatus.WAITING:
            limit_s = min(self._settings.max_queue_s, ticket.latest_start_s - now_s)
            ticket.timer = self._clock.callLater(max(0.0, limit_s), self._expire, ticket)

    def release(self, ticket: Ticket, used_tokens: float) -> None:
        """Free a granted request's slot and refund the tokens that it did not use."""
        if ticket.status != TicketStatus.GRANTED:
            return
        ticket.status = TicketStatus.OVER
        queues = self._services[ticket.service]
        queues.count(ticket, -1)
        hold_s = self._clock.seconds() - ticket.granted_s
        queues.record_hold_time(hold_s)
        self._quotas.give_back(ticket.tenant, ticket.cost_tokens - used_tokens)
        self.pump(ticket.service)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting request from its queue, for example when its caller disconnects."""
        queues = self._services.get(ticket.service)
        if queues is None or ticket.status != TicketStatus.WAITING:
            return
        ticket.status = TicketStatus.OVER
        queues.queue_of(ticket).remove(ticket.tenant, ticket)
        self._stop_timer(ticket)

    def pump_all(self) -> None:
        """Start waiting requests of all services; called when the tenants' shares have changed."""
        for service in list(self._services):
            self.pump(service)

    def waiting(self, service: str) -> int:
        """Return the number of waiting requests of a service."""
        queues = self._services.get(service)
        return len(queues.online) + len(queues.batch) if queues else 0

    def waiting_everywhere(self) -> int:
        """Return the number of waiting requests of all services."""
        return sum(self.waiting(service) for service in self._services)

    # --- decisions ----------------------------------------------------------------------------

    def _refusal(self, ticket: Ticket, queues: ServiceQueues, now_s: float) -> Fault | None:
        slots = self._slots(ticket.service)
        if slots.total <= 0:
            detail = f"no runner of {ticket.service} takes work now"
            return self._fault(FaultCode.UNAVAILABLE, detail, self._settings.max_queue_s)
        queue = queues.queue_of(ticket)
        limit_s = min(self._settings.max_queue_s, ticket.latest_start_s - now_s)
        quota_wait_s = self._quotas.expected_wait_s(
            ticket.tenant, ticket.cost_tokens, queue.queued_cost(ticket.tenant)
        )
        if quota_wait_s > 0.0:
            self._quotas.record_shortfall(ticket.tenant, ticket.cost_tokens)
        if quota_wait_s > limit_s:
            return self._fault(FaultCode.OVER_LIMIT, "the tenant's tokens are used", quota_wait_s)
        queue_wait_s = estimated_wait_s(
            ticket, queues, slots, self._tenant_limit(ticket.tenant, queues, slots)
        )
        if queue_wait_s > limit_s:
            return self._fault(FaultCode.OVERLOADED, "the queue is too long", queue_wait_s)
        if queue.queued(ticket.tenant) >= self._settings.max_queued_per_tenant:
            return self._fault(FaultCode.OVER_LIMIT, "too many waiting", queue_wait_s)
        if len(queue) >= self._settings.max_queued:
            return self._fault(FaultCode.OVERLOADED, "the queue is full", queue_wait_s)
        return None

    def _tenant_limit(self, tenant: str, queues: ServiceQueues, slots: Slots) -> float:
        """Return how many slots a tenant may hold.

        All of them while no other tenant is active. Otherwise the fraction
        ``tenant_slot_fraction``, or the tenant's weighted share when that is larger.
        """
        other = queues.activity.other_than(tenant, self._clock.seconds() - TENANT_ACTIVE_S)
        if not other:
            return slots.total
        own_weight = self._quotas.weight(tenant)
        weighted_share = own_weight / (own_weight + self._quotas.weight(other))
        fraction = max(self._settings.tenant_slot_fraction, weighted_share)
        return max(1.0, slots.total * fraction)

    def pump(self, service: str) -> None:
        """Start waiting requests of a service while slots are free."""
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

    def _start_next(self, service: str, queues: ServiceQueues) -> bool:
        slots = self._slots(service)

        def eligible(ticket: Ticket) -> bool:
            running = queues.running_of(ticket)
            if running >= self._tenant_limit(ticket.tenant, queues, slots):
                return False
            return self._quotas.wait_s(ticket.tenant, ticket.cost_tokens) <= 0.0

        ticket = None
        if queues.free(slots) >= 1.0:
            ticket = queues.online.pop(eligible)
        if ticket is None and not queues.online and queues.batch_running < slots.total:
            ticket = queues.batch.pop(eligible)
        if ticket is None:
            return False
        self._grant(ticket, queues)
        return True

    def _grant(self, ticket: Ticket, queues: ServiceQueues) -> None:
        self._stop_timer(ticket)
        self._quotas.take(ticket.tenant, ticket.cost_tokens)
        queues.count(ticket, 1)
        ticket.status = TicketStatus.GRANTED
        ticket.granted_s = self._clock.seconds()
        ticket.on_granted()

    def _wait_for_refill(self, service: str, queues: ServiceQueues) -> None:
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
            delay_s = max(min(waits), MIN_REFILL_DELAY_S)
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
            ticket,
            self._fault(FaultCode.OVERLOADED, "waited as long as allowed", retry_s),
        )

    def _refuse(self, ticket: Ticket, fault: Fault) -> None:
        ticket.status = TicketStatus.OVER
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
