"""A periodic task that runs on the leader during a leadership term."""

from typing import Any

from rainsail.runtime.clock import Clock


class LeaderLoop:
    """Calls ``run_once`` each ``period_s`` while this replica leads."""

    def __init__(self, clock: Clock, period_s: float) -> None:
        self._clock = clock
        self._period_s = period_s
        self._timer: Any = None

    def run_once(self) -> None:
        """Run the task once."""
        raise NotImplementedError

    def start(self, first_after_s: float) -> None:
        """Start the timer; restarts it if it runs already."""
        self.end()
        self._timer = self._clock.callLater(first_after_s, self._tick)

    def end(self) -> None:
        """Stop the timer at the end of a leadership term."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _tick(self) -> None:
        self._timer = self._clock.callLater(self._period_s, self._tick)
        self.run_once()
