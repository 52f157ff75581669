"""Typed errors: what failed, at which step, at which peer, and whether the work was executed.

Errors travel as values: functions return ``expression.Result[T, Fault]``, asynchronous ones
``Deferred[Result[T, Fault]]``. ``Fault`` is a wire record, so it reaches other processes with
all its fields. ``RainsailError`` carries a fault through code that must raise.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

from rainsail.wire.names import wire_type


class Outcome(StrEnum):
    """Whether a caller's request was executed; UNKNOWN when it may have been."""

    NOT_RUN = "not_run"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class FaultCode(StrEnum):
    """The kinds of failure; each maps to one HTTP status."""

    INVALID = "invalid"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    REVISION_COMPACTED = "revision_compacted"
    TOO_LARGE = "too_large"
    OVER_LIMIT = "over_limit"
    OVERLOADED = "overloaded"
    NOT_LEADER = "not_leader"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    FENCED = "fenced"
    CANCELLED = "cancelled"
    STORAGE = "storage"
    INTERNAL = "internal"


HTTP_STATUS: dict[FaultCode, int] = {
    FaultCode.INVALID: 400,
    FaultCode.UNAUTHENTICATED: 401,
    FaultCode.FORBIDDEN: 403,
    FaultCode.NOT_FOUND: 404,
    FaultCode.CONFLICT: 409,
    FaultCode.REVISION_COMPACTED: 410,
    FaultCode.TOO_LARGE: 413,
    FaultCode.OVER_LIMIT: 429,
    FaultCode.OVERLOADED: 503,
    FaultCode.NOT_LEADER: 503,
    FaultCode.UNAVAILABLE: 503,
    FaultCode.TIMEOUT: 504,
    FaultCode.FENCED: 409,
    FaultCode.CANCELLED: 409,
    FaultCode.STORAGE: 500,
    FaultCode.INTERNAL: 500,
}


@wire_type("Fault")
@dataclass(frozen=True, slots=True)
class Fault:
    """One failure as a value.

    ``step`` names the operation that failed (``"gateway.admission"``), ``peer`` the remote process
    (empty when local). ``outcome`` is NOT_RUN only when the work was certainly not executed.
    ``retry_after_s`` is a hint for the caller, ``current_revision`` the revision that a
    conflicting change should have expected.
    """

    code: FaultCode
    step: str
    detail: str
    peer: str = ""
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None
    current_revision: int | None = None

    @property
    def http_status(self) -> int:
        """The HTTP status of a response that reports this fault."""
        return HTTP_STATUS[self.code]

    def at(self, peer: str) -> "Fault":
        """Return a copy of the fault with ``peer`` set."""
        return replace(self, peer=peer)

    def __str__(self) -> str:
        where = f" at {self.peer}" if self.peer else ""
        return f"{self.code} in {self.step}{where}: {self.detail}"


class RainsailError(Exception):
    """A fault raised as an exception."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault
