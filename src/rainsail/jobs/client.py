"""A gateway's calls to the ledger, wherever its leader is."""

from typing import Any

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.errors import Fault
from rainsail.jobs.job_ids import scoped_id
from rainsail.jobs.messages import (
    EndJobCall,
    QueueLimit,
    ReadItemBody,
    ReadResults,
    SubmitRelayedJob,
)
from rainsail.state.job_commands import RelayedItem

SUBMIT_TIMEOUT_S = 3.4
"""Time within which a job is committed or ended, over all tries.

Not measured; chosen so that the ledger may change its leader meanwhile.
"""
READ_TIMEOUT_S = 2.0
"""Time within which a read is answered, beside the wait that it asks for.

Not measured; chosen shorter than a commit's, since a read goes out again without harm.
"""


class JobClient:
    """Calls to the ledger's leader. Every call is idempotent and may be sent again.

    A job belongs to the tenant that handed it in (empty: to nobody). Its id holds within the
    tenant, so that calls of others find nothing.
    """

    def __init__(self, calls: LeaderCaller) -> None:
        self._calls = calls

    def set_leader(self, leader: str) -> None:
        """Try this node first: it was last reported to lead the ledger."""
        self._calls.set_hint(leader)

    def submit(
        self,
        tenant: str,
        job: str,
        host: str,
        path: str,
        items: tuple[RelayedItem, ...],
        limit: QueueLimit,
    ) -> "Deferred[Result[Any, Fault]]":
        """Hand a whole job in; Ok once a quorum has synced all of it.

        The fault is OVER_LIMIT when the job does not fit the route's limit and was not taken.
        """
        message = SubmitRelayedJob(scoped_id(tenant, job), tenant, host, path, items, limit)
        return self._calls.call(message, None, SUBMIT_TIMEOUT_S, repeatable=True)

    def read(
        self, tenant: str, job: str, after: int, wait_s: float
    ) -> "Deferred[Result[Any, Fault]]":
        """Return a ``ResultPage``."""
        message = ReadResults(scoped_id(tenant, job), after, wait_s)
        return self._calls.call(message, None, READ_TIMEOUT_S + wait_s, repeatable=True)

    def read_body(self, tenant: str, job: str, item: str) -> "Deferred[Result[Any, Fault]]":
        """Return an ``ItemBodyFound``."""
        message = ReadItemBody(scoped_id(tenant, job), item)
        return self._calls.call(message, None, READ_TIMEOUT_S, repeatable=True)

    def end(self, tenant: str, job: str) -> "Deferred[Result[Any, Fault]]":
        """End a job: what is listed stays, nothing more of it runs."""
        message = EndJobCall(scoped_id(tenant, job))
        return self._calls.call(message, None, SUBMIT_TIMEOUT_S, repeatable=True)
