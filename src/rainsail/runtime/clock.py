"""The clock seam: monotonic time and timers.

A component takes a ``Clock`` and never reads the time elsewhere. ``MonotonicClock`` drives
daemons; ``rainsail.simulation.clock.VirtualClock`` drives simulated runs. The method names are
those of Twisted's ``IReactorTime``, so Twisted utilities accept either.
"""

import time
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.interfaces import IDelayedCall


class Clock(Protocol):
    """Monotonic time in seconds and timers."""

    def seconds(self) -> float:
        """Return seconds since an arbitrary fixed point; never goes back."""
        ...

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: object, **kw: object
    ) -> IDelayedCall:
        """Call ``callable`` after ``delay`` seconds; the returned timer can be cancelled."""
        ...


class MonotonicClock:
    """The process clock: ``time.monotonic`` and the running reactor's timers."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def seconds(self) -> float:
        """Return ``time.monotonic()``."""
        return time.monotonic()

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: object, **kw: object
    ) -> IDelayedCall:
        """Schedule on the reactor."""
        return self._reactor.callLater(delay, callable, *args, **kw)


def sleep(clock: Clock, delay_s: float) -> "Any":
    """Return a Deferred that fires with None after ``delay_s`` seconds of ``clock``."""
    from twisted.internet.task import deferLater

    return deferLater(clock, delay_s)  # type: ignore[arg-type]
