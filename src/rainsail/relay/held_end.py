"""Delays the end of a stream until other streams show whether its first events were lost.

All events have been sent; only the terminator, by which the client knows that the stream is
complete, is held. A request that may run only once can't be compared with a second run. A loss at
its beginning then shows only by the streams of other requests, which may come after its own first
event. Other routes of the service don't end the wait: a stream of the own route may still come that
began alike, where the service numbers its routes differently.

Defines how long an end may be held. Relies on ``stream_beginnings`` for the comparison.
"""

from collections.abc import Callable

from rainsail.relay.stream_beginnings import StreamBeginning, StreamBeginnings
from rainsail.relay.table import Route
from rainsail.runtime.clock import Clock

MIN_CLIENT_TIMEOUT_S = 2.0
"""By the platform's protocol, clients wait at least this long for the next part of a stream."""
CLIENT_TIMEOUT_TARGETS = 4
"""Clients wait this many times the route's target, if that is longer."""
CLIENT_TIMEOUT_GAP_TARGETS = 8
"""Clients wait this many times the route's gap target, if that is longer."""
TRANSIT_S = 0.25
"""Margin for the network: the end is sent this long before the client's time-out."""


def max_end_hold_s(route: Route, since_last_event_s: float, time_left_s: float) -> float:
    """Return how long the end of a stream may be held; 0 or less means not at all.

    ``since_last_event_s`` is the time since the last event was sent, ``time_left_s`` the time until
    the request's deadline.
    """
    client_timeout_s = max(
        MIN_CLIENT_TIMEOUT_S,
        CLIENT_TIMEOUT_TARGETS * route.target_s,
        CLIENT_TIMEOUT_GAP_TARGETS * route.gap_target_s,
    )
    return min(client_timeout_s - TRANSIT_S - since_last_event_s, time_left_s)


class HeldEnd:
    """Calls ``released`` once: when the beginning is settled, or after ``max_hold_s``."""

    def __init__(
        self,
        clock: Clock,
        beginnings: StreamBeginnings,
        beginning: StreamBeginning,
        max_hold_s: float,
        released: Callable[[], None],
    ) -> None:
        self._beginnings = beginnings
        self._beginning = beginning
        self._released = released
        self._is_over = False
        self._timer = clock.callLater(max_hold_s, self._release)
        self._stop_listening = beginnings.listen(self._review)

    def cancel(self) -> None:
        """Stop waiting, without calling ``released``."""
        if self._is_over:
            return
        self._is_over = True
        self._stop_listening()
        if self._timer.active():
            self._timer.cancel()

    def _review(self) -> None:
        if not self._is_over and not self._beginnings.is_unusual(self._beginning):
            self._release()

    def _release(self) -> None:
        self.cancel()
        self._released()
