"""The clock interface: monotonic time and timers.

Components get a ``Clock`` injected and never read the time elsewhere. Daemons use
``MonotonicClock``, simulations ``rainsail.simulation.clock.VirtualClock``. The method names are
those of Twisted's ``IReactorTime``, so Twisted utilities accept either.
"""

import time
from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    """A scheduled call; Twisted's ``IDelayedCall`` has these methods too."""

    def active(self) -> int | bool:
        """Tell whether the call is still pending."""
        ...

    def cancel(self) -> None:
        """Cancel the call; raises if it was made or cancelled before."""
        ...


class Clock(Protocol):
    """Monotonic time in seconds, and timers."""

    def seconds(self) -> float:
        """Return seconds since an arbitrary fixed point; never goes back."""
        ...

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: object, **kw: object
    ) -> Timer:
        """Call ``callable`` after ``delay`` seconds; the returned timer can be cancelled."""
        ...


def steady_seconds() -> float:
    """Return monotonic seconds that include the time a machine was suspended.

    On Linux ``time.monotonic`` stops during a suspension, so a leader that resumes would consider
    its lease valid although the group has elected another. Systems without such a clock use
    ``time.monotonic``.
    """
    boot_time = getattr(time, "CLOCK_BOOTTIME", None)
    return time.monotonic() if boot_time is None else time.clock_gettime(boot_time)


def count_suspended_time(reactor: Any) -> None:
    """Make a reactor's timers use ``steady_seconds``; to be called before the first timer is set.

    Overdue timers then run right after a suspension. By the reactor's own clock, request time-outs,
    heartbeats and elections would be late by the length of the suspension.
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
