"""The gateways' client of the ledger: sends each call to the current leader."""

from typing import Any

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.errors import Fault
from rainsail.jobs.intake_budget import GatewayIntake
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
"""Timeout for committing or ending a job, over all attempts; covers a change of leader."""
READ_TIMEOUT_S = 2.0
"""Timeout of a read, in addition to the wait that it requests.

Shorter than a commit's, since reads can be repeated without side effects.
"""


class JobClient:
    """Calls to the ledger's leader. Every call is idempotent and may be retried.

    A job belongs to the tenant that submitted it (empty: to no tenant). Its id is scoped to the
    tenant, so that other tenants cannot address it.
    """

    def __init__(self, calls: LeaderCaller, intake: GatewayIntake) -> None:
        self._calls = calls
        self.intake = intake
        """The jobs that this gateway is taking in."""

    def set_leader(self, leader: str) -> None:
        """Set the node to try first: the last one reported to lead the ledger."""
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
        """Submit a complete job; Ok once a quorum has synced all of it.

        The fault is OVER_LIMIT when the job exceeds the route's limit and was not accepted.
        """
        message = SubmitRelayedJob(scoped_id(tenant, job), tenant, host, path, items, limit)
        return self._calls.call(message, None, SUBMIT_TIMEOUT_S, repeatable=True)

    def read(
        self, tenant: str, job: str, after: int, wait_s: float
    ) -> "Deferred[Result[Any, Fault]]":
        """Read the results from position ``after`` on; returns a ``ResultPage``."""
        message = ReadResults(scoped_id(tenant, job), after, wait_s)
        return self._calls.call(message, None, READ_TIMEOUT_S + wait_s, repeatable=True)

    def read_body(self, tenant: str, job: str, item: str) -> "Deferred[Result[Any, Fault]]":
        """Read the request body of an unlisted item; returns an ``ItemBodyFound``."""
        message = ReadItemBody(scoped_id(tenant, job), item)
        return self._calls.call(message, None, READ_TIMEOUT_S, repeatable=True)

    def end(self, tenant: str, job: str) -> "Deferred[Result[Any, Fault]]":
        """End a job: its listed results stay, its other items do not run any more."""
        message = EndJobCall(scoped_id(tenant, job))
        return self._calls.call(message, None, SUBMIT_TIMEOUT_S, repeatable=True)
