"""Turns of the reactor for long work, so that online requests go on in between."""

from collections.abc import Callable
from typing import Any

from twisted.internet.task import Cooperator

SLICE_PAUSE_S = 0.001
"""Seconds between two slices; in them every other event of the reactor has its turn."""


def make_cooperator() -> Cooperator:
    """Return a cooperator that runs one slice of one task at a time.

    Twisted's own runs slices for 10 ms on end, which an online request meets in each of its steps.
    """
    return Cooperator(terminationPredicateFactory=_after_one_slice, scheduler=_after_pause)


def _after_one_slice() -> Callable[[], bool]:
    return lambda: True


def _after_pause(call: Callable[[], None]) -> Any:
    from twisted.internet import reactor

    loop: Any = reactor
    return loop.callLater(SLICE_PAUSE_S, call)
