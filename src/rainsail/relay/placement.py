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

ANSWER_TIMEOUT_S = 0.04
"""How long a request waits for the leader's answer.

Not measured; chosen longer than a busy leader takes, and short beside any target for a first byte.
"""
RETRY_PAUSE_S = 0.5
"""Pause after an answer that did not come.

Not measured; chosen as the time in which the group elects a new leader.
"""
BUSY_VALID_S = 0.4
"""For how long a service counts as busy after the leader has said so.

Not measured; chosen as several of the leader's reports, which follow those of this gateway.
"""

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
        """Called after each placement, which the next report to the leader confirms."""

    def set_leader(self, address: str) -> None:
        """Ask this node from now on; empty when none is known."""
        self._leader = address
        self._ask_after_s = float("-inf")
        self._busy_until_s.clear()
        self.seen = 0

    def update_busy(self, service: str, places: bool) -> None:
        """Note whether the leader places requests of a service, as it has just reported."""
        if places:
            self._busy_until_s[service] = self._clock.seconds() + BUSY_VALID_S
        else:
            self._busy_until_s.pop(service, None)

    def place(self, request: PlaceRequest, placed: Placed, must_ask: bool = False) -> None:
        """Ask the leader to place a request if it does that, then call ``placed``, in any case.

        With ``must_ask`` the leader is asked though it has not said that it places requests.
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
