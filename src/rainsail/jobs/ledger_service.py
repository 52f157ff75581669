"""Serves the gateways' calls on the ledger's leader: job submissions and reads of results."""

from collections.abc import Callable
from typing import Any

from expression import Error
from twisted.internet.defer import Deferred, succeed

from rainsail.budget.client_budget import ClientBudget
from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault, FaultCode
from rainsail.jobs.held_reads import HeldReads
from rainsail.jobs.intake_budget import LedgerIntake
from rainsail.jobs.job_ids import client_id
from rainsail.jobs.job_state import JobState, RelayedJob
from rainsail.jobs.ledger_time import LedgerTime
from rainsail.jobs.messages import (
    EndJobCall,
    ItemBodyFound,
    JobEnded,
    ReadItemBody,
    ReadResults,
    RelayedJobAccepted,
    ResultEntry,
    ResultPage,
    SubmitRelayedJob,
)
from rainsail.jobs.queue_limits import QueueLimits
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.state.job_commands import AcceptJob, EndRelayedJob
from rainsail.wire.messenger import Messenger

MAX_PAGE_BYTES = 700_000
"""Maximum text size of one page of results; the JSON encoding of a page stays below a megabyte."""


class LedgerService:
    """Serves jobs over the messenger while this node leads the ledger group.

    Reads are answered from local state: while this node holds the leader lease, which a quorum
    renews, no other node can commit.
    """

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        state: JobState,
        ledger_time: LedgerTime,
        budget: ClientBudget,
    ) -> None:
        self._clock = clock
        self._ledger_time = ledger_time
        self._state = state
        self._group: GroupDriver | None = None
        self._held = HeldReads(clock, self._read_now)
        self._limits = QueueLimits(state)
        self._intake = LedgerIntake(budget)
        self.on_submitted: Callable[[str], None] = lambda job: None
        """Called with each job, by its scoped id, before it is committed."""
        messenger.serve(SubmitRelayedJob, self._submit)
        messenger.serve(ReadResults, self._read)
        messenger.serve(ReadItemBody, self._read_body)
        messenger.serve(EndJobCall, self._end)

    def serve_group(self, group: GroupDriver) -> None:
        """Begin to serve a group whose storage is open."""
        self._group = group
        group.on_applied(lambda index: self._held.release_where(self._is_answerable))

    def _refusal(self, step: str) -> Fault | None:
        """Return the fault to answer with if this node does not lead, None if it leads."""
        group = self._group
        if group is None:
            return Fault(FaultCode.NOT_LEADER, step, "the ledger is not open here")
        if not group.is_leader():
            return Fault(FaultCode.NOT_LEADER, step, "another node leads", group.leader())
        return None

    # --- changes -------------------------------------------------------------------------

    def _submit(self, source: str, message: SubmitRelayedJob) -> "Deferred[Any]":
        refusal = self._refusal("jobs.submit")
        if refusal is not None:
            return succeed(refusal)
        if message.job in self._state.jobs:
            return succeed(RelayedJobAccepted(message.job))
        over_limit = self._limits.refusal(message)
        if over_limit is not None:
            return succeed(over_limit)
        body_bytes = sum(len(item.body) for item in message.items)
        without_room = self._intake.begin(message.job, body_bytes, self._state.body_bytes)
        if without_room is not None:
            return succeed(without_room)
        job = client_id(message.tenant, message.job)
        log = logger.bind(job=job, tenant=message.tenant, items=len(message.items))
        log.bind(gateway=source).info("job_proposed")
        return self._propose_job(message)

    def _propose_job(self, message: SubmitRelayedJob) -> "Deferred[Any]":
        assert self._group is not None
        at_s = self._ledger_time.at(self._clock.seconds())
        command = AcceptJob(
            message.job, message.tenant, message.host, message.path, message.items, at_s
        )
        self._limits.begin(message)
        self.on_submitted(message.job)
        proposed = self._group.propose(command)
        proposed.addBoth(self._on_proposal_over, message.job)
        return proposed.addCallback(_reply, RelayedJobAccepted(message.job))

    def _on_proposal_over(self, result: Any, job: str) -> Any:
        self._limits.end(job)
        self._intake.end(job)
        return result

    def _end(self, source: str, message: EndJobCall) -> "Deferred[Any]":
        refusal = self._refusal("jobs.end")
        if refusal is not None:
            return succeed(refusal)
        assert self._group is not None
        job = self._state.jobs.get(message.job)
        name = message.job if job is None else job.client_id
        logger.bind(job=name, gateway=source).info("job_end_proposed")
        proposed = self._group.propose(EndRelayedJob(message.job))
        return proposed.addCallback(_reply, JobEnded(message.job))

    # --- reads ---------------------------------------------------------------------------

    def _read_body(self, source: str, message: ReadItemBody) -> ItemBodyFound | Fault:
        refusal = self._refusal("jobs.read_body")
        if refusal is not None:
            return refusal
        job = self._state.jobs.get(message.job)
        body = None if job is None else job.body(message.item)
        if body is None:
            detail = f"no open item {message.item} in {message.job}"
            return Fault(FaultCode.NOT_FOUND, "jobs.read_body", detail)
        return ItemBodyFound(body)

    def _read(self, source: str, message: ReadResults) -> "ResultPage | Fault | Deferred[Any]":
        refusal = self._refusal("jobs.read")
        if refusal is not None:
            return refusal
        if message.wait_s <= 0 or self._is_answerable(message):
            return self._read_now(message)
        return self._held.hold(message)

    def _is_answerable(self, message: ReadResults) -> bool:
        """Tell whether a read can be answered at once: it has a result, or none will follow."""
        job = self._state.jobs.get(message.job)
        return job is None or not job.is_open or len(job.listed) > message.after

    def _read_now(self, message: ReadResults) -> ResultPage | Fault:
        refusal = self._refusal("jobs.read")
        if refusal is not None:
            return refusal
        job = self._state.jobs.get(message.job)
        if job is None:
            return Fault(FaultCode.NOT_FOUND, "jobs.read", f"no job {message.job}")
        return page_of(job, message.after)


def page_of(job: RelayedJob, after: int) -> ResultPage:
    """Return the page of results from a position on; it has at least one result if any exists."""
    entries: list[ResultEntry] = []
    size = 0
    for listed in job.listed[max(0, after) :]:
        size += len(listed.text)
        if entries and size > MAX_PAGE_BYTES:
            break
        entries.append(ResultEntry(job.items[listed.index].item, listed.done, listed.text))
    return ResultPage(job.job, len(job.items), after, tuple(entries))


def _reply(result: Any, answer: RelayedJobAccepted | JobEnded) -> Any:
    """Return the reply to a proposal: ``answer`` once committed and applied, else the fault."""
    if result.is_error():
        return Error(result.error)
    outcome = result.ok[1]
    return outcome if isinstance(outcome, Fault) else answer
