"""Batch clients: submit jobs over HTTP, note accepted ones durably, read results back."""

import json
from collections.abc import Awaitable, Callable, Generator
from dataclasses import dataclass
from functools import partial
from typing import Any

from expression import Error, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.threads import deferToThread

from rainsail.demo.callers import CallerSeams
from rainsail.demo.http_calls import Call, Reply
from rainsail.demo.journal import AcceptedJournal, NotedJob
from rainsail.demo.site import BATCH_TENANT
from rainsail.demo.traffic_plan import COMPLETION_PATH, PlannedJob
from rainsail.emulator.answers import expected_answer
from rainsail.errors import Fault
from rainsail.experiment.history import History, JobAccepted, JobRead, ResultRead
from rainsail.gateway.openai.batches import ERRORS_PREFIX, OUTPUT_PREFIX
from rainsail.gateway.openai.headers import IDEMPOTENCY_HEADER
from rainsail.runtime.clock import sleep
from rainsail.state.commands import ItemPhase

POLL_PERIOD_S = 1.0
RETRY_DELAY_S = 0.5
COMPLETION_WINDOW = "24h"
COMPLETED_STATUS = "completed"
_BOUNDARY = "rainsail-demo-form-boundary"


@dataclass(frozen=True, slots=True)
class BatchView:
    """A batch as the caller API describes it."""

    job_id: str
    status: str
    completed: int
    failed: int

    @staticmethod
    def of(body: Any) -> "BatchView":
        """Read OpenAI's batch object."""
        counts = body["request_counts"]
        return BatchView(body["id"], body["status"], counts["completed"], counts["failed"])


class BatchApi:
    """The caller API's files and batches, as one tenant uses them over all gateways."""

    def __init__(self, seams: CallerSeams) -> None:
        self._seams = seams
        self._key = seams.tenant_keys[BATCH_TENANT]
        self._next = seams.draw.randrange(len(seams.caller_apis))

    def next_gateway(self) -> str:
        """Return the base URL of the next gateway in turn."""
        self._next += 1
        bases = list(self._seams.caller_apis.values())
        return bases[self._next % len(bases)]

    async def submit(self, job: PlannedJob) -> Result[BatchView, Fault]:
        """Upload a job's items and create the batch at the same gateway."""
        base = self.next_gateway()
        form = f"multipart/form-data; boundary={_BOUNDARY}"
        upload = Call("POST", f"{base}/v1/files", self._key, _form(_input_file(job)), form)
        uploaded = await self._seams.http.call(upload)
        if uploaded.is_error():
            return Error(uploaded.error)
        body = {
            "input_file_id": uploaded.ok.json()["id"],
            "endpoint": COMPLETION_PATH,
            "completion_window": COMPLETION_WINDOW,
        }
        headers = ((IDEMPOTENCY_HEADER, job.job_key),)
        create = Call(
            "POST",
            f"{base}/v1/batches",
            self._key,
            json.dumps(body).encode(),
            headers=headers,
        )
        created = await self._seams.http.call(create)
        return created.map(lambda reply: BatchView.of(reply.json()))

    async def read(self, job_id: str) -> Result[BatchView, Fault]:
        """Read a batch."""
        read = await self._get(f"/v1/batches/{job_id}")
        return read.map(lambda reply: BatchView.of(reply.json()))

    async def download(self, file_id: str) -> Result[list[Any], Fault]:
        """Read the lines of a results file."""
        read = await self._get(f"/v1/files/{file_id}/content")
        return read.map(lambda reply: [json.loads(line) for line in reply.body.splitlines()])

    async def _get(self, path: str) -> Result[Reply, Fault]:
        return await self._seams.http.call(Call("GET", self.next_gateway() + path, self._key))


class JobClient:
    """One job: submitted until accepted and noted, followed until complete, read twice."""

    def __init__(self, seams: CallerSeams, api: BatchApi) -> None:
        self._clock = seams.clock
        self._history: History = seams.history
        self._api = api
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
        view = yield self._until_answered(lambda: self._api.submit(planned))
        noted = NotedJob(journal.run, planned.job_key, view.job_id, planned.service, planned.items)
        yield deferToThread(journal.note, noted)
        self.count(noted)

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
            view = yield self._until_answered(lambda: self._api.read(job_id))
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
        view = yield self._until_answered(lambda: self._api.read(job_id))
        self._history.record(
            JobRead(self._clock.seconds(), job_id, view.status, view.completed, view.failed)
        )
        for prefix in (OUTPUT_PREFIX, ERRORS_PREFIX):
            download = partial(self._api.download, f"{prefix}{job_id}")
            lines = yield self._until_answered(download)
            for line in lines:
                self._note_line(self.job, line)

    def _note_line(self, job: NotedJob, line: Any) -> None:
        index = int(line["id"].rpartition("-")[2])
        item = job.items[index]
        expected = expected_answer(job.service, item.prompt, item.max_tokens, 0)
        response = line["response"]
        phase = ItemPhase.SET_ASIDE if response is None else ItemPhase.COMPLETED
        text = "" if response is None else response["body"]["choices"][0]["text"]
        if line["custom_id"] != item.custom_id:
            text = f"result of {line['custom_id']} in the place of {item.custom_id}"
        self._history.record(
            ResultRead(self._clock.seconds(), job.job_id, index, phase, text, expected)
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


def _input_file(job: PlannedJob) -> bytes:
    lines = [
        {
            "custom_id": item.custom_id,
            "method": "POST",
            "url": COMPLETION_PATH,
            "body": {"model": job.service, "prompt": item.prompt, "max_tokens": item.max_tokens},
        }
        for item in job.items
    ]
    return b"".join(json.dumps(line).encode() + b"\n" for line in lines)


def _form(content: bytes) -> bytes:
    purpose = f'--{_BOUNDARY}\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
    file = (
        f"--{_BOUNDARY}\r\n"
        'Content-Disposition: form-data; name="file"; filename="items.jsonl"\r\n'
        "Content-Type: application/jsonl\r\n\r\n"
    )
    return purpose.encode() + file.encode() + content + f"\r\n--{_BOUNDARY}--\r\n".encode()
