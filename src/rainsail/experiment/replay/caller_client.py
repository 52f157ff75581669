"""A client of the caller API for replays, over treq: streams, files, batches and results."""

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import treq
from expression import Error, Ok, Result
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed, ResponseNeverReceived
from twisted.web.http_headers import Headers

from rainsail.engine.sse import SseError
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.experiment.replay.answer_stream import STEP, AnswerStream, StreamEnd, fault_of
from rainsail.gateway.interface import CallerRequest
from rainsail.gateway.openai.headers import (
    ADAPTER_HEADER,
    CLASS_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    SESSION_HEADER,
)
from rainsail.state.commands import ItemBody

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 45.0
CALL_TIMEOUT_S = 30.0
CONNECTIONS_PER_HOST = 64
COMPLETIONS = "/v1/completions"

LOST = (
    ConnectionClosed,
    ResponseFailed,
    ResponseNeverReceived,
    CancelledError,
    TimeoutError,
)


@dataclass(frozen=True, slots=True)
class BatchView:
    """A batch as the API shows it."""

    job_id: str
    status: str
    completed: int
    failed: int


@dataclass(frozen=True, slots=True)
class ResultLine:
    """One finished item as the API shows it; ``text`` is None for one that was set aside."""

    index: int
    text: str | None


class CallerClient:
    """Speaks to one caller API; ``seconds`` is the replay's clock."""

    def __init__(
        self, reactor: Any, url: str, tenant_keys: dict[str, str], seconds: Callable[[], float]
    ) -> None:
        self._reactor = reactor
        self._url = url
        self._keys = tenant_keys
        self._seconds = seconds
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = CONNECTIONS_PER_HOST
        self._pool.retryAutomatically = False
        agent: Any = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._http = HTTPClient(agent)

    def close(self) -> "Deferred[Any]":
        """Close the kept connections."""
        return self._pool.closeCachedConnections()

    async def reachable(self) -> bool:
        """Tell whether anything answers at the URL."""
        answer = await self._call("GET", "/v1/models", next(iter(self._keys), ""), {})
        return answer.is_ok() or answer.error.code != FaultCode.UNAVAILABLE

    # --- online ---------------------------------------------------------------------------

    async def complete(self, request: CallerRequest) -> StreamEnd:
        """Send a request and read its stream to the end."""
        end = StreamEnd()
        try:
            response = await self._send_completion(request)
            if response.code != 200:
                end.fault = fault_of(response.code, await response.content())
                return end
            await self._read_stream(response, end)
        except ConnectError as error:
            end.fault = _lost(error, Outcome.NOT_RUN)
        except (*LOST, SseError, ValueError) as error:
            end.fault = _lost(error, Outcome.UNKNOWN)
            end.lost = True
        return end

    def _send_completion(self, request: CallerRequest) -> "Deferred[Any]":
        body = {
            "model": request.model,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "seed": request.seed,
            "stream": True,
        }
        headers = {
            CLASS_HEADER: request.class_ or "",
            IDEMPOTENCY_HEADER: request.request_id,
            SESSION_HEADER: request.session,
            ADAPTER_HEADER: request.adapter,
            DEADLINE_HEADER: str(request.deadline_s) if request.deadline_s else "",
        }
        return self._http.post(
            self._url + COMPLETIONS,
            json=body,
            headers=self._headers(request.tenant, headers),
            unbuffered=True,
            timeout=ANSWER_TIMEOUT_S,
        )

    async def _read_stream(self, response: Any, end: StreamEnd) -> None:
        reader = AnswerStream(end, self._seconds)
        ended: Deferred[Any] = treq.collect(response, reader.feed)
        await ended.addTimeout(ANSWER_TIMEOUT_S, self._reactor)
        end.text = "".join(reader.texts)
        if not reader.done and end.fault is None:
            detail = "the stream broke off before its end"
            end.fault = Fault(FaultCode.UNAVAILABLE, STEP, detail, outcome=Outcome.UNKNOWN)
            end.lost = True

    # --- batches --------------------------------------------------------------------------

    async def submit(
        self,
        tenant: str,
        job_key: str,
        service: str,
        items: Sequence[ItemBody],
        deadline_s: float,
    ) -> Result[BatchView, Fault]:
        """Upload the items and make a batch of them."""
        lines = b"".join(_input_line(service, item) for item in items)
        files = {"file": ("items.jsonl", "application/jsonl", lines)}
        uploaded = await self._call(
            "POST", "/v1/files", tenant, {}, files=files, data={"purpose": "batch"}
        )
        if uploaded.is_error():
            return Error(uploaded.error)
        body = {
            "input_file_id": uploaded.ok["id"],
            "endpoint": COMPLETIONS,
            "completion_window": f"{max(1, min(int(deadline_s), 999_999))}s",
        }
        headers = {IDEMPOTENCY_HEADER: job_key}
        made = await self._call("POST", "/v1/batches", tenant, headers, json=body)
        return made.map(_batch_view)

    async def batch(self, tenant: str, job_id: str) -> Result[BatchView, Fault]:
        """Read a batch."""
        read = await self._call("GET", f"/v1/batches/{job_id}", tenant, {})
        return read.map(_batch_view)

    async def cancel(self, tenant: str, job_id: str) -> Result[BatchView, Fault]:
        """Cancel a batch."""
        done = await self._call("POST", f"/v1/batches/{job_id}/cancel", tenant, {})
        return done.map(_batch_view)

    async def results(self, tenant: str, job_id: str) -> Result[list[ResultLine], Fault]:
        """Read every finished item."""
        found: list[ResultLine] = []
        for prefix in ("file-output-", "file-errors-"):
            path = f"/v1/files/{prefix}{job_id}/content"
            read = await self._call("GET", path, tenant, {}, lines=True)
            if read.is_error():
                return Error(read.error)
            found += [_result_line(line) for line in read.ok]
        return Ok(found)

    async def _call(
        self,
        method: str,
        path: str,
        tenant: str,
        headers: dict[str, str],
        lines: bool = False,
        **body: Any,
    ) -> Result[Any, Fault]:
        try:
            response = await self._http.request(
                method,
                self._url + path,
                headers=self._headers(tenant, headers),
                timeout=CALL_TIMEOUT_S,
                **body,
            )
            content = await response.content()
            if response.code != 200:
                return Error(fault_of(response.code, content))
            return Ok(_lines(content) if lines else json.loads(content))
        except ConnectError as error:
            return Error(_lost(error, Outcome.NOT_RUN))
        except (*LOST, ValueError) as error:
            return Error(_lost(error, Outcome.UNKNOWN))

    def _headers(self, tenant: str, more: dict[str, str]) -> Headers:
        headers = Headers({name: [value] for name, value in more.items() if value})
        key = self._keys.get(tenant, "")
        if key:
            headers.addRawHeader("Authorization", f"Bearer {key}")
        return headers


def _lost(error: Exception, outcome: Outcome) -> Fault:
    detail = f"{type(error).__name__}: {error}"
    return Fault(FaultCode.UNAVAILABLE, STEP, detail, outcome=outcome)


def _input_line(service: str, item: ItemBody) -> bytes:
    body = {"model": service, "prompt": item.prompt, "max_tokens": item.max_tokens}
    line = {"custom_id": item.custom_id, "method": "POST", "url": COMPLETIONS, "body": body}
    return json.dumps(line).encode() + b"\n"


def _lines(content: bytes) -> list[Any]:
    return [json.loads(line) for line in content.splitlines() if line]


def _batch_view(body: Any) -> BatchView:
    counts = body["request_counts"]
    return BatchView(body["id"], body["status"], counts["completed"], counts["failed"])


def _result_line(line: Any) -> ResultLine:
    index = int(line["id"].rpartition("-")[2])
    response = line["response"]
    text = None if response is None else response["body"]["choices"][0]["text"]
    return ResultLine(index, text)
