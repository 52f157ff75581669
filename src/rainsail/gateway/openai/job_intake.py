"""The part of ``rainsail.batch.intake.JobIntake`` that the caller API uses."""

from typing import Protocol

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.control.messages import ResultsReply
from rainsail.errors import Fault
from rainsail.state.commands import ItemBody, JobView


class Intake(Protocol):
    """Submits, reads and cancels the jobs of tenants.

    The Deferreds never fire their errback; faults are in the results.
    """

    def submit(
        self,
        tenant: str,
        job_key: str,
        service: str,
        items: tuple[ItemBody, ...],
        deadline_unix_s: float,
        adapter: str = "",
    ) -> "Deferred[Result[JobView, Fault]]":
        """Store a job and accept it."""
        ...

    def job(self, tenant: str, job_id: str) -> "Deferred[Result[JobView, Fault]]":
        """Read one job."""
        ...

    def jobs(self, tenant: str) -> "Deferred[Result[tuple[JobView, ...], Fault]]":
        """Read every job of a tenant."""
        ...

    def cancel(self, tenant: str, job_id: str) -> "Deferred[Result[JobView, Fault]]":
        """Cancel a job."""
        ...

    def results(
        self, tenant: str, job_id: str, first: int, limit: int
    ) -> "Deferred[Result[ResultsReply, Fault]]":
        """Read a page of finished items."""
        ...
