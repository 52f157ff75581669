"""Calls that were sent and not answered yet, so that a lost link ends them at once."""

from collections import OrderedDict
from typing import Any

MAX_TRACKED_CALLS = 65536
"""Beyond it the oldest are forgotten here; the messenger's own timeout still ends them."""


class UnansweredCalls:
    """Call ids by peer, each with the link that it was sent on."""

    def __init__(self) -> None:
        self._links: dict[str, OrderedDict[int, Any]] = {}

    def sent(self, peer: str, call_id: int, link: Any) -> None:
        """Note a call."""
        calls = self._links.setdefault(peer, OrderedDict())
        calls[call_id] = link
        if len(calls) > MAX_TRACKED_CALLS:
            calls.popitem(last=False)

    def answered(self, peer: str, call_id: int) -> None:
        """Forget a call that got its reply."""
        calls = self._links.get(peer)
        if calls is not None:
            calls.pop(call_id, None)

    def take_lost(self, peer: str, link: Any) -> list[int]:
        """Return and forget the calls that were sent on a lost link."""
        calls = self._links.get(peer)
        if calls is None:
            return []
        lost = [call_id for call_id, used in calls.items() if used is link]
        for call_id in lost:
            del calls[call_id]
        if not calls:
            del self._links[peer]
        return lost
