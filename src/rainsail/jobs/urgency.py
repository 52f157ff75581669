"""Which item goes first: the one that is due first, among those that can still be in time.

Under more work than fits, serving jobs in the order of their coming makes all of them late. So an
item that can't be in time any more stands behind every item that can; it is still run, once there
is room.
"""

from collections.abc import Iterable

from rainsail.jobs.work import Work

SMOOTHING = 0.1
"""Weight of one more finished item in the typical running time."""
LEAST_LEFT_SHARE = 0.1
"""Share of the typical running time that is left at least, however long an item has run."""


class RunPace:
    """How long items run in all, smoothed over those that have ended whole. Times are seconds."""

    def __init__(self) -> None:
        self._typical_s = 0.0

    def finished(self, ran_s: float) -> None:
        """Take the running time of an item that has ended whole."""
        if self._typical_s:
            self._typical_s += SMOOTHING * (ran_s - self._typical_s)
        else:
            self._typical_s = ran_s

    def left_s(self, ran_s: float) -> float:
        """Return how long an item probably still runs that has run for a time; 0 before any."""
        return max(self._typical_s - ran_s, self._typical_s * LEAST_LEFT_SHARE)


class DueTimes:
    """When each job's results are due, on the clock of this process.

    A job counts from when this replica first saw it accepted, which is later than its sender's
    clock by a little, and after a restart by as much as the replica was away.
    """

    def __init__(self) -> None:
        self._seen_s: dict[str, float] = {}
        self._within_s: dict[str, float] = {}

    def seen(self, job: str, now: float) -> None:
        """Note a job that is there now; the first note counts."""
        self._seen_s.setdefault(job, now)

    def set_within(self, job: str, within_s: float) -> None:
        """Set how long after its acceptance a job is due; 0 stands for no time."""
        self._within_s[job] = within_s

    def keep_only(self, jobs: Iterable[str]) -> None:
        """Forget the jobs that are not among these."""
        kept = set(jobs)
        for times in (self._seen_s, self._within_s):
            for job in [job for job in times if job not in kept]:
                del times[job]

    def due_s(self, job: str) -> float:
        """Return when a job is due, infinity where no time is known."""
        within_s = self._within_s.get(job, 0.0)
        if not within_s or job not in self._seen_s:
            return float("inf")
        return self._seen_s[job] + within_s


Urgency = tuple[bool, float, bool]
"""Sorts items, most urgent first: too late, due time, not begun."""


def urgency(work: Work, due_s: float, pace: RunPace, now: float) -> Urgency:
    """Return the place of an item among others."""
    too_late = now + pace.left_s(work.running_s(now)) > due_s
    return (too_late, due_s, not work.begun)
