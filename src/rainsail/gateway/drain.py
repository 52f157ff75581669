"""Graceful stop of a gateway: refuse new work, let requests in progress finish, then stop."""

from collections.abc import Iterable
from dataclasses import dataclass

from rainsail.errors import Fault, FaultCode
from rainsail.logs import logger

STEP = "gateway.drain"


@dataclass(frozen=True, slots=True, order=True)
class RequestName:
    """Identifies a request in progress; request ids are unique only within a tenant."""

    tenant: str
    request_id: str


@dataclass(frozen=True, slots=True)
class DrainReport:
    """Result of a drain; ``aborted`` lists the requests that outlasted the grace time."""

    finished: int
    aborted: tuple[RequestName, ...]
    took_s: float


def stopping_fault(retry_after_s: float) -> Fault:
    """Return the fault with which a stopping gateway refuses new work."""
    detail = "this gateway is stopping; another takes the request"
    return Fault(FaultCode.UNAVAILABLE, STEP, detail, retry_after_s=retry_after_s)


def requests_to_abort(
    in_progress: Iterable[RequestName], waited_s: float, grace_s: float
) -> tuple[RequestName, ...]:
    """Return the requests to abort: none within the grace time, then all in progress."""
    return tuple(in_progress) if waited_s >= grace_s else ()


def log_aborted(name: RequestName, grace_s: float) -> None:
    """Log an aborted request, one record per request."""
    bound = logger.bind(tenant=name.tenant, request_id=name.request_id)
    bound.warning(f"aborted by the planned stop after the grace time of {grace_s:g} s")
