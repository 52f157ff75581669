"""A cancelled job stops: soon no engine takes up its items, and no result comes after it."""

from rainsail.experiment.checkers.interface import Violation
from rainsail.experiment.history import EngineStarted, History, JobCancelAccepted, ResultRead

STOP_WITHIN_S = 8.0
"""An item lease and one renewal period: a dispatcher cut off at the cancel stops by then."""


class CancellationChecker:
    """Watches engines and results after an accepted cancel."""

    name = "cancellation"

    def check(self, history: History) -> list[Violation]:
        """Find attempts that began, and results that appeared, after a cancel."""
        cancelled: dict[str, float] = {}
        completed_at_cancel: dict[str, set[int]] = {}
        found = []
        for event in history.events:
            if isinstance(event, JobCancelAccepted):
                cancelled.setdefault(event.job_id, event.time_s)
            elif isinstance(event, EngineStarted) and event.batch:
                job_id = event.request_id.rpartition("/")[0]
                since_s = event.time_s - cancelled.get(job_id, event.time_s)
                if since_s > STOP_WITHIN_S:
                    detail = f"{event.runner} began {event.request_id} {since_s:.1f} s after cancel"
                    found.append(Violation(self.name, detail))
            elif isinstance(event, ResultRead) and event.job_id in cancelled:
                found += self._late_result(event, completed_at_cancel)
        return found

    def _late_result(
        self, event: ResultRead, completed_at_cancel: dict[str, set[int]]
    ) -> list[Violation]:
        """A read after the cancel must show as completed only what the first such read showed."""
        key = f"{event.job_id}@{event.index}"
        phases = completed_at_cancel.setdefault(key, set())
        phases.add(1 if event.phase == "completed" else 0)
        if len(phases) > 1:
            detail = f"item {event.index} of {event.job_id} completed after the cancel"
            return [Violation(self.name, detail)]
        return []
