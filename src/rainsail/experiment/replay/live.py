"""Replay against a running caller API over HTTP, in real time or some factor faster.

Only what a caller can see is recorded: engine starts and operators' changes are not. Ids carry the
name of the run, so that a second replay is not taken for a repetition of the first.
"""

import importlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import deferLater

from rainsail.emulator.answers import expected_answer
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.experiment.answer_stream import StreamEnd
from rainsail.experiment.caller_client import BatchView, CallerClient
from rainsail.experiment.history import (
    AnswerReceived,
    History,
    JobAccepted,
    JobCancelAccepted,
    JobRead,
    RequestSent,
    ResultRead,
    RunEnded,
)
from rainsail.experiment.http_calls import HttpCaller
from rainsail.experiment.replay.judge import judge_all
from rainsail.experiment.replay.observations import observe
from rainsail.experiment.replay.outcomes import OutcomesFile
from rainsail.experiment.replay.report import Replayed
from rainsail.experiment.replay.traced_users import caller_request, item_bodies
from rainsail.experiment.trace.records import Trace, TracedJob, TracedRequest
from rainsail.state.commands import ItemBody, ItemPhase

STEP = "replay.live"
MOST_SENDS = 4
RESEND_DELAY_S = 1.0
POLL_PERIOD_S = 1.0
JOB_LIMIT_S = 300.0
"""After its submission a job is followed for so long at most."""
COMPLETED = "completed"
CANCELLED = "cancelled"


class EngineAnswers(StrEnum):
    """Whether the engines behind the API are emulated, so that the right answers are known."""

    EMULATED = "emulated"
    REAL = "real"


@dataclass(frozen=True, slots=True)
class LiveTarget:
    """Where and how to replay. ``run`` goes before every id that the API sees."""

    url: str
    tenant_keys: dict[str, str]
    speed: float = 1.0
    engines: EngineAnswers = EngineAnswers.EMULATED
    run: str = "replay"
    job_limit_s: float = JOB_LIMIT_S
    resend_delay_s: float = RESEND_DELAY_S


