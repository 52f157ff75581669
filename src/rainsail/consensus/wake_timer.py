"""The one timer of a member, due when its core has something to do."""

from collections.abc import Callable
from typing import Any

from rainsail.runtime.clock import Clock


class WakeTimer:
    """Calls ``wake`` at the earliest moment asked for; a later moment is asked for in vain."""

    def __init__(self, clock: Clock, wake: Callable[[], None]) -> None:
        self._clock = clock
        self._wake = wake
        self._timer: Any = None
        self._due_s = float("inf")

    def arm(self, due_s: float) -> None:
        """Wake at ``due_s`` of the clock at the latest."""
        if self._timer is not None and self._timer.active():
            if self._due_s <= due_s:
                return
            self._timer.cancel()
        self._due_s = due_s
        delay_s = max(0.0, due_s - self._clock.seconds())
        self._timer = self._clock.callLater(delay_s, self._fire)

    def cancel(self) -> None:
        """Wake no more until armed again."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _fire(self) -> None:
        self._timer = None
        self._wake()
