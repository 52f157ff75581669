"""Asks the ledger's leader where a request should go, while its service is busy.

An answer takes a round trip between zones, a few milliseconds. The leader may be gone: then the
gateway chooses at once by what it knows itself, and asks again a little later.
"""

from collections.abc import Callable

from expression import Result

from rainsail.errors import Fault
from rainsail.node_metrics import NodeMetrics
from rainsail.routing.messages import Placement, PlaceRequest
from rainsail.runtime.clock import Clock
from rainsail.wire.messenger import Messenger

ANSWER_WITHIN_S = 0.04
"""Longer than a busy leader takes, and short beside any target for a first byte."""
ASK_AGAIN_AFTER_S = 0.5
"""Pause after an answer that did not come."""
BUSY_KEPT_S = 0.4
"""The leader's word that a service is busy counts for this long."""

Placed = Callable[[Placement | None], None]
"""Called with where a request should go, or with None when the gateway has to choose."""


class PlacementClient:
    """A gateway's side of placements."""

    def __init__(self, messenger: Messenger, clock: Clock, metrics: NodeMetrics) -> None:
        self._messenger = messenger
        self._clock = clock
        self._metrics = metrics
        self._leader = ""
        self._ask_after_s = float("-inf")
        self._busy_until_s: dict[str, float] = {}
        self.seen = 0
        """The highest number of a placement by this leader."""
        self.on_placed: Callable[[], None] = lambda: None
        """Called after each placement: the leader wants to hear that it is known."""

    def set_leader(self, address: str) -> None:
        """Ask this node from now on; empty when none is known."""
        self._leader = address
        self._ask_after_s = float("-inf")
        self._busy_until_s.clear()
        self.seen = 0

    def told(self, service: str, places: bool) -> None:
        """Take the leader's word on whether it places requests of a service."""
        if places:
            self._busy_until_s[service] = self._clock.seconds() + BUSY_KEPT_S
        else:
            self._busy_until_s.pop(service, None)

    def place(self, ask: PlaceRequest, placed: Placed, must_ask: bool = False) -> None:
        """Ask for a place if the leader gives them, then call ``placed``, in any case.

        With ``must_ask`` the leader is asked though it has not said that it gives places.
        """
        now = self._clock.seconds()
        busy = self._busy_until_s.get(ask.service, float("-inf")) >= now
        if not self._leader or not (must_ask or busy) or now < self._ask_after_s:
            placed(None)
            return
        leader = self._leader
        reply = self._messenger.call(leader, ask, ANSWER_WITHIN_S)
        reply.addCallback(lambda result: placed(self._take_reply(result, leader)))

    def _take_reply(self, result: Result[Placement, Fault], leader: str) -> Placement | None:
        outcome = "missed" if result.is_error() else "answered"
        self._metrics.count("placements_asked", outcome=outcome)
        if result.is_error():
            self._ask_after_s = self._clock.seconds() + ASK_AGAIN_AFTER_S
            return None
        if leader == self._leader:
            self.seen = max(self.seen, result.ok.number)
        self.on_placed()
        return result.ok
