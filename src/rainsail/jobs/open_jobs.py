"""Takes up the items of open jobs, and drops those that are not to be run any more."""

from rainsail.jobs.context import Ledger
from rainsail.jobs.dispatch_state import DispatchState
from rainsail.jobs.item_planner import ItemPlanner
from rainsail.jobs.open_item import resume_item


class OpenJobs:
    """Compares the ledger's jobs with what this leader has taken up."""

    def __init__(self, ledger: Ledger, state: DispatchState, planner: ItemPlanner) -> None:
        self._ledger = ledger
        self._running = state.running
        self._waiting = state.waiting
        self._planner = planner
        self._enqueued: set[str] = set()

    def clear(self) -> None:
        """Forget which jobs were taken up, so that all are taken up anew."""
        self._enqueued.clear()

    def enqueue_new(self) -> None:
        """Let the unlisted items of each job wait that was not taken up before."""
        for job in self._ledger.state.jobs.values():
            if job.job in self._enqueued:
                continue
            self._enqueued.add(job.job)
            if job.ended:
                continue
            self._planner.update_due_time(job)
            items = [resume_item(job, index) for index in sorted(job.unlisted)]
            self._waiting.add_job(job.job, items)

    def drop_ended(self, now: float) -> None:
        """Drop the waiting items of jobs that are not open, and close runs nobody needs."""
        self._waiting.drop(self._ledger.is_job_open)
        self._running.stop_where(lambda item: not self._ledger.is_open(item), now)

    def forget_dropped(self) -> None:
        """Forget jobs that the ledger does not keep any more."""
        self._enqueued.intersection_update(self._ledger.state.jobs)
        self._planner.order.due.keep_only(self._ledger.state.jobs)
