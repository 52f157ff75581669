"""The moment until which a client's request may be answered."""

from collections.abc import Callable

from rainsail.http.exchange import HttpRequest
from rainsail.relay.protocol import RequestFacts
from rainsail.relay.table import Route
from rainsail.runtime.clock import Clock, Timer


class RequestDeadline:
    """The earlier one of the route's time-out and the client's deadline, since the request came."""

    def __init__(
        self, clock: Clock, request: HttpRequest, facts: RequestFacts, route: Route
    ) -> None:
        self._clock = clock
        self.at_s = request.received_s + time_allowed_s(route, facts)
        """By the clock."""
        self._timer: Timer | None = None

    @property
    def left_s(self) -> float:
        """The seconds until the deadline; negative after it."""
        return self.at_s - self._clock.seconds()

    def start(self, passed: Callable[[], None]) -> None:
        """Call ``passed`` at the deadline."""
        self._timer = self._clock.callLater(max(0.0, self.left_s), passed)

    def cancel(self) -> None:
        """Stop the timer: the request is over."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


def time_allowed_s(route: Route, facts: RequestFacts) -> float:
    """Return how long a request may take from its arrival on."""
    if facts.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, facts.deadline_s)
