"""Timeouts for Deferreds that fire with a Result."""

from typing import Any, TypeVar

from expression import Error, Result
from twisted.internet.defer import Deferred

from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.runtime.clock import Clock

Value = TypeVar("Value")


def with_timeout(
    waited: "Deferred[Result[Value, Fault]]", clock: Clock, limit_s: float, step: str, peer: str
) -> "Deferred[Result[Value, Fault]]":
    """Return a Deferred that fires like ``waited``, or with a TIMEOUT fault after ``limit_s``.

    The fault's outcome is UNKNOWN. A later result of ``waited`` is dropped.
    """
    done: Deferred[Result[Value, Fault]] = Deferred()
    timer: Any = None

    def expire() -> None:
        detail = f"no answer within {limit_s:g} s"
        done.callback(Error(Fault(FaultCode.TIMEOUT, step, detail, peer, Outcome.UNKNOWN)))

    def take(reply: Result[Value, Fault]) -> None:
        if not done.called:
            timer.cancel()
            done.callback(reply)

    timer = clock.callLater(limit_s, expire)
    waited.addCallback(take)
    return done
