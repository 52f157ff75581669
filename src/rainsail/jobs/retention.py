"""Retention of finished jobs, by the leader's own clock.

A new leader counts from when it first sees a job as over, so a leader change extends the retention
time and never shortens it.
"""

from rainsail.jobs.job_state import JobState
from rainsail.state.job_commands import DropRelayedJob


class Retention:
    """Finds jobs that are over and whose results have been kept for ``kept_s``."""

    def __init__(self, state: JobState, kept_s: float) -> None:
        self._state = state
        self._kept_s = kept_s
        self._over_since_s: dict[str, float] = {}

    def due(self, now: float) -> list[DropRelayedJob]:
        """Return the commands that delete the jobs whose retention time has passed."""
        over = [job.job for job in self._state.jobs.values() if not job.is_open]
        self._over_since_s = {job: self._over_since_s.get(job, now) for job in over}
        return [
            DropRelayedJob(job)
            for job, since_s in self._over_since_s.items()
            if now - since_s >= self._kept_s
        ]
