"""Asks the quarantine about items, and reports to it what their runs show of the runners."""

from rainsail.cluster.messages import RunnerRecord
from rainsail.jobs.job_state import JobState
from rainsail.jobs.open_item import OpenItem
from rainsail.quarantine.fingerprint import Fingerprint, fingerprint_of, name_of
from rainsail.quarantine.guard import RequestGuard

ITEM_METHOD = b"POST"


class ItemGuard:
    """A request guard for open items; fingerprints are computed when first needed."""

    def __init__(self, state: JobState, guard: RequestGuard) -> None:
        self._state = state
        self._guard = guard

    def fingerprint_name(self, item: OpenItem) -> str:
        """Return an item's fingerprint as logs write it."""
        return name_of(self._fingerprint(item))

    def _fingerprint(self, item: OpenItem) -> Fingerprint:
        """Return the fingerprint that an item shares with its repetitions."""
        job = self._state.jobs.get(item.job)
        if not item.fingerprint and job is not None:
            request = job.items[item.index]
            item.fingerprint = fingerprint_of(
                job.tenant, job.host, ITEM_METHOD, request.path.encode(), request.body
            )
        return item.fingerprint

    def is_held(self, item: OpenItem) -> bool:
        """Tell whether an item must reach no runner for now."""
        return self._guard.holds_any and self._guard.holds(self._fingerprint(item))

    def on_run_ended(self, item: OpenItem, record: RunnerRecord | None) -> None:
        """Report a connection that ended under a run, or an answer that its runner outlived."""
        run = item.run
        if run is None or record is None:
            return
        if run.connection_ended:
            self._guard.connection_ended(record, self._fingerprint(item))
        elif run.proves_survival and self._guard.wants_answers:
            self._guard.answered(self._fingerprint(item))
