"""Cooperative scheduling of long work, so that it does not delay online requests."""

from collections.abc import Callable
from typing import Any

from twisted.internet.task import Cooperator

SLICE_PAUSE_S = 0.001
"""Seconds between two slices, in which the reactor handles other events."""


def make_cooperator() -> Cooperator:
    """Return a cooperator that runs one slice of one task at a time.

    Twisted's default runs slices for 10 ms at a stretch, which can delay each step of an online
    request.
    """
    return Cooperator(terminationPredicateFactory=_after_one_slice, scheduler=_after_pause)


def _after_one_slice() -> Callable[[], bool]:
    return lambda: True


def _after_pause(call: Callable[[], None]) -> Any:
    from twisted.internet import reactor

    loop: Any = reactor
    return loop.callLater(SLICE_PAUSE_S, call)
