"""Tells whether the routing table here is at least as new as the one by which a job was accepted.

A gateway may accept a job by a table that this node does not have yet. Until a quorum has confirmed
this node's table after the job's submission, none of the job's items is started or given up.
"""

from collections.abc import Callable

from rainsail.cluster.table_confirmation import TableConfirmation
from rainsail.runtime.clock import Clock

SUBMISSION_KEPT_S = 10.0
"""How long the time of a submission is kept that may not have been accepted.

Longer than a gateway waits for the acceptance.
"""


class JobTables:
    """The jobs for which the routing table was not confirmed yet, while this node leads."""

    def __init__(self, tables: TableConfirmation, clock: Clock) -> None:
        self._tables = tables
        self._clock = clock
        self._submitted_s: dict[str, float] = {}
        self._unconfirmed: dict[str, float] = {}
        """A time for each job by which a gateway had accepted it."""
        self._is_asking = False

    def __len__(self) -> int:
        return len(self._unconfirmed)

    def begin_leadership(self) -> None:
        """Begin without any job, and confirm the table for those that will be added at once."""
        self.clear()
        self._ask()

    def clear(self) -> None:
        """Forget all jobs, as the next leadership begins with each of them anew."""
        self._submitted_s.clear()
        self._unconfirmed.clear()

    def submitted(self, job: str) -> None:
        """Begin to confirm the table for a job that a gateway submits, while it is committed."""
        self._submitted_s[job] = self._clock.seconds()
        self._ask()

    def add(self, job: str) -> None:
        """Take a job that is accepted."""
        self._unconfirmed[job] = self._submitted_s.pop(job, self._clock.seconds())

    def keep_only(self, is_open: Callable[[str], bool]) -> None:
        """Forget jobs that are not open any more, and submissions that were not accepted."""
        if self._unconfirmed:
            open_jobs = {job: at_s for job, at_s in self._unconfirmed.items() if is_open(job)}
            self._unconfirmed = open_jobs
        if self._submitted_s:
            oldest_s = self._clock.seconds() - SUBMISSION_KEPT_S
            recent = {job: at_s for job, at_s in self._submitted_s.items() if at_s > oldest_s}
            self._submitted_s = recent

    def awaits(self, job: str) -> bool:
        """Tell whether a job waits for the confirmation of the table, as far as known by now."""
        return job in self._unconfirmed

    def covers(self, job: str) -> bool:
        """Tell whether items of a job may be decided on by the table here."""
        since_s = self._unconfirmed.get(job)
        if since_s is None:
            return True
        if not self._tables.is_confirmed_since(since_s):
            self._ask()
            return False
        del self._unconfirmed[job]
        return True

    def _ask(self) -> None:
        if not self._is_asking:
            self._is_asking = True
            self._tables.confirm().addCallback(self._asked)

    def _asked(self, is_confirmed: bool) -> None:
        self._is_asking = False
        if any(not self._tables.is_confirmed_since(at_s) for at_s in self._submitted_s.values()):
            self._ask()
