"""Due times of jobs, in ledger time."""

from collections.abc import Iterable


class DueTimes:
    """Due times by job; a job without one has no deadline."""

    def __init__(self) -> None:
        self._due_s: dict[str, float] = {}

    def set_due(self, job: str, accepted_s: float, within_s: float) -> None:
        """Set a job's due time as seconds after its acceptance; 0 removes it."""
        if within_s:
            self._due_s[job] = accepted_s + within_s
        else:
            self._due_s.pop(job, None)

    def keep_only(self, jobs: Iterable[str]) -> None:
        """Forget all other jobs."""
        kept = set(jobs)
        for job in [job for job in self._due_s if job not in kept]:
            del self._due_s[job]

    def due_s(self, job: str) -> float:
        """Return a job's due time, infinity if it has none."""
        return self._due_s.get(job, float("inf"))
