"""Asks the ledger's leader where to send a request while its service is busy.

An answer takes a round trip between zones, a few milliseconds. If the leader does not answer, the
gateway chooses by its own data, and does not ask again for ``RETRY_PAUSE_S``.
"""

from collections.abc import Callable

from expression import Result

from rainsail.errors import Fault
from rainsail.node_metrics import NodeMetrics
from rainsail.routing.messages import Placement, PlaceRequest
from rainsail.runtime.clock import Clock
from rainsail.wire.messenger import Messenger

ANSWER_TIMEOUT_S = 0.04
"""How long a request waits for the leader's answer.

Longer than a busy leader takes, and short compared with any target for a first byte.
"""
RETRY_PAUSE_S = 0.5
"""Pause after an unanswered call: the time in which the group elects a new leader."""
BUSY_VALID_S = 0.4
"""How long a service counts as busy after the leader has reported it.

Several of the leader's report periods; its reports follow those of this gateway.
"""

Placed = Callable[[Placement | None], None]
"""Called with the placement, or with None if the gateway has to choose."""


class PlacementClient:
    """Requests placements from the ledger's leader."""

    def __init__(self, messenger: Messenger, clock: Clock, metrics: NodeMetrics) -> None:
        self._messenger = messenger
        self._clock = clock
        self._metrics = metrics
        self._leader = ""
        self._ask_after_s = float("-inf")
        self._busy_until_s: dict[str, float] = {}
        self.seen = 0
        """The highest placement number received from this leader."""
        self.on_placed: Callable[[], None] = lambda: None
        """Called after each placement; the next load report to the leader confirms it."""

    def set_leader(self, address: str) -> None:
        """Set the node to ask; empty when no leader is known."""
        self._leader = address
        self._ask_after_s = float("-inf")
        self._busy_until_s.clear()
        self.seen = 0

    def update_busy(self, service: str, places: bool) -> None:
        """Record the leader's report on whether it places requests of a service."""
        if places:
            self._busy_until_s[service] = self._clock.seconds() + BUSY_VALID_S
        else:
            self._busy_until_s.pop(service, None)

    def place(self, request: PlaceRequest, placed: Placed, must_ask: bool = False) -> None:
        """Ask the leader to place a request if the service is busy; always call ``placed``.

        With ``must_ask`` the leader is asked even if it has not reported the service as busy.
        """
        now = self._clock.seconds()
        busy = self._busy_until_s.get(request.service, float("-inf")) >= now
        if not self._leader or not (must_ask or busy) or now < self._ask_after_s:
            placed(None)
            return
        leader = self._leader
        reply = self._messenger.call(leader, request, ANSWER_TIMEOUT_S)
        reply.addCallback(lambda result: placed(self._take_reply(result, leader)))

    def _take_reply(self, result: Result[Placement, Fault], leader: str) -> Placement | None:
        outcome = "missed" if result.is_error() else "answered"
        self._metrics.count("placements_asked", outcome=outcome)
        if result.is_error():
            self._ask_after_s = self._clock.seconds() + RETRY_PAUSE_S
            return None
        if leader == self._leader:
            self.seen = max(self.seen, result.ok.number)
        self.on_placed()
        return result.ok
