"""Faults as OpenAI error objects, and the headers that state a request's outcome."""

import math
from typing import Any

from rainsail.errors import Fault, FaultCode, Outcome

OUTCOME_HEADER = "x-rainsail-outcome"

_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    410: "invalid_request_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
}
_RETRYABLE = (FaultCode.OVER_LIMIT, FaultCode.OVERLOADED, FaultCode.UNAVAILABLE)


def error_body(fault: Fault, param: str | None = None) -> dict[str, Any]:
    """Return OpenAI's error object; its field ``rainsail`` holds the typed fault."""
    return {
        "error": {
            "message": str(fault),
            "type": _TYPES.get(fault.http_status, "server_error"),
            "param": param,
            "code": fault.code,
            "rainsail": {
                "code": fault.code,
                "step": fault.step,
                "detail": fault.detail,
                "peer": fault.peer,
                "outcome": fault.outcome,
                "retry_after_s": fault.retry_after_s,
            },
        }
    }


def error_headers(fault: Fault) -> dict[str, str]:
    """Return the response headers of a fault.

    OpenAI's client libraries honour ``x-should-retry``. It is false when the outcome is unknown,
    because they must not automatically retry such a request.
    """
    retry = fault.outcome is Outcome.NOT_RUN and fault.code in _RETRYABLE
    headers = {OUTCOME_HEADER: str(fault.outcome), "x-should-retry": str(retry).lower()}
    if fault.retry_after_s is not None:
        headers["retry-after"] = str(max(1, math.ceil(fault.retry_after_s)))
        headers["retry-after-ms"] = str(max(1, math.ceil(fault.retry_after_s * 1000)))
    return headers
