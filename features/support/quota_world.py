"""Gateways that admit requests of one limited tenant, in virtual time, with two allocators."""

import random
from collections import deque
from dataclasses import dataclass

from rainsail.node_metrics import NodeMetrics
from rainsail.routing.token_bucket import TokenBucket
from rainsail.simulation.clock import SkewedClock, VirtualClock
from rainsail.simulation.network import LinkConditions, SimulatedNetwork
from rainsail.tenancy.quota_allocator import QuotaAllocator
from rainsail.tenancy.quota_client import QuotaClient
from rainsail.tenancy.quota_decision import ADMITTED, QuotaDecision
from rainsail.tenancy.quota_service import QuotaService
from rainsail.tenancy.quota_terms import QuotaTerms
from rainsail.tenancy.tenants import Identity, RateLimit
from rainsail.wire.messenger import Messenger

TENANT = "tenant-1"
MAX_REFUND_S = 0.3
"""The time from an admission to its refund."""
STORAGE_NODES = ("storage-1", "storage-2")
GATEWAY_LINK = LinkConditions(delay_s=0.0009, jitter_s=0.0003)


@dataclass
class Admissions:
    """Counts of requests and refusals, and the times of admissions."""

    asked: int = 0
    refused: int = 0
    refused_within: int = 0
    """Refused, although a single bucket for all gateways would have admitted it."""
    admitted_s: list[float] = None  # type: ignore[assignment]

    def __post_init__(self) -> None:
        self.admitted_s = []


class QuotaGateway:
    """A gateway's process that runs only the quota client."""

    def __init__(self, world: "QuotaWorld", name: str) -> None:
        self.name = name
        self.clock = SkewedClock(world.clock)
        self.transport = world.network.transport(name)
        messenger = Messenger(self.transport, self.clock)
        self.client = QuotaClient(messenger, self.clock, world.terms, NodeMetrics())
        self.client.table_version = world.version

    def stop(self) -> None:
        """End the process."""
        self.clock.stop()
        self.transport.close()


class QuotaWorld:
    """Gateways, two storage nodes with an allocator each, of which one leads, and admissions."""

    def __init__(self, seed: int, gateways: int, limit: RateLimit) -> None:
        self.random = random.Random(seed)
        self._refund_random = random.Random(seed + 2)
        self.clock = VirtualClock()
        self.network = SimulatedNetwork(self.clock, random.Random(seed + 1), GATEWAY_LINK)
        self.terms = QuotaTerms()
        self.version = 1
        self.limit = limit
        self.limits: list[tuple[float, RateLimit]] = [(0.0, limit)]
        self.admissions = Admissions()
        self.last_decision = ADMITTED
        self.unused_share = 0.0
        """The share of the admitted requests that do not run, and are refunded."""
        self.leading = ""
        self.led_since_s = 0.0
        self.services: dict[str, QuotaService] = {}
        for name in STORAGE_NODES:
            self._start_storage_node(name)
        self.gateways = [QuotaGateway(self, f"gateway-{i}") for i in range(1, gateways + 1)]
        self._ideal = TokenBucket(limit.rate_per_s, limit.burst, 0.0)

    def _start_storage_node(self, name: str) -> None:
        messenger = Messenger(self.network.transport(name), self.clock)
        allocator = QuotaAllocator(self.terms)
        leads = lambda: self.leading == name  # noqa: E731
        self.services[name] = QuotaService(messenger, self.clock, allocator, leads)

    # --- events --------------------------------------------------------------------------

    def lead(self, name: str, notified_after_s: float = 0.0) -> None:
        """Make a node the leader, or none with an empty name; gateways are notified later."""
        self.leading = name
        if name:
            self.led_since_s = self.clock.seconds()
            self.services[name].leadership_changed(True)
            self.clock.callLater(notified_after_s, self._notify, name)

    def _notify(self, name: str) -> None:
        for gateway in self.gateways:
            gateway.client.set_allocator(name)

    def restart(self, number: int) -> None:
        """Restart a gateway's process; the new one knows the allocator's address immediately."""
        self.gateways[number].stop()
        name = self.gateways[number].name
        self.gateways[number] = QuotaGateway(self, name)
        self.gateways[number].client.set_allocator(self.leading)

    def set_limit(self, limit: RateLimit) -> None:
        """Put another limit in force at all gateways."""
        self.version += 1
        self.limit = limit
        self.limits.append((self.clock.seconds(), limit))
        self._ideal.set_rate(limit.rate_per_s, limit.burst, self.clock.seconds())
        for gateway in self.gateways:
            gateway.client.table_version = self.version

    # --- requests ------------------------------------------------------------------------

    def request(self, gateway: QuotaGateway) -> None:
        """Send a client's request and count its outcome."""
        now = self.clock.seconds()
        within = self._ideal.wait_s(1.0, now) <= 0
        if within:
            self._ideal.take(1.0, now)
        self.admissions.asked += 1
        identity = Identity(TENANT, True, self.limit)

        def decided(decision: QuotaDecision) -> None:
            if decision.is_admitted and self._refund_random.random() < self.unused_share:
                delay_s = self._refund_random.uniform(0.0, MAX_REFUND_S)
                self.clock.callLater(delay_s, gateway.client.give_back, identity, decision)
            else:
                self._decided(decision, within)

        gateway.client.admit(identity, decided)

    def _decided(self, decision: QuotaDecision, within: bool) -> None:
        self.last_decision = decision
        if decision.is_admitted:
            self.admissions.admitted_s.append(self.clock.seconds())
            return
        self.admissions.refused += 1
        self.admissions.refused_within += within

    def offer_load(
        self, per_s: float, for_s: float, gateways: list[QuotaGateway] | None = None
    ) -> None:
        """Send requests at random times, at a mean rate, to random ones of some gateways."""
        now = self.clock.seconds()
        at_s = now + self.random.expovariate(per_s)
        while at_s < now + for_s:
            self.clock.callLater(at_s - now, self._ask_one, gateways)
            at_s += self.random.expovariate(per_s)

    def _ask_one(self, gateways: list[QuotaGateway] | None) -> None:
        self.request(self.random.choice(gateways or self.gateways))

    # --- judging -------------------------------------------------------------------------

    def max_excess(self, limit: RateLimit, since_s: float = 0.0) -> float:
        """Return by how many requests the busiest window exceeds the terms; below 0: not at all."""
        allowed = limit.rate_per_s * self.terms.window_s + limit.burst
        allowed = allowed * (1 + self.terms.overshoot) + self.terms.slack
        window: deque[float] = deque()
        most = 0
        for at_s in self.admissions.admitted_s:
            if at_s < since_s:
                continue
            window.append(at_s)
            while window[0] < at_s - self.terms.window_s:
                window.popleft()
            most = max(most, len(window))
        return most - allowed
