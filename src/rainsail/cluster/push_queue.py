"""Batches changed runners, so that a burst of reports costs each follower few messages.

The first change after an idle period is pushed at once. Later changes wait for an interval that is
proportional to the number of followers, so that pushes never take up all of a controller's time in
a large fleet.
"""

from collections.abc import Callable

from rainsail.cluster.messages import RunnerRecord
from rainsail.runtime.clock import Clock

PUSH_INTERVAL_PER_FOLLOWER_S = 0.0015
"""Interval between two pushes, per follower: several times the cost of one message."""


class PushQueue:
    """Passes the latest record of each changed runner to ``push`` in batches."""

    def __init__(
        self,
        clock: Clock,
        followers: Callable[[], int],
        push: Callable[[tuple[RunnerRecord, ...]], None],
    ) -> None:
        self._clock = clock
        self._followers = followers
        self._push = push
        self._waiting: dict[str, RunnerRecord] = {}
        self._planned = False
        self._next_push_s = float("-inf")

    def add(self, records: list[RunnerRecord]) -> None:
        """Push records now or with the next batch."""
        for record in records:
            self._waiting.pop(record.runner, None)
            self._waiting[record.runner] = record
        if self._planned:
            return
        wait_s = self._next_push_s - self._clock.seconds()
        if wait_s <= 0:
            self._flush()
            return
        self._planned = True
        self._clock.callLater(wait_s, self._flush)

    def _flush(self) -> None:
        self._planned = False
        waiting, self._waiting = self._waiting, {}
        interval_s = PUSH_INTERVAL_PER_FOLLOWER_S * self._followers()
        self._next_push_s = self._clock.seconds() + interval_s
        if waiting:
            self._push(tuple(waiting.values()))
