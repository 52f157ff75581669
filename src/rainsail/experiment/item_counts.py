"""Counts the batch items of a history: what a run of the simulator or the rig reports."""

from dataclasses import dataclass

from rainsail.experiment.history import History, JobAccepted, JobCancelAccepted, JobRead


@dataclass(frozen=True, slots=True)
class ItemCounts:
    """Items of accepted jobs, those read as completed, and those that a cancellation left out."""

    accepted: int
    completed: int
    cancelled: int


def count_items(history: History) -> ItemCounts:
    """Count by the last read of each job."""
    accepted = {event.job_id: event.item_count for event in history.of_type(JobAccepted)}
    completed = {event.job_id: event.completed for event in history.of_type(JobRead)}
    cancelled_jobs = {event.job_id for event in history.of_type(JobCancelAccepted)}
    cancelled = sum(
        count - completed.get(job_id, 0)
        for job_id, count in accepted.items()
        if job_id in cancelled_jobs
    )
    return ItemCounts(sum(accepted.values()), sum(completed.values()), cancelled)
