"""The time-out after which a request is moved away from a runner that sends nothing."""

from collections.abc import Callable

from rainsail.relay.context import RelayContext
from rainsail.relay.table import Route
from rainsail.runtime.clock import Timer

GAP_TARGETS = 2
"""A stream times out after this many times its route's gap target.

So a single late event does not move the stream to another runner.
"""


class ResponseTimeout:
    """Calls ``timed_out`` when a runner has sent nothing for too long; one per request."""

    def __init__(self, context: RelayContext, timed_out: Callable[[], None]) -> None:
        self._context = context
        self._timed_out = timed_out
        self._timer: Timer | None = None

    def request_sent(self, route: Route, attempts: int) -> None:
        """Start the time-out for the first part of an answer; ``attempts`` includes this one."""
        settings = self._context.settings
        wait_s = max(
            settings.min_response_timeout_s, settings.response_timeout_targets * route.target_s
        )
        self._restart(route, attempts, wait_s)

    def events_received(self, route: Route, attempts: int) -> None:
        """Restart the time-out for the next events of a stream."""
        wait_s = max(self._context.settings.min_event_timeout_s, GAP_TARGETS * route.gap_target_s)
        self._restart(route, attempts, wait_s)

    def stop(self) -> None:
        """Cancel the time-out."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _restart(self, route: Route, attempts: int, wait_s: float) -> None:
        self.stop()
        if not self._context.settings.mechanisms.silence:
            return
        if route.repeatable and attempts < route.max_attempts:
            self._timer = self._context.clock.callLater(wait_s, self._expire)

    def _expire(self) -> None:
        self._timer = None
        self._timed_out()
