"""Notices a runner that says nothing while another one could still take its request."""

from collections.abc import Callable

from rainsail.relay.context import RelayContext
from rainsail.relay.table import Route
from rainsail.runtime.clock import Timer

GAP_TARGETS = 2
"""A stream is silent after this many times the pause that its route aims at."""


class SilenceWatch:
    """Calls ``silent`` once a runner has sent nothing for too long; one for each request."""

    def __init__(self, context: RelayContext, silent: Callable[[], None]) -> None:
        self._context = context
        self._silent = silent
        self._timer: Timer | None = None

    def request_sent(self, route: Route, sends: int) -> None:
        """Wait for the first part of an answer, after ``sends`` sendings."""
        settings = self._context.settings
        wait_s = max(settings.least_silence_s, settings.silence_targets * route.target_s)
        self._arm(route, sends, wait_s)

    def events_came(self, route: Route, sends: int) -> None:
        """Wait for the next events."""
        wait_s = max(self._context.settings.least_gap_s, GAP_TARGETS * route.gap_target_s)
        self._arm(route, sends, wait_s)

    def stop(self) -> None:
        """Wait for nothing."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _arm(self, route: Route, sends: int, wait_s: float) -> None:
        self.stop()
        if not self._context.settings.mechanisms.silence:
            return
        if route.repeatable and sends < route.max_attempts:
            self._timer = self._context.clock.callLater(wait_s, self._tell)

    def _tell(self) -> None:
        self._timer = None
        self._silent()