class LiveReplay:
    """One replay on a reactor."""

    def __init__(
        self,
        reactor: Any,
        trace: Trace,
        target: LiveTarget,
        arrived: Callable[[], None] = lambda: None,
    ) -> None:
        self.history = History()
        self._reactor = reactor
        self._trace = trace
        self._target = target
        self._arrived = arrived
        self._started_s = reactor.seconds()
        self._http = HttpCaller(reactor)
        self._client = CallerClient(self._http, target.url, target.tenant_keys, self._now_s)

    async def run(self) -> Result[History, Fault]:
        """Send everything at its time; return the history once all is answered or given up."""
        if not await self._client.reachable():
            detail = f"nothing answers at {self._target.url}"
            return Error(Fault(FaultCode.UNAVAILABLE, STEP, detail, self._target.url))
        self._started_s = self._reactor.seconds()
        work = [self._at(each.at_s, self._request, each) for each in self._trace.requests]
        work += [self._at(each.at_s, self._job, each) for each in self._trace.jobs]
        done: Deferred[Any] = DeferredList(work, fireOnOneErrback=True, consumeErrors=True)
        await done
        await self._http.close()
        self.history.record(RunEnded(self._now_s(), True))
        return Ok(self.history)

    def _now_s(self) -> float:
        return self._reactor.seconds() - self._started_s

    def _at(self, at_s: float, act: Callable[[Any], Any], entry: Any) -> "Deferred[Any]":
        wait_s = max(0.0, at_s / self._target.speed - self._now_s())
        begun = deferLater(self._reactor, wait_s, self._arrived)
        return begun.addCallback(lambda _: Deferred.fromCoroutine(act(entry)))

    def _pause(self, seconds: float) -> "Deferred[None]":
        return deferLater(self._reactor, seconds)

    # --- requests -------------------------------------------------------------------------

    async def _request(self, traced: TracedRequest) -> None:
        request = caller_request(traced)
        known = self._target.engines == EngineAnswers.EMULATED
        expected = (
            expected_answer(request.model, request.prompt, request.max_tokens, request.seed)
            if known
            else None
        )
        sent = replace(request, request_id=f"{self._target.run}-{request.request_id}")
        for number in range(1, MOST_SENDS + 1):
            sent_s = self._now_s()
            end = await self._client.complete(sent)
            self._record_send(traced, f"{traced.request_id}#{number}", sent_s, end, expected)
            if end.fault is None or not (end.lost or end.fault.outcome == Outcome.NOT_RUN):
                return
            if number < MOST_SENDS:
                await self._pause(end.fault.retry_after_s or self._target.resend_delay_s)

    def _record_send(
        self,
        traced: TracedRequest,
        send_id: str,
        sent_s: float,
        end: StreamEnd,
        expected: str | None,
    ) -> None:
        """Record a send with its answer; an answer that nobody knows beforehand is its own."""
        fault = end.fault
        outcome = Outcome.COMPLETED if fault is None else fault.outcome
        right = end.text if expected is None else expected
        self.history.record(
            RequestSent(
                sent_s,
                traced.request_id,
                send_id,
                self._target.url,
                traced.tenant,
                traced.class_,
                right,
            )
        )
        self.history.record(
            AnswerReceived(
                self._now_s(),
                traced.request_id,
                send_id,
                outcome,
                end.text,
                end.first_part_s,
                "" if fault is None else str(fault),
                end.lost,
            )
        )

    # --- jobs -----------------------------------------------------------------------------

    async def _job(self, job: TracedJob) -> None:
        limit_s = self._now_s() + self._target.job_limit_s
        items = item_bodies(job)
        view = await self._submit(job, items, limit_s)
        if view is None:
            return
        accepted = JobAccepted(self._now_s(), job.job_key, view.job_id, "", len(items))
        self.history.record(accepted)
        if job.cancel_after_s:
            await self._cancel(job, view.job_id)
        if await self._follow(job, view.job_id, limit_s):
            await self._read_results(job, view.job_id, items)

    async def _submit(
        self, job: TracedJob, items: tuple[ItemBody, ...], limit_s: float
    ) -> BatchView | None:
        key = f"{self._target.run}-{job.job_key}"
        while self._now_s() < limit_s:
            made = await self._client.submit(job.tenant, key, job.service, items, job.deadline_s)
            if made.is_ok():
                return made.ok
            await self._pause(made.error.retry_after_s or self._target.resend_delay_s)
        return None

    async def _cancel(self, job: TracedJob, job_id: str) -> None:
        await self._pause(job.cancel_after_s / self._target.speed)
        done = await self._client.cancel(job.tenant, job_id)
        if done.is_ok() and done.ok.status == CANCELLED:
            self.history.record(JobCancelAccepted(self._now_s(), job_id))

    async def _follow(self, job: TracedJob, job_id: str, limit_s: float) -> bool:
        """Poll until the job is finished; return whether it was by the limit."""
        while self._now_s() < limit_s:
            read = await self._client.batch(job.tenant, job_id)
            if read.is_ok():
                view = read.ok
                now_s = self._now_s()
                event = JobRead(now_s, job_id, view.status, view.completed, view.failed)
                self.history.record(event)
                if view.status in (COMPLETED, CANCELLED):
                    return True
            await self._pause(POLL_PERIOD_S)
        return False

    async def _read_results(self, job: TracedJob, job_id: str, items: tuple[ItemBody, ...]) -> None:
        read = await self._client.results(job.tenant, job_id)
        if read.is_error():
            return
        for line in read.ok:
            item = items[line.index]
            text = line.text or ""
            right = text
            if self._target.engines == EngineAnswers.EMULATED:
                right = expected_answer(job.service, item.prompt, item.max_tokens, 0)
            phase = ItemPhase.SET_ASIDE if line.text is None else ItemPhase.COMPLETED
            event = ResultRead(self._now_s(), job_id, line.index, phase, text, right)
            self.history.record(event)


async def replay_live(
    reactor: Any,
    trace: Trace,
    outcomes: OutcomesFile,
    target: LiveTarget,
    arrived: Callable[[], None] = lambda: None,
) -> Result[Replayed, Fault]:
    """Replay over HTTP and judge; ``arrived`` is called at each arrival."""
    ran = await LiveReplay(reactor, trace, target, arrived).run()
    return ran.map(lambda history: _judged(trace, outcomes, target, history))


def _judged(trace: Trace, outcomes: OutcomesFile, target: LiveTarget, history: History) -> Replayed:
    observed = observe(trace, history, 0.0, target.speed, False)
    return Replayed(trace, target.url, history, tuple(judge_all(outcomes, observed)), (), 0)


def run_live(
    trace: Trace, outcomes: OutcomesFile, target: LiveTarget, arrived: Callable[[], None]
) -> Result[Replayed, Fault] | None:
    """Run the reactor for one replay; None when it was interrupted."""
    reactor: Any = importlib.import_module("twisted.internet.reactor")
    ended: list[Any] = []

    def finish(result: Any) -> None:
        ended.append(result)
        reactor.stop()

    def start() -> None:
        work = replay_live(reactor, trace, outcomes, target, arrived)
        Deferred.fromCoroutine(work).addBoth(finish)

    reactor.callWhenRunning(start)
    reactor.run()
    if ended and hasattr(ended[0], "raiseException"):
        ended[0].raiseException()
    return ended[0] if ended else None
