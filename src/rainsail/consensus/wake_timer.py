"""The timer of a member, due when its core has something to do."""

from collections.abc import Callable
from typing import Any

from rainsail.runtime.clock import Clock


class WakeTimer:
    """Calls ``wake`` at the earliest requested time; requests for a later time are ignored."""

    def __init__(self, clock: Clock, wake: Callable[[], None]) -> None:
        self._clock = clock
        self._wake = wake
        self._timer: Any = None
        self._due_s = float("inf")

    def arm(self, due_s: float) -> None:
        """Wake at the clock time ``due_s`` or earlier."""
        if self._timer is not None and self._timer.active():
            if self._due_s <= due_s:
                return
            self._timer.cancel()
        self._due_s = due_s
        delay_s = max(0.0, due_s - self._clock.seconds())
        self._timer = self._clock.callLater(delay_s, self._fire)

    def cancel(self) -> None:
        """Cancel the pending wake-up until the timer is armed again."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _fire(self) -> None:
        self._timer = None
        self._wake()
