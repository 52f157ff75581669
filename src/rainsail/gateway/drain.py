"""A planned stop of a gateway: no new work, what is in progress finishes, then the end."""

from collections.abc import Iterable
from dataclasses import dataclass

from rainsail.errors import Fault, FaultCode

STEP = "gateway.drain"


@dataclass(frozen=True, slots=True)
class DrainReport:
    """How a planned stop ended; ``cut`` names the requests that outlasted the grace time."""

    finished: int
    cut: tuple[str, ...]
    took_s: float


def stopping_fault(retry_after_s: float) -> Fault:
    """Return the refusal of new work at a stopping gateway."""
    detail = "this gateway is stopping; another takes the request"
    return Fault(FaultCode.UNAVAILABLE, STEP, detail, retry_after_s=retry_after_s)


def requests_to_cut(in_progress: Iterable[str], waited_s: float, grace_s: float) -> tuple[str, ...]:
    """Return the ids of the requests that may not go on any longer (none within the grace)."""
    return tuple(in_progress) if waited_s >= grace_s else ()
