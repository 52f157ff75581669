"""Converts input files to a job's items, and jobs and results to OpenAI's objects.

A batch's id is its job's id. ``file-output-JOB`` and ``file-errors-JOB`` are the ids of its result
files, which every gateway reads from the ledger.
"""

from collections.abc import Iterator
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Cooperator

from rainsail.engine.prefix import count_tokens
from rainsail.errors import Fault, FaultCode
from rainsail.gateway.openai.bodies import (
    BATCH_LINE,
    CHAT_COMPLETION,
    COMPLETION,
    BatchRequest,
    read_json,
    read_object,
)
from rainsail.gateway.openai.responses import encode_json
from rainsail.gateway.openai.settings import CallerApiSettings
from rainsail.state.commands import ItemBody, ItemPhase, JobPhase, JobView
from rainsail.state.interface import ResultRow

STEP = "caller_api.batches"
OUTPUT_PREFIX = "file-output-"
ERRORS_PREFIX = "file-errors-"
CHAT_ENDPOINT = "/v1/chat/completions"

_STATUS = {
    JobPhase.OPEN: "validating",
    JobPhase.SEALED: "in_progress",
    JobPhase.COMPLETED: "completed",
    JobPhase.CANCELLED: "cancelled",
}


class BatchInput:
    """Parses an input file into items, in slices, so that the reactor is not blocked."""

    def __init__(self, endpoint: str, content: bytes, settings: CallerApiSettings) -> None:
        self._endpoint = endpoint
        self._adapter: Any = CHAT_COMPLETION if endpoint == CHAT_ENDPOINT else COMPLETION
        self._content = content
        self._settings = settings
        self._items: list[ItemBody] = []
        self._model = ""
        self._fault: Fault | None = None

    def read(self, cooperator: Cooperator) -> "Deferred[Result[tuple[str, Any], Fault]]":
        """Parse the file; fires with the service's name and the items, or with the first fault."""
        reading: Deferred[Any] = cooperator.coiterate(self._slices())
        return reading.addCallback(lambda _: self._result())

    def _result(self) -> Result[tuple[str, Any], Fault]:
        if self._fault is not None:
            return Error(self._fault)
        if not self._items:
            return Error(Fault(FaultCode.INVALID, STEP, "the input file has no lines"))
        return Ok((self._model, tuple(self._items)))

    def _slices(self) -> Iterator[None]:
        start = 0
        number = 0
        while start < len(self._content):
            end = self._content.find(b"\n", start)
            end = len(self._content) if end < 0 else end
            number += 1
            line = self._content[start:end].strip()
            start = end + 1
            if line:
                self._fault = self._parse_line(line, number)
            if self._fault is not None:
                return
            if number % self._settings.batch_lines_per_slice == 0:
                yield

    def _parse_line(self, data: bytes, number: int) -> Fault | None:
        line = read_json(BATCH_LINE, data, STEP)
        if line.is_error():
            return _line_fault(number, line.error.detail)
        if line.ok.url != self._endpoint:
            return _line_fault(number, f"url: expected {self._endpoint}")
        body = read_object(self._adapter, line.ok.body, STEP)
        if body.is_error():
            return _line_fault(number, f"body.{body.error.detail}")
        return self._add_item(number, line.ok.custom_id, body.ok)

    def _add_item(self, number: int, custom_id: str, body: Any) -> Fault | None:
        prompt = body.text()
        bound = body.token_bound(self._settings.default_max_tokens)
        if bound > self._settings.max_tokens_limit:
            limit = self._settings.max_tokens_limit
            return _line_fault(number, f"body.max_tokens: at most {limit} are taken")
        if len(prompt) > self._settings.max_prompt_characters:
            return _line_fault(number, "body: the prompt is too long")
        if body.stream:
            return _line_fault(number, "body.stream: a batch is not streamed")
        if self._model and body.model != self._model:
            return _line_fault(number, f"body.model: expected {self._model} as in line 1")
        if len(self._items) >= self._settings.max_batch_items:
            limit = self._settings.max_batch_items
            return Fault(FaultCode.TOO_LARGE, STEP, f"more than {limit} items")
        self._model = body.model
        self._items.append(ItemBody(custom_id, prompt, bound))
        return None


def _line_fault(number: int, detail: str) -> Fault:
    return Fault(FaultCode.INVALID, STEP, f"line {number}: {detail}")


def batch_object(job: JobView, request: BatchRequest | None = None) -> dict[str, Any]:
    """Return OpenAI's batch object; the ledger stores no times except the deadline."""
    finished = job.phase in (JobPhase.COMPLETED, JobPhase.CANCELLED)
    failed = job.set_aside + job.cancelled
    named_file = job.spec.job_key if job.spec.job_key.startswith("file-") else ""
    return {
        "id": job.job_id,
        "object": "batch",
        "endpoint": request.endpoint if request is not None else "",
        "input_file_id": request.input_file_id if request is not None else named_file,
        "completion_window": request.completion_window if request is not None else "",
        "status": _STATUS[job.phase],
        "model": job.spec.service,
        "created_at": 0,
        "expires_at": int(job.spec.deadline_unix_s),
        "output_file_id": f"{OUTPUT_PREFIX}{job.job_id}" if finished else None,
        "error_file_id": f"{ERRORS_PREFIX}{job.job_id}" if finished and failed else None,
        "request_counts": {
            "total": job.spec.item_count,
            "completed": job.completed,
            "failed": failed,
        },
        "metadata": {"job_key": job.spec.job_key},
    }


def is_output(row: ResultRow) -> bool:
    """Return whether a finished item belongs to the output file rather than the error file."""
    return row.phase is ItemPhase.COMPLETED


def result_line(job: JobView, row: ResultRow) -> bytes:
    """Return one line of the output or error file.

    The ledger does not store the endpoint. A choice therefore has the text both as a completion's
    ``text`` and as a chat's ``message``.
    """
    line: dict[str, Any] = {"id": f"{job.job_id}-{row.index}", "custom_id": row.custom_id}
    if is_output(row):
        line["response"] = {
            "status_code": 200,
            "request_id": f"{job.job_id}-{row.index}",
            "body": _result_body(job, row),
        }
        line["error"] = None
    else:
        line["response"] = None
        line["error"] = {"code": row.phase, "message": row.failure or str(row.phase)}
    return encode_json(line) + b"\n"


def _result_body(job: JobView, row: ResultRow) -> dict[str, Any]:
    message = {"role": "assistant", "content": row.text}
    choice = {"index": 0, "text": row.text, "message": message, "finish_reason": "stop"}
    return {
        "id": f"{job.job_id}-{row.index}",
        "object": "text_completion",
        "model": job.spec.service,
        "choices": [choice],
        "usage": {"completion_tokens": count_tokens(row.text)},
    }
