"""The engines' HTTP protocol: JSON bodies and SSE frames of the records of ``engine.interface``.

``POST /v1/completions`` is the OpenAI API, extended by an ``engine`` object in the request and by
``sequence``, ``offset`` and ``tokens`` in each chunk; the last frame has an ``end`` object. All
other paths are under ``/engine``.
"""

import base64
import binascii
import json
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError
from pydantic_core import from_json

from rainsail.engine.interface import (
    CacheEvent,
    Chunk,
    EndReason,
    EngineAttemptEnd,
    EngineOrder,
    GenerateRequest,
    KvState,
    LoadReport,
    OrderReply,
    Priority,
)
from rainsail.errors import Fault, FaultCode

COMPLETIONS_PATH = "/v1/completions"
ATTEMPTS_PATH = "/engine/attempts"
ORDERS_PATH = "/engine/orders"
KV_EXPORT_PATH = "/engine/kv/export"
KV_IMPORT_PATH = "/engine/kv/import"
EVENTS_PATH = "/engine/events"
LOAD_EVENT = "load"
CACHE_EVENT = "cache"
KEEP_ALIVE_FRAME = b": keep-alive\n\n"
DONE_DATA = b"[DONE]"
DONE_FRAME = b"data: [DONE]\n\n"

ORDER = TypeAdapter(EngineOrder)
ORDER_REPLY = TypeAdapter(OrderReply)
LOAD_REPORT = TypeAdapter(LoadReport)
CACHE_EVENT_RECORD = TypeAdapter(CacheEvent)
FAULT = TypeAdapter(Fault)


@dataclass(frozen=True, slots=True)
class CancelReply:
    """Whether the engine still ran the cancelled attempt."""

    known: bool


CANCEL_REPLY = TypeAdapter(CancelReply)
IMPORT_REPLY = TypeAdapter(dict[str, Any])

_encode_string = json.encoder.encode_basestring_ascii


@dataclass(frozen=True, slots=True)
class EngineExtension:
    """The ``engine`` object of a completion request."""

    attempt_id: str
    request_id: str
    version: str = ""
    priority: Priority = Priority.HIGH
    adapter: str = ""
    session: str = ""
    fence: int = 0
    forced_prefix: str = ""
    deadline_s: float = 0.0
    single_chunk: bool = False


@dataclass(frozen=True, slots=True)
class CompletionBody:
    """A completion request; without ``engine`` it is a plain OpenAI request."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = False
    seed: int | None = None
    engine: EngineExtension | None = None


COMPLETION = TypeAdapter(CompletionBody)


@dataclass(frozen=True, slots=True)
class ExportBody:
    """Asks for a session's KV cache."""

    session: str
    fence: int


EXPORT = TypeAdapter(ExportBody)


@dataclass(frozen=True, slots=True)
class KvDocument:
    """A ``KvState`` with its bytes in base64."""

    session: str
    fence: int
    tokens: int
    data_base64: str


KV_DOCUMENT = TypeAdapter(KvDocument)


def parse(adapter: TypeAdapter[Any], body: bytes, step: str) -> Result[Any, Fault]:
    """Validate a JSON body; the fault contains the invalid field and the reason."""
    try:
        return Ok(adapter.validate_json(body))
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        place = ".".join(str(part) for part in first["loc"]) or "body"
        return Error(Fault(FaultCode.INVALID, step, f"{place}: {first['msg']}"))


def completion_body(request: GenerateRequest) -> bytes:
    """Return the JSON body of an attempt; the client always asks for a stream."""
    body = {
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.max_tokens,
        "stream": True,
        "seed": request.seed,
        "engine": {
            "attempt_id": request.attempt_id,
            "request_id": request.request_id,
            "version": request.version,
            "priority": request.priority,
            "adapter": request.adapter,
            "session": request.session,
            "fence": request.fence,
            "forced_prefix": request.forced_prefix,
            "deadline_s": request.deadline_s,
            "single_chunk": not request.stream,
        },
    }
    return json.dumps(body, separators=(",", ":")).encode()


def generate_request(body: CompletionBody, fresh_id: str) -> GenerateRequest:
    """Return the attempt for a completion body; a plain OpenAI request gets ``fresh_id``."""
    extension = body.engine or EngineExtension(fresh_id, fresh_id)
    return GenerateRequest(
        attempt_id=extension.attempt_id,
        request_id=extension.request_id,
        model=body.model,
        version=extension.version,
        prompt=body.prompt,
        max_tokens=body.max_tokens,
        priority=extension.priority,
        stream=body.stream and not extension.single_chunk,
        adapter=extension.adapter,
        session=extension.session,
        fence=extension.fence,
        forced_prefix=extension.forced_prefix,
        deadline_s=extension.deadline_s,
        seed=body.seed or 0,
    )


