"""The last routing decisions, so that each can be explained afterwards."""

from collections import deque
from dataclasses import dataclass

from rainsail.gateway.router import RouteDecision


@dataclass(frozen=True, slots=True)
class KeptDecision:
    """A decision and the tenant whose request it was about."""

    tenant: str
    decision: RouteDecision


class DecisionRing:
    """Keeps a bounded number of decisions, the oldest leave first."""

    def __init__(self, limit: int) -> None:
        self._ring: deque[KeptDecision] = deque(maxlen=limit)

    def add(self, tenant: str, decision: RouteDecision) -> None:
        """Keep a decision about a tenant's request."""
        self._ring.append(KeptDecision(tenant, decision))

    def explain(self, request_id: str, tenant: str = "") -> tuple[RouteDecision, ...]:
        """Return the decisions kept for a request, oldest first (empty: none kept).

        With ``tenant`` only those about that tenant's request.
        """
        return tuple(
            kept.decision
            for kept in self._ring
            if kept.decision.request_id == request_id and tenant in ("", kept.tenant)
        )
