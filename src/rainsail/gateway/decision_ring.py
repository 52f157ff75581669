"""The last routing decisions, so that each can be explained afterwards."""

from collections import deque

from rainsail.gateway.router import RouteDecision


class DecisionRing:
    """Keeps a bounded number of decisions, the oldest leave first."""

    def __init__(self, limit: int) -> None:
        self._ring: deque[RouteDecision] = deque(maxlen=limit)

    def add(self, decision: RouteDecision) -> None:
        """Keep a decision."""
        self._ring.append(decision)

    def explain(self, request_id: str) -> tuple[RouteDecision, ...]:
        """Return the decisions kept for a request, oldest first (empty: none kept)."""
        return tuple(each for each in self._ring if each.request_id == request_id)