def chunk_frame(chunk: Chunk) -> bytes:
    """Return the SSE frame of a chunk."""
    return (
        f'data: {{"sequence":{chunk.sequence},"offset":{chunk.offset},"tokens":{chunk.tokens},'
        f'"id":{_encode_string(chunk.attempt_id)},"object":"text_completion",'
        f'"choices":[{{"index":0,"text":{_encode_string(chunk.text)},"finish_reason":null}}]}}\n\n'
    ).encode()


def end_frame(end: EngineAttemptEnd) -> bytes:
    """Return the SSE frames of an attempt's end."""
    body = {
        "id": end.attempt_id,
        "object": "text_completion",
        "choices": [{"index": 0, "text": "", "finish_reason": end.reason}],
        "usage": usage(end),
        "end": {
            "reason": end.reason,
            "chunk_count": end.chunk_count,
            "detail": end.detail,
            "retry_after_s": end.retry_after_s,
        },
    }
    return b"data: " + json.dumps(body, separators=(",", ":")).encode() + b"\n\n" + DONE_FRAME


def usage(end: EngineAttemptEnd) -> dict[str, int]:
    """Return OpenAI's ``usage`` object for an end."""
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.generated_tokens,
        "total_tokens": end.prompt_tokens + end.generated_tokens,
    }


def decode_frame(attempt_id: str, data: bytes) -> Chunk | EngineAttemptEnd:
    """Decode a stream frame's data; raises ``ValueError`` when it is malformed."""
    try:
        frame = from_json(data)
        end = frame.get("end")
        if end is not None:
            return _decode_end(attempt_id, frame, end)
        sequence = frame["sequence"]
        offset = frame["offset"]
        tokens = frame["tokens"]
        text = frame["choices"][0]["text"]
    except (LookupError, TypeError, AttributeError, RecursionError, OverflowError) as error:
        raise ValueError(f"malformed frame: {error!r}") from error
    counted = type(sequence) is int and type(offset) is int and type(tokens) is int
    if not counted or type(text) is not str:
        raise ValueError("malformed frame: a field has the wrong type")
    if sequence < 0 or offset < 0 or tokens < 0:
        raise ValueError("malformed frame: a negative count")
    return Chunk(attempt_id, sequence, offset, text, tokens)


def _decode_end(attempt_id: str, frame: dict[str, Any], end: dict[str, Any]) -> EngineAttemptEnd:
    reported = frame["usage"]
    return EngineAttemptEnd(
        attempt_id,
        EndReason(end["reason"]),
        int(end["chunk_count"]),
        int(reported["prompt_tokens"]),
        int(reported["completion_tokens"]),
        str(end["detail"]),
        float(end["retry_after_s"]),
    )


def event_frame(name: str, data: bytes) -> bytes:
    """Return the SSE frame of a named event."""
    return b"event: " + name.encode() + b"\ndata: " + data + b"\n\n"


def kv_document(state: KvState) -> bytes:
    """Return the JSON form of an exported session."""
    encoded = base64.b64encode(state.data).decode()
    document = KvDocument(state.session, state.fence, state.tokens, encoded)
    return KV_DOCUMENT.dump_json(document)


def read_cancel_reply(body: bytes) -> bool:
    """Return whether the engine still ran the attempt; raises ``ValueError``."""
    return CANCEL_REPLY.validate_json(body).known


def read_import_reply(body: bytes) -> None:
    """Check that the reply to an import is a whole JSON object; raises ``ValueError``."""
    IMPORT_REPLY.validate_json(body)


def read_kv_document(body: bytes) -> KvState:
    """Return the session in an export's reply; raises ``ValueError``."""
    document = KV_DOCUMENT.validate_json(body)
    data = base64.b64decode(document.data_base64, validate=True)
    return KvState(document.session, document.fence, document.tokens, data)


def kv_state(document: KvDocument, step: str) -> Result[KvState, Fault]:
    """Return the session in a JSON document, Fault INVALID if its base64 is malformed."""
    try:
        data = base64.b64decode(document.data_base64, validate=True)
    except binascii.Error as error:
        return Error(Fault(FaultCode.INVALID, step, f"data_base64: {error}"))
    return Ok(KvState(document.session, document.fence, document.tokens, data))
