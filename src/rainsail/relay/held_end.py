"""Holds back the end of a stream while other streams may still tell whether it is whole.

All events of the stream have left; only the mark that it is complete is missing. A request that may
run once only can't be compared with a second run, so that a loss at its beginning shows by the
streams of other requests alone, and these may come after its first event.

Owns the time that an end may wait. Relies on ``stream_beginnings`` for what is known.
"""

from collections.abc import Callable

from rainsail.relay.stream_beginnings import StreamBeginning, StreamBeginnings
from rainsail.relay.table import Route
from rainsail.runtime.clock import Clock

MIN_CLIENT_TIMEOUT_S = 2.0
"""Clients wait at least this long for the next part of a stream, by the platform's protocol."""
CLIENT_TIMEOUT_TARGETS = 4
"""They wait for so many of the route's targets, if that is longer."""
CLIENT_TIMEOUT_GAP_TARGETS = 8
"""They wait for so many of the pauses that the route aims at, if that is longer."""
TRANSIT_S = 0.25
"""An end leaves this long before its client would give up, for its way to the client."""


def max_end_hold_s(route: Route, since_last_event_s: float, time_left_s: float) -> float:
    """Return how long an end may be held; 0 or less: not at all.

    ``time_left_s`` is the time until the deadline of the request.
    """
    client_timeout_s = max(
        MIN_CLIENT_TIMEOUT_S,
        CLIENT_TIMEOUT_TARGETS * route.target_s,
        CLIENT_TIMEOUT_GAP_TARGETS * route.gap_target_s,
    )
    return min(client_timeout_s - TRANSIT_S - since_last_event_s, time_left_s)


class HeldEnd:
    """Calls ``released`` once: when more is known of the beginning, or after ``max_hold_s``."""

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
        """Wait no more, and call nothing."""
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
