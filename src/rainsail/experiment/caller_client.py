"""One gateway's caller API as a user sees it: streams, files, batches and results."""

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from expression import Error, Ok, Result

from rainsail.errors import Fault, FaultCode
from rainsail.experiment.answer_stream import StreamEnd
from rainsail.experiment.http_calls import HttpCaller, json_lines
from rainsail.gateway.interface import CallerRequest
from rainsail.gateway.openai.batches import ERRORS_PREFIX, OUTPUT_PREFIX
from rainsail.gateway.openai.headers import (
    ADAPTER_HEADER,
    CLASS_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    SESSION_HEADER,
)

ANSWER_TIMEOUT_S = 45.0
"""Not measured; chosen to be above the longest answer of a trace."""
CALL_TIMEOUT_S = 30.0
"""Not measured; chosen to be above a change's wait for a new leader."""
COMPLETIONS = "/v1/completions"


class BatchItem(Protocol):
    """What the input file says of an item."""

    @property
    def custom_id(self) -> str:
        """The caller's name of the item."""
        ...

    @property
    def prompt(self) -> str:
        """The text to complete."""
        ...

    @property
    def max_tokens(self) -> int:
        """The most tokens of the answer."""
        ...


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
    custom_id: str
    text: str | None


class CallerClient:
    """Speaks to one caller API; ``seconds`` is the user's clock."""

    def __init__(
        self,
        http: HttpCaller,
        url: str,
        tenant_keys: dict[str, str],
        seconds: Callable[[], float],
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._http = http
        self._url = url
        self._keys = tenant_keys
        self._seconds = seconds
        self._call_timeout_s = call_timeout_s

    async def reachable(self) -> bool:
        """Tell whether anything answers at the URL."""
        answer = await self._call("GET", "/v1/models", next(iter(self._keys), ""))
        return answer.is_ok() or answer.error.code != FaultCode.UNAVAILABLE

    # --- online ---------------------------------------------------------------------------

    async def complete(self, request: CallerRequest) -> StreamEnd:
        """Send a request for a completion and read its stream to the end."""
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
        return await self._http.stream(
            self._url + COMPLETIONS,
            self._keys.get(request.tenant, ""),
            ANSWER_TIMEOUT_S,
            headers,
            body,
            self._seconds,
        )

    # --- batches --------------------------------------------------------------------------

    async def submit(
        self,
        tenant: str,
        job_key: str,
        service: str,
        items: Sequence[BatchItem],
        deadline_s: float,
    ) -> Result[BatchView, Fault]:
        """Upload the items and make a batch of them."""
        lines = b"".join(_input_line(service, item) for item in items)
        files = {"file": ("items.jsonl", "application/jsonl", lines)}
        uploaded = await self._call(
            "POST", "/v1/files", tenant, files=files, data={"purpose": "batch"}
        )
        if uploaded.is_error():
            return Error(uploaded.error)
        body = {
            "input_file_id": uploaded.ok["id"],
            "endpoint": COMPLETIONS,
            "completion_window": f"{max(1, min(int(deadline_s), 999_999))}s",
        }
        headers = {IDEMPOTENCY_HEADER: job_key}
        made = await self._call("POST", "/v1/batches", tenant, headers=headers, json=body)
        return made.map(_batch_view)

    async def batch(self, tenant: str, job_id: str) -> Result[BatchView, Fault]:
        """Read a batch."""
        read = await self._call("GET", f"/v1/batches/{job_id}", tenant)
        return read.map(_batch_view)

    async def cancel(self, tenant: str, job_id: str) -> Result[BatchView, Fault]:
        """Cancel a batch."""
        done = await self._call("POST", f"/v1/batches/{job_id}/cancel", tenant)
        return done.map(_batch_view)

    async def results(self, tenant: str, job_id: str) -> Result[list[ResultLine], Fault]:
        """Read every finished item."""
        found: list[ResultLine] = []
        for prefix in (OUTPUT_PREFIX, ERRORS_PREFIX):
            path = f"/v1/files/{prefix}{job_id}/content"
            read = await self._call("GET", path, tenant, decode=json_lines)
            if read.is_error():
                return Error(read.error)
            found += [_result_line(line) for line in read.ok]
        return Ok(found)

    async def _call(self, method: str, path: str, tenant: str, **more: Any) -> Result[Any, Fault]:
        key = self._keys.get(tenant, "")
        return await self._http.call(method, self._url + path, key, self._call_timeout_s, **more)


def _input_line(service: str, item: BatchItem) -> bytes:
    body = {"model": service, "prompt": item.prompt, "max_tokens": item.max_tokens}
    line = {"custom_id": item.custom_id, "method": "POST", "url": COMPLETIONS, "body": body}
    return json.dumps(line).encode() + b"\n"


def _batch_view(body: Any) -> BatchView:
    counts = body["request_counts"]
    return BatchView(body["id"], body["status"], counts["completed"], counts["failed"])


def _result_line(line: Any) -> ResultLine:
    index = int(line["id"].rpartition("-")[2])
    response = line["response"]
    text = None if response is None else response["body"]["choices"][0]["text"]
    return ResultLine(index, line["custom_id"], text)
