"""A planned stop of a gateway: no new work, what is in progress finishes, then the end."""

from collections.abc import Iterable
from dataclasses import dataclass

from rainsail.errors import Fault, FaultCode
from rainsail.logs import logger

STEP = "gateway.drain"


@dataclass(frozen=True, slots=True, order=True)
class RequestName:
    """What tells a request from all others in progress: two tenants may choose the same id."""

    tenant: str
    request_id: str


@dataclass(frozen=True, slots=True)
class DrainReport:
    """How a planned stop ended; ``aborted`` names each request that outlasted the grace time."""

    finished: int
    aborted: tuple[RequestName, ...]
    took_s: float


def stopping_fault(retry_after_s: float) -> Fault:
    """Return the refusal of new work at a stopping gateway."""
    detail = "this gateway is stopping; another takes the request"
    return Fault(FaultCode.UNAVAILABLE, STEP, detail, retry_after_s=retry_after_s)


def requests_to_abort(
    in_progress: Iterable[RequestName], waited_s: float, grace_s: float
) -> tuple[RequestName, ...]:
    """Return the requests that may not go on any longer (none within the grace)."""
    return tuple(in_progress) if waited_s >= grace_s else ()


def log_aborted(name: RequestName, grace_s: float) -> None:
    """Tell the operator of a request that was cut, in a log record of its own."""
    bound = logger.bind(tenant=name.tenant, request_id=name.request_id)
    bound.warning(f"cut by the planned stop after its grace time of {grace_s:g} s")
