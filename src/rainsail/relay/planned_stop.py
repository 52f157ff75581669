"""Decides which requests a stopping gateway still sends to runners.

A request that has not ended when the grace time is over is cut off from its answer. One that is
refused before it was sent goes to another gateway at once, so a request is sent only if it is
expected to end in time. What that means depends on what a wrong guess costs:

* A request that may run only once is cut with an unknown outcome, and its client may not repeat it.
  It is sent if the longest of the latest run times of its route fits.
* A request that may be repeated loses some time. It is sent if it is more likely than not to end.
* A stream that may be resumed is cut in the middle of its answer. That is better than a late start
  while its client could meet this gateway again, so until then it is sent like one that may be
  repeated, and later like one that may run only once.
* Without any run time, or if its deadline comes first, a request is sent if its deadline fits: it
  is answered by then.
"""

from rainsail.relay.run_times import RouteRunTimes
from rainsail.relay.table import Route, RouteKind
from rainsail.runtime.clock import Clock

MILLISECONDS_PER_S = 1000.0


def ends_in_time(remaining_s: float, time_left_s: float, expected_s: float | None) -> bool:
    """Tell whether a request that is sent now ends within the remaining grace time.

    ``time_left_s`` is the time until its deadline, ``expected_s`` how long it is expected to take.
    """
    longest_s = time_left_s if expected_s is None else min(expected_s, time_left_s)
    return longest_s <= remaining_s


class PlannedStop:
    """A gateway's planned stop, and what it needs to know beforehand."""

    def __init__(self, clock: Clock) -> None:
        self.run_times = RouteRunTimes()
        self._clock = clock
        self._answers_until_s: float | None = None
        self._clients_until_s = 0.0

    def begin(self, clients_for_s: float, answers_for_s: float) -> None:
        """Begin the stop, with the seconds for which new clients still arrive here.

        Requests under way are ended after ``answers_for_s`` seconds.
        """
        now = self._clock.seconds()
        self._clients_until_s = now + clients_for_s
        self._answers_until_s = now + answers_for_s

    @property
    def retry_after_s(self) -> float:
        """The retry delay of what is refused: until its client can't meet this gateway again.

        Most clients retry only once.
        """
        return max(0.0, self._clients_until_s - self._clock.seconds())

    @property
    def remaining_s(self) -> float | None:
        """The time until the requests under way are ended; None while no stop has begun."""
        if self._answers_until_s is None:
            return None
        return max(0.0, self._answers_until_s - self._clock.seconds())

    @property
    def remaining_ms(self) -> int | None:
        """``remaining_s`` in whole milliseconds, for the log."""
        remaining_s = self.remaining_s
        return None if remaining_s is None else round(remaining_s * MILLISECONDS_PER_S)

    def leaves_time(self, route: Route, time_left_s: float) -> bool:
        """Tell whether a request may be sent now, ``time_left_s`` before its deadline."""
        remaining_s = self.remaining_s
        if remaining_s is None:
            return True
        return ends_in_time(remaining_s, time_left_s, self._expected_s(route))

    def _expected_s(self, route: Route) -> float | None:
        is_late_stream = route.kind == RouteKind.STREAM and not self.retry_after_s
        if route.repeatable and not is_late_stream:
            return self.run_times.usual_s(route.name)
        return self.run_times.longest_s(route.name)
