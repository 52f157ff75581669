"""Enqueues the items of open jobs, and drops those of ended ones."""

from rainsail.jobs.context import Ledger
from rainsail.jobs.dispatch_state import DispatchState
from rainsail.jobs.item_planner import ItemPlanner
from rainsail.jobs.open_item import resume_item


class OpenJobs:
    """Synchronises the queue of items with the ledger's jobs."""

    def __init__(self, ledger: Ledger, state: DispatchState, planner: ItemPlanner) -> None:
        self._ledger = ledger
        self._running = state.running
        self._waiting = state.waiting
        self._planner = planner
        self._tables = state.tables
        self._enqueued: set[str] = set()
        self._inherits = False

    def clear(self) -> None:
        """Forget which jobs were enqueued, so that the next round enqueues all of them.

        A previous leader may have sent the items of those jobs.
        """
        self._inherits = True
        self._enqueued.clear()
        self._tables.clear()

    def enqueue_new(self) -> None:
        """Enqueue the unlisted items of each job that was not enqueued before."""
        for job in self._ledger.state.jobs.values():
            if job.job in self._enqueued:
                continue
            self._enqueued.add(job.job)
            if job.ended:
                continue
            self._planner.update_due_time(job)
            self._tables.add(job.job)
            items = [resume_item(job, index) for index in sorted(job.unlisted)]
            if self._inherits:
                for item in items:
                    item.inherit_failures(job)
            self._waiting.add_job(job.job, items)
        self._inherits = False

    def drop_ended(self, now: float) -> None:
        """Drop the waiting items of ended jobs, and close the runs of items that are not open."""
        self._waiting.drop(self._ledger.is_job_open)
        self._tables.keep_only(self._ledger.is_job_open)
        self._running.stop_where(lambda item: not self._ledger.is_open(item), now)

    def forget_dropped(self) -> None:
        """Forget jobs that the ledger has deleted."""
        self._enqueued.intersection_update(self._ledger.state.jobs)
        self._planner.order.due.keep_only(self._ledger.state.jobs)
