"""The clock seam: steady time and timers.

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
    """Steady time in seconds and timers."""

    def seconds(self) -> float:
        """Return seconds since an arbitrary fixed point; never goes back."""
        ...

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: object, **kw: object
    ) -> Timer:
        """Call ``callable`` after ``delay`` seconds; the returned timer can be cancelled."""
        ...


def steady_seconds() -> float:
    """Return seconds that never go back and count the time of a machine's suspension.

    ``time.monotonic`` stands still meanwhile on Linux, so that a leader that wakes would take its
    lease for valid though others have long elected another. Where the system has no such clock,
    its monotonic one has to do.
    """
    boot_time = getattr(time, "CLOCK_BOOTTIME", None)
    return time.monotonic() if boot_time is None else time.clock_gettime(boot_time)


def count_suspended_time(reactor: Any) -> None:
    """Have a reactor's timers go by ``steady_seconds``; called before the first one is set.

    After a suspension overdue timers then run at once. By the reactor's own clock each would be as
    late as the suspension was long: time-outs of requests, beats, elections.
    """
    reactor.seconds = steady_seconds


class MonotonicClock:
    """The process clock: ``steady_seconds`` and the running reactor's timers."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def seconds(self) -> float:
        """Return ``steady_seconds()``."""
        return steady_seconds()

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: object, **kw: object
    ) -> Timer:
        """Schedule on the reactor."""
        return self._reactor.callLater(delay, callable, *args, **kw)


def sleep(clock: Clock, delay_s: float) -> "Any":
    """Return a Deferred that fires with None after ``delay_s`` seconds of ``clock``."""
    from twisted.internet.task import deferLater

    return deferLater(clock, delay_s)  # type: ignore[arg-type]
