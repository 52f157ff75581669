"""When the results of jobs are due, in the ledger's time."""

from collections.abc import Iterable


class DueTimes:
    """Due times by job; a job without one is never due."""

    def __init__(self) -> None:
        self._due_s: dict[str, float] = {}

    def set_due(self, job: str, accepted_s: float, within_s: float) -> None:
        """Set how long after its acceptance a job is due; 0 stands for no time."""
        if within_s:
            self._due_s[job] = accepted_s + within_s
        else:
            self._due_s.pop(job, None)

    def keep_only(self, jobs: Iterable[str]) -> None:
        """Forget the jobs that are not among these."""
        kept = set(jobs)
        for job in [job for job in self._due_s if job not in kept]:
            del self._due_s[job]

    def due_s(self, job: str) -> float:
        """Return when a job is due, infinity where no time is known."""
        return self._due_s.get(job, float("inf"))
