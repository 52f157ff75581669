"""Gathers changed runners, so that a burst of reports costs each follower few messages.

The first change after a rest goes out at once. The next ones wait until the time is over that
telling all followers takes, so a controller of a large fleet is never busy with pushes alone.
"""

from collections.abc import Callable

from rainsail.cluster.messages import RunnerRecord
from rainsail.runtime.clock import Clock

PUSH_INTERVAL_PER_FOLLOWER_S = 0.0015
"""Time between two pushes for each follower: several times what one message takes."""


class PushQueue:
    """Hands the latest records on in batches."""

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
        """Have records pushed, now or with the next batch."""
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
        rest_s = PUSH_INTERVAL_PER_FOLLOWER_S * self._followers()
        self._next_push_s = self._clock.seconds() + rest_s
        if waiting:
            self._push(tuple(waiting.values()))
