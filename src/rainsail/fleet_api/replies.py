"""HTTP replies of the node itself, and the mapping of faults to statuses."""

import json
from collections.abc import Callable
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.http.exchange import Exchange

JSON_TYPE = (b"Content-Type", b"application/json")
EMPTY: dict[str, Any] = {}
STATUS_OK = 200
STATUS_ACCEPTED = 202
STATUS_INVALID = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_OVER_LIMIT = 429
STATUS_UNAVAILABLE = 503
STATUS_OUTCOME_UNKNOWN = 504
RETRY_AFTER_S = 0.5
_STATUSES = {
    FaultCode.INVALID: STATUS_INVALID,
    FaultCode.NOT_FOUND: STATUS_NOT_FOUND,
    FaultCode.CONFLICT: STATUS_CONFLICT,
}


def reply(
    exchange: Exchange, status: int, body: bytes = b"", retry_after_s: float | None = None
) -> None:
    """Reply with a JSON body or without a body."""
    fields = [JSON_TYPE] if body else []
    if retry_after_s is not None:
        fields.append((b"Retry-After", f"{retry_after_s:g}".encode()))
    exchange.answer(status, tuple(fields), body)


def reply_json(exchange: Exchange, status: int, body: Any) -> None:
    """Reply with a value encoded as JSON."""
    reply(exchange, status, json.dumps(body, separators=(",", ":")).encode())


def reply_fault(
    exchange: Exchange, fault: Fault, unknown_outcome_status: int = STATUS_OUTCOME_UNKNOWN
) -> None:
    """Reply with a fault's status; 429 and 503 with ``Retry-After`` only if nothing has run."""
    status = _STATUSES.get(fault.code)
    if status is not None:
        reply_json(exchange, status, {"error": fault.detail})
    elif fault.outcome == Outcome.NOT_RUN:
        over = fault.code == FaultCode.OVER_LIMIT
        refused = STATUS_OVER_LIMIT if over else STATUS_UNAVAILABLE
        reply(exchange, refused, retry_after_s=RETRY_AFTER_S)
    else:
        reply(exchange, unknown_outcome_status)


def reply_when_done(
    exchange: Exchange,
    done: "Deferred[Result[Any, Fault]]",
    body: Callable[[Any], Any],
    status: int = STATUS_OK,
    unknown_outcome_status: int = STATUS_OUTCOME_UNKNOWN,
) -> None:
    """Reply with ``body`` of the result, or with its fault, once ``done`` fires."""

    def answer(result: Result[Any, Fault]) -> None:
        if result.is_ok():
            reply_json(exchange, status, body(result.ok))
        else:
            reply_fault(exchange, result.error, unknown_outcome_status)

    done.addCallback(answer)
