"""Waits until enough of several calls have succeeded."""

from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from rainsail.errors import Fault, FaultCode, Outcome


class QuorumWait:
    """Fires ``done``: Ok after ``needed`` successes, a fault once they are out of reach."""

    def __init__(self, needed: int, calls: int, step: str) -> None:
        self.done: Deferred[Result[None, Fault]] = Deferred()
        self._needed = needed
        self._open = calls
        self._step = step
        self._fired = False
        self._check()

    def take(self, result: Result[Any, Fault]) -> None:
        """Record the result of one call."""
        self._open -= 1
        if result.is_ok():
            self._needed -= 1
        self._check()

    def _check(self) -> None:
        if self._fired:
            return
        if self._needed <= 0:
            self._fired = True
            self.done.callback(Ok(None))
        elif self._open < self._needed:
            self._fired = True
            detail = f"{self._needed} more would have had to answer"
            fault = Fault(FaultCode.UNAVAILABLE, self._step, detail, outcome=Outcome.UNKNOWN)
            self.done.callback(Error(fault))
