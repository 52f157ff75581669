"""An accepted item completes exactly once and its result stays readable and the same."""

from rainsail.experiment.checkers.interface import Violation
from rainsail.experiment.history import (
    FaultsEnded,
    History,
    JobAccepted,
    JobCancelAccepted,
    JobRead,
    ResultRead,
    RunEnded,
)

_COMPLETED = "completed"


class ExactlyOnceChecker:
    """Compares accepted jobs with the results that clients read."""

    name = "exactly_once"

    def check(self, history: History) -> list[Violation]:
        """Find lost items, changed results, wrong results and keys accepted as two jobs."""
        found = self._split_keys(history)
        found += self._changed_results(history)
        found += self._miscounted_jobs(history)
        found += self._lost_items(history)
        return found

    def _split_keys(self, history: History) -> list[Violation]:
        jobs: dict[str, JobAccepted] = {}
        found = []
        for event in history.of_type(JobAccepted):
            first = jobs.setdefault(event.job_key, event)
            if first.job_id != event.job_id:
                detail = f"key {event.job_key} accepted as {first.job_id} and {event.job_id}"
                found.append(Violation(self.name, detail))
            if first.content_digest != event.content_digest:
                detail = f"key {event.job_key} accepted with two contents"
                found.append(Violation(self.name, detail))
        return found

    def _changed_results(self, history: History) -> list[Violation]:
        seen: dict[tuple[str, int], ResultRead] = {}
        found = []
        for event in history.of_type(ResultRead):
            place = f"{event.job_id}[{event.index}]"
            first = seen.setdefault((event.job_id, event.index), event)
            if (first.phase, first.text) != (event.phase, event.text):
                found.append(Violation(self.name, f"result of {place} changed between reads"))
            if event.phase == _COMPLETED and event.text != event.expected_text:
                found.append(Violation(self.name, f"result of {place} is not the right answer"))
        return found

    def _miscounted_jobs(self, history: History) -> list[Violation]:
        counts = {event.job_id: event.item_count for event in history.of_type(JobAccepted)}
        found = []
        for event in history.of_type(JobRead):
            finished = event.completed + event.set_aside
            if finished > counts.get(event.job_id, finished):
                detail = f"{event.job_id} counts {finished} of {counts[event.job_id]} items done"
                found.append(Violation(self.name, detail))
        return found

    def _lost_items(self, history: History) -> list[Violation]:
        if not any(event.complete for event in history.of_type(RunEnded)):
            return []
        cancelled = {event.job_id for event in history.of_type(JobCancelAccepted)}
        last_reads: dict[str, set[int]] = {}
        for event in reads_after_faults(history):
            last_reads.setdefault(event.job_id, set()).add(event.index)
        found = []
        reported: set[str] = set()
        for job in history.of_type(JobAccepted):
            if job.job_id in cancelled or job.job_id in reported:
                continue
            reported.add(job.job_id)
            missing = job.item_count - len(last_reads.get(job.job_id, ()))
            if missing:
                detail = f"{missing} of {job.item_count} items of {job.job_id} have no result"
                found.append(Violation(self.name, detail))
        return found


def reads_after_faults(history: History) -> list[ResultRead]:
    """Return the result reads made after the last failure ended (all, when none was recorded)."""
    ends = [event.time_s for event in history.of_type(FaultsEnded)]
    start_s = max(ends, default=0.0)
    return [event for event in history.of_type(ResultRead) if event.time_s >= start_s]
