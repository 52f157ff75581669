"""The ledger's leader as gateways call it: it takes jobs in and answers reads of their results."""

from typing import Any

from expression import Error
from twisted.internet.defer import Deferred, succeed

from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault, FaultCode
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
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.state.job_commands import AcceptJob, EndRelayedJob
from rainsail.wire.messenger import Messenger

MAX_PAGE_BYTES = 700_000
"""Text of one page of results; what is added around it stays under a megabyte."""
MAX_READ_WAIT_S = 1.0


class LedgerService:
    """Serves jobs over the messenger while this node leads the ledger group."""

    def __init__(
        self, messenger: Messenger, clock: Clock, state: JobState, ledger_time: LedgerTime
    ) -> None:
        self._clock = clock
        self._ledger_time = ledger_time
        self._state = state
        self._group: GroupDriver | None = None
        self._held: dict[str, list[_HeldRead]] = {}
        self._proposed: dict[str, SubmitRelayedJob] = {}
        """Jobs whose acceptance is under way."""
        messenger.serve(SubmitRelayedJob, self._submit)
        messenger.serve(ReadResults, self._read)
        messenger.serve(ReadItemBody, self._read_body)
        messenger.serve(EndJobCall, self._end)

    def serve_group(self, group: GroupDriver) -> None:
        """Begin to answer for a group whose storage is open."""
        self._group = group
        group.on_applied(self._release_held)

    def _refusal(self, step: str) -> Fault | None:
        group = self._group
        if group is None:
            return Fault(FaultCode.NOT_LEADER, step, "the ledger is not open here")
        if not group.is_leader():
            return Fault(FaultCode.NOT_LEADER, step, "another node leads", group.leader())
        return None

    def _submit(self, source: str, message: SubmitRelayedJob) -> "Deferred[Any]":
        refusal = self._refusal("jobs.submit")
        if refusal is not None:
            return succeed(refusal)
        assert self._group is not None
        if message.job in self._state.jobs:
            return succeed(RelayedJobAccepted(message.job))
        over = self._over_limit(message)
        if over is not None:
            return succeed(over)
        at_s = self._ledger_time.at(self._clock.seconds())
        command = AcceptJob(
            message.job, message.tenant, message.host, message.path, message.items, at_s
        )
        job = client_id(message.tenant, message.job)
        log = logger.bind(job=job, tenant=message.tenant, items=len(message.items))
        log.bind(gateway=source).info("job_proposed")
        self._proposed[message.job] = message
        proposed = self._group.propose(command)
        proposed.addBoth(self._proposal_over, message.job)
        return proposed.addCallback(_reply, RelayedJobAccepted(message.job))

    def _proposal_over(self, result: Any, job: str) -> Any:
        self._proposed.pop(job, None)
        return result

    def _over_limit(self, message: SubmitRelayedJob) -> Fault | None:
        """Return the fault of a job that does not fit its tenant's limit on the route.

        Jobs that are being committed count as if they were accepted. The refusal is a promise:
        the log of a leader that answers holds no other proposal of this job, since all that came
        before its term is applied.
        """
        limit = message.limit
        if not limit.tokens or message.job in self._proposed:
            return None
        proposed = sum(
            _tokens(each)
            for each in self._proposed.values()
            if (each.tenant, each.host) == (message.tenant, message.host)
            and each.path.startswith(limit.prefix)
        )
        waiting = proposed + self._state.waiting_tokens(message.tenant, message.host, limit.prefix)
        if waiting + _tokens(message) <= limit.tokens:
            return None
        detail = f"{waiting} tokens wait, {_tokens(message)} more don't fit {limit.tokens}"
        job = client_id(message.tenant, message.job)
        log = logger.bind(job=job, tenant=message.tenant, waiting=waiting, limit=limit.tokens)
        log.info("job_over_limit")
        return Fault(FaultCode.OVER_LIMIT, "jobs.submit", detail)

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

    def _read_body(self, source: str, message: ReadItemBody) -> "Deferred[Any]":
        return self._confirmed("jobs.read_body", lambda: self._body_of(message))

    def _body_of(self, message: ReadItemBody) -> Any:
        job = self._state.jobs.get(message.job)
        body = None if job is None else job.body(message.item)
        if body is None:
            detail = f"no open item {message.item} in {message.job}"
            return Fault(FaultCode.NOT_FOUND, "jobs.read_body", detail)
        return ItemBodyFound(body)

    def _read(self, source: str, message: ReadResults) -> "Deferred[Any]":
        return self._confirmed("jobs.read", lambda: self._page_or_hold(message))

    def _confirmed(self, step: str, answer: Any) -> "Deferred[Any]":
        """Answer at once under the leader's lease, which a quorum has renewed lately."""
        refusal = self._refusal(step)
        if refusal is not None:
            return succeed(refusal)
        return _as_deferred(answer())

    def _page_or_hold(self, message: ReadResults) -> Any:
        job = self._state.jobs.get(message.job)
        if job is None:
            return Fault(FaultCode.NOT_FOUND, "jobs.read", f"no job {message.job}")
        if len(job.listed) > message.after or message.wait_s <= 0 or not job.is_open:
            return page_of(job, message.after)
        held = _HeldRead(message, Deferred())
        self._held.setdefault(message.job, []).append(held)
        wait_s = min(message.wait_s, MAX_READ_WAIT_S)
        self._clock.callLater(wait_s, self._release, held)
        return held.done

    def _release_held(self, index: int) -> None:
        for name in list(self._held):
            job = self._state.jobs.get(name)
            for held in list(self._held.get(name, ())):
                if job is None or not job.is_open or len(job.listed) > held.message.after:
                    self._release(held)

    def _release(self, held: "_HeldRead") -> None:
        if held.released:
            return
        held.released = True
        name = held.message.job
        waiting = self._held.get(name, [])
        if held in waiting:
            waiting.remove(held)
        if not waiting:
            self._held.pop(name, None)
        refusal = self._refusal("jobs.read")
        if refusal is not None:
            held.done.callback(refusal)
            return
        job = self._state.jobs.get(name)
        if job is None:
            held.done.callback(Fault(FaultCode.NOT_FOUND, "jobs.read", f"no job {name}"))
            return
        held.done.callback(page_of(job, held.message.after))


class _HeldRead:
    """A read that waits for a result."""

    def __init__(self, message: ReadResults, done: "Deferred[Any]") -> None:
        self.message = message
        self.done = done
        self.released = False


def page_of(job: RelayedJob, after: int) -> ResultPage:
    """Return the results from a position on, at least one if there is one."""
    entries: list[ResultEntry] = []
    size = 0
    for listed in job.listed[max(0, after) :]:
        size += len(listed.text)
        if entries and size > MAX_PAGE_BYTES:
            break
        entries.append(ResultEntry(job.items[listed.index].item, listed.done, listed.text))
    return ResultPage(job.job, len(job.items), after, tuple(entries))


def _tokens(message: SubmitRelayedJob) -> int:
    return sum(item.tokens for item in message.items)


def _as_deferred(answer: Any) -> "Deferred[Any]":
    return answer if isinstance(answer, Deferred) else succeed(answer)


def _reply(result: Any, answer: Any) -> Any:
    if result.is_error():
        fault = result.error
        return Error(fault)
    outcome = result.ok[1]
    if isinstance(outcome, Fault):
        return outcome
    return answer
