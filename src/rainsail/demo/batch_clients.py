"""Batch clients: submit jobs over HTTP, note accepted ones durably, read results back."""

from collections.abc import Awaitable, Callable, Generator
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.threads import deferToThread

from rainsail.demo.callers import CALL_TIMEOUT_S, CallerSeams
from rainsail.demo.journal import AcceptedJournal, NotedJob
from rainsail.demo.site import BATCH_TENANT
from rainsail.demo.traffic_plan import PlannedJob
from rainsail.emulator.answers import expected_answer
from rainsail.errors import Fault
from rainsail.experiment.caller_client import BatchView, CallerClient, ResultLine
from rainsail.experiment.history import History, JobAccepted, JobRead, ResultRead
from rainsail.runtime.clock import sleep
from rainsail.state.commands import ItemPhase

POLL_PERIOD_S = 1.0
RETRY_DELAY_S = 0.5
COMPLETION_WINDOW_S = 24 * 3600.0
COMPLETED_STATUS = "completed"


class GatewaysInTurn:
    """The caller API of each gateway, used by the batch clients in turn."""

    def __init__(self, seams: CallerSeams) -> None:
        self._clients = [
            CallerClient(seams.http, url, seams.tenant_keys, seams.clock.seconds, CALL_TIMEOUT_S)
            for url in seams.caller_apis.values()
        ]
        self._next = seams.draw.randrange(len(self._clients))

    def next(self) -> CallerClient:
        """Return the client of the next gateway."""
        self._next += 1
        return self._clients[self._next % len(self._clients)]


class DemoJobClient:
    """One job: submitted until accepted and noted, followed until complete, read twice."""

    def __init__(self, seams: CallerSeams, gateways: GatewaysInTurn) -> None:
        self._clock = seams.clock
        self._history: History = seams.history
        self._gateways = gateways
        self.job: NotedJob | None = None
        self.completed = 0
        self.finished = False

    @inlineCallbacks
    def run(
        self, planned: PlannedJob, journal: AcceptedJournal
    ) -> Generator[Deferred[Any], Any, None]:
        """Submit the job and follow it to its end."""
        yield self.submit(planned, journal)
        yield self.follow()

    @inlineCallbacks
    def submit(
        self, planned: PlannedJob, journal: AcceptedJournal
    ) -> Generator[Deferred[Any], Any, None]:
        """Submit until accepted; the job counts once its note is synced."""
        view = yield self._until_answered(lambda: self._submit_once(planned))
        noted = NotedJob(journal.run, planned.job_key, view.job_id, planned.service, planned.items)
        yield deferToThread(journal.note, noted)
        self.count(noted)

    def _submit_once(self, job: PlannedJob) -> Awaitable[Result[BatchView, Fault]]:
        """Upload the items and create the batch at one gateway: files are kept where they came."""
        return self._gateways.next().submit(
            job.tenant, job.job_key, job.service, job.items, COMPLETION_WINDOW_S
        )

    def _read(self, job_id: str) -> Awaitable[Result[BatchView, Fault]]:
        return self._gateways.next().batch(BATCH_TENANT, job_id)

    def _results(self, job_id: str) -> Awaitable[Result[list[ResultLine], Fault]]:
        return self._gateways.next().results(BATCH_TENANT, job_id)

    def count(self, noted: NotedJob) -> None:
        """Count a noted job as accepted, also one of an earlier start."""
        self.job = noted
        self._history.record(
            JobAccepted(self._clock.seconds(), noted.job_key, noted.job_id, "", len(noted.items))
        )

    @inlineCallbacks
    def follow(self) -> Generator[Deferred[Any], Any, None]:
        """Poll until the job is complete, then read its results."""
        assert self.job is not None
        job_id = self.job.job_id
        while True:
            view = yield self._until_answered(lambda: self._read(job_id))
            self.completed = view.completed
            if view.status == COMPLETED_STATUS:
                break
            yield sleep(self._clock, POLL_PERIOD_S)
        yield self.read_results()
        self.finished = True

    @inlineCallbacks
    def read_results(self) -> Generator[Deferred[Any], Any, None]:
        """Read every finished item once and note what was read."""
        assert self.job is not None
        job_id = self.job.job_id
        view = yield self._until_answered(lambda: self._read(job_id))
        self._history.record(
            JobRead(self._clock.seconds(), job_id, view.status, view.completed, view.failed)
        )
        lines = yield self._until_answered(lambda: self._results(job_id))
        for line in lines:
            self._note_line(self.job, line)

    def _note_line(self, job: NotedJob, line: ResultLine) -> None:
        item = job.items[line.index]
        expected = expected_answer(job.service, item.prompt, item.max_tokens, 0)
        phase = ItemPhase.SET_ASIDE if line.text is None else ItemPhase.COMPLETED
        text = line.text or ""
        if line.custom_id != item.custom_id:
            text = f"result of {line.custom_id} in the place of {item.custom_id}"
        self._history.record(
            ResultRead(self._clock.seconds(), job.job_id, line.index, phase, text, expected)
        )

    @inlineCallbacks
    def _until_answered(
        self, attempt: Callable[[], Awaitable[Result[Any, Fault]]]
    ) -> Generator[Deferred[Any], Any, Any]:
        """Try until there is an answer; the course of the run bounds how long."""
        while True:
            result = yield Deferred.fromCoroutine(attempt())  # type: ignore[arg-type]
            if result.is_ok():
                return result.ok
            yield sleep(self._clock, result.error.retry_after_s or RETRY_DELAY_S)
