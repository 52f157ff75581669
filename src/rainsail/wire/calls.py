"""Tracks unanswered calls, so that the loss of a connection ends them at once."""

from collections import OrderedDict
from typing import Any

MAX_TRACKED_CALLS = 65536
"""Per peer. Beyond it the oldest are no longer tracked; the messenger's timeout still ends them."""


class UnansweredCalls:
    """Ids of unanswered calls by peer, each with the connection that it was sent on."""

    def __init__(self) -> None:
        self._connections: dict[str, OrderedDict[int, Any]] = {}

    def sent(self, peer: str, call_id: int, connection: Any) -> None:
        """Track a call."""
        calls = self._connections.setdefault(peer, OrderedDict())
        calls[call_id] = connection
        if len(calls) > MAX_TRACKED_CALLS:
            calls.popitem(last=False)

    def answered(self, peer: str, call_id: int) -> None:
        """Stop tracking a call that has its reply."""
        calls = self._connections.get(peer)
        if calls is not None:
            calls.pop(call_id, None)

    def pop_lost(self, peer: str, connection: Any) -> list[int]:
        """Remove and return the calls that were sent on a lost connection."""
        calls = self._connections.get(peer)
        if calls is None:
            return []
        lost = [call_id for call_id, used in calls.items() if used is connection]
        for call_id in lost:
            del calls[call_id]
        if not calls:
            del self._connections[peer]
        return lost
