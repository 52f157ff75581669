"""Ring buffer of the latest routing decisions, for the explain route."""

from collections import deque
from dataclasses import dataclass

from rainsail.gateway.router import RouteDecision


@dataclass(frozen=True, slots=True)
class KeptDecision:
    """A routing decision and the tenant of its request."""

    tenant: str
    decision: RouteDecision


class DecisionRing:
    """Keeps up to ``limit`` decisions; the oldest are dropped first."""

    def __init__(self, limit: int) -> None:
        self._ring: deque[KeptDecision] = deque(maxlen=limit)

    def add(self, tenant: str, decision: RouteDecision) -> None:
        """Store a decision for a tenant's request."""
        self._ring.append(KeptDecision(tenant, decision))

    def explain(self, request_id: str, tenant: str = "") -> tuple[RouteDecision, ...]:
        """Return the stored decisions for a request, oldest first.

        If ``tenant`` is given, only those for that tenant's requests.
        """
        return tuple(
            kept.decision
            for kept in self._ring
            if kept.decision.request_id == request_id and tenant in ("", kept.tenant)
        )
