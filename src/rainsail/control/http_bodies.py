"""Reads size-limited JSON bodies and writes JSON responses and typed faults over HTTP."""

import json
from typing import Any

from expression import Error, Ok, Result
from twisted.python.failure import Failure

from rainsail.control.resource_json import JsonObject, fault_to_json
from rainsail.errors import Fault, FaultCode, Outcome, RainsailError
from rainsail.logs import logger

STEP = "operator_api.request"
ROUTE_STEP = "operator_api.route"
NOT_FOUND_STATUS = 404


def answer_json(request: Any, body: Any, status: int = 200) -> bytes:
    """Set the status and content type, and return the encoded body."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(body).encode() + b"\n"


def answer_fault(request: Any, fault: Fault) -> bytes:
    """Answer with a typed fault and its HTTP status; sets ``Retry-After`` if the fault has one."""
    if fault.retry_after_s is not None:
        request.setHeader(b"retry-after", str(max(1, round(fault.retry_after_s))).encode())
    return answer_json(request, fault_to_json(fault), fault.http_status)


def answer_no_route(request: Any, failure: Failure) -> bytes:
    """Answer a request for an unknown path or an unsupported method."""
    error: Any = failure.value
    code = FaultCode.NOT_FOUND if error.code == NOT_FOUND_STATUS else FaultCode.INVALID
    return answer_fault(request, Fault(code, ROUTE_STEP, f"{error.code} {error.name}"))


def answer_failed(request: Any, failure: Failure) -> bytes:
    """Answer an unexpected exception; the outcome of the request is unknown."""
    if isinstance(failure.value, RainsailError):
        return answer_fault(request, failure.value.fault)
    detail = f"{failure.type.__name__ if failure.type else 'error'}: {failure.value}"
    logger.error(failure.getTraceback())
    fault = Fault(FaultCode.INTERNAL, ROUTE_STEP, detail, outcome=Outcome.UNKNOWN)
    return answer_fault(request, fault)


def read_json_object(request: Any, max_bytes: int) -> Result[JsonObject, Fault]:
    """Read a JSON object of at most ``max_bytes``; an empty body is an empty object."""
    raw = request.content.read(max_bytes + 1)
    if len(raw) > max_bytes:
        return Error(Fault(FaultCode.TOO_LARGE, STEP, f"the body is over {max_bytes} bytes"))
    if not raw.strip():
        return Ok({})
    try:
        body = json.loads(raw)
    except ValueError as error:
        return Error(Fault(FaultCode.INVALID, STEP, f"the body is not JSON: {error}"))
    if not isinstance(body, dict):
        return Error(Fault(FaultCode.INVALID, STEP, "the body: expected an object"))
    return Ok(body)


def query_integer(request: Any, name: str, default: int, least: int = 0) -> Result[int, Fault]:
    """Read an integer parameter of the query string."""
    text = query_text(request, name)
    if text == "":
        return Ok(default)
    try:
        value = int(text)
    except ValueError:
        value = least - 1
    if value < least:
        detail = f"{name}: expected an integer of at least {least}, got {text!r}"
        return Error(Fault(FaultCode.INVALID, STEP, detail))
    return Ok(value)


def query_text(request: Any, name: str) -> str:
    """Read a parameter of the query string; empty when it is absent."""
    values = request.args.get(name.encode(), [])
    return values[0].decode("utf-8", "replace") if values else ""


def bearer_token(request: Any) -> str:
    """Return the token of an ``Authorization: Bearer`` header; empty when there is none."""
    raw = request.requestHeaders.getRawHeaders(b"authorization") or [b""]
    header = raw[-1].decode("utf-8", "replace")
    scheme, _, token = header.partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""
