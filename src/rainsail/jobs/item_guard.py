"""Keeps items that end runners from further ones, and tells what their runs say of runners."""

from rainsail.cluster.messages import RunnerRecord
from rainsail.jobs.job_state import JobState
from rainsail.jobs.work import Work
from rainsail.quarantine.fingerprint import Fingerprint, fingerprint_of, name_of
from rainsail.quarantine.guard import RequestGuard

ITEM_METHOD = b"POST"


class ItemGuard:
    """A request guard as the dispatcher asks it: by an item's work."""

    def __init__(self, state: JobState, guard: RequestGuard) -> None:
        self._state = state
        self._guard = guard

    def name(self, work: Work) -> str:
        """Return an item's fingerprint as logs write it."""
        return name_of(self._fingerprint(work))

    def _fingerprint(self, work: Work) -> Fingerprint:
        """Return what an item has in common with its repetitions."""
        job = self._state.jobs.get(work.job)
        if not work.fingerprint and job is not None:
            item = job.items[work.index]
            work.fingerprint = fingerprint_of(
                job.tenant, job.host, ITEM_METHOD, item.path.encode(), item.body
            )
        return work.fingerprint

    def is_held(self, work: Work) -> bool:
        """Tell whether an item must reach no runner: it waits until it is let go or given up."""
        return self._guard.holds_any and self._guard.holds(self._fingerprint(work))

    def run_ended(self, work: Work, record: RunnerRecord | None) -> None:
        """Say what the end of an item's run tells of its runner."""
        run = work.run
        if run is None or record is None:
            return
        if run.connection_ended:
            self._guard.connection_ended(record, self._fingerprint(work))
        elif run.proves_survival and self._guard.wants_answers:
            self._guard.answered(self._fingerprint(work))
