"""The clock seam: monotonic time and timers.

A component takes a ``Clock`` and never reads the time elsewhere. ``MonotonicClock`` drives
daemons; ``rainsail.simulation.clock.VirtualClock`` drives simulated runs. The method names are
those of Twisted's ``IReactorTime``, so Twisted utilities accept either.
"""

import time
from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A scheduled call; Twisted's ``IDelayedCall`` has these methods too."""

    def active(self) -> int | bool:
        """Tell whether the call is still to come."""
        ...

    def cancel(self) -> None:
        """Take the call back; raises when it was made or taken back before."""
        ...


class Clock(Protocol):
    """Monotonic time in seconds and timers."""

    def seconds(self) -> float:
        """Return seconds since an arbitrary fixed point; never goes back."""
        ...

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: object, **kw: object
    ) -> Timer:
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
    ) -> Timer:
        """Schedule on the reactor."""
        return self._reactor.callLater(delay, callable, *args, **kw)


def sleep(clock: Clock, delay_s: float) -> "Any":
    """Return a Deferred that fires with None after ``delay_s`` seconds of ``clock``."""
    from twisted.internet.task import deferLater

    return deferLater(clock, delay_s)  # type: ignore[arg-type]
