"""Waiting on the virtual clock: for a condition, and for a Deferred."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from rainsail.simulation.clock import VirtualClock


def wait_until(
    clock: VirtualClock, condition: Callable[[], bool], limit_s: float, what: str = "a condition"
) -> float:
    """Run virtual time until a condition holds; return the seconds that took."""
    start_s = clock.seconds()
    while not condition():
        in_time = clock.run_next(start_s + limit_s)
        assert in_time, f"not reached within {limit_s:g} virtual seconds: {what}"
    return clock.seconds() - start_s


def result_of(clock: VirtualClock, deferred: "Deferred[Any]", limit_s: float) -> Any:
    """Run virtual time until a Deferred has fired; return its result."""
    fired: list[Any] = []
    deferred.addCallback(fired.append)
    wait_until(clock, lambda: bool(fired), limit_s, "a Deferred that fires")
    return fired[0]
