"""Request headers of the caller API."""

import math
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from rainsail.errors import Fault, FaultCode
from rainsail.resources.specs import RequestClass

CLASS_HEADER = "X-Rainsail-Class"
SESSION_HEADER = "X-Rainsail-Session"
ADAPTER_HEADER = "X-Rainsail-Adapter"
DEADLINE_HEADER = "X-Rainsail-Deadline"
IDEMPOTENCY_HEADER = "Idempotency-Key"

MAX_NAME_CHARACTERS = 253
MAX_DEADLINE_S = 30 * 86_400.0

_STEP = "caller_api.headers"


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Parsed request headers; a missing header is None, an empty string or 0."""

    request_class: RequestClass | None
    session: str
    adapter: str
    deadline_s: float
    idempotency_key: str


def header(request: Any, name: str) -> str | None:
    """Return a header's value, or None."""
    return request.getHeader(name)


def read_headers(request: Any) -> Result[CallerHeaders, Fault]:
    """Read and validate the headers."""
    class_text = (header(request, CLASS_HEADER) or "").strip().lower()
    if class_text and class_text not in list(RequestClass):
        expected = ", ".join(RequestClass)
        return Error(_invalid(CLASS_HEADER, f"expected one of {expected}"))
    deadline = _deadline(header(request, DEADLINE_HEADER))
    if deadline is None:
        return Error(_invalid(DEADLINE_HEADER, "expected seconds from now, above 0"))
    names = {}
    for name in (SESSION_HEADER, ADAPTER_HEADER, IDEMPOTENCY_HEADER):
        value = (header(request, name) or "").strip()
        if len(value) > MAX_NAME_CHARACTERS or not value.isprintable():
            detail = f"expected at most {MAX_NAME_CHARACTERS} printable characters"
            return Error(_invalid(name, detail))
        names[name] = value
    return Ok(
        CallerHeaders(
            request_class=RequestClass(class_text) if class_text else None,
            session=names[SESSION_HEADER],
            adapter=names[ADAPTER_HEADER],
            deadline_s=deadline,
            idempotency_key=names[IDEMPOTENCY_HEADER],
        )
    )


def _deadline(text: str | None) -> float | None:
    if text is None:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds) or not 0 < seconds <= MAX_DEADLINE_S:
        return None
    return seconds


def _invalid(name: str, detail: str) -> Fault:
    return Fault(FaultCode.INVALID, _STEP, f"{name}: {detail}")
