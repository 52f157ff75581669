"""Pending read barriers of one member."""

from collections.abc import Callable

from expression import Error, Result
from twisted.internet.defer import Deferred

from rainsail.consensus.applier import Applier
from rainsail.consensus.effects import Effects
from rainsail.errors import Fault

STEP = "consensus.read_barrier"

BarrierResult = Result[int, Fault]


class ReadBarriers:
    """Numbers each barrier and completes it when the core reports it ready or failed."""

    def __init__(self, applier: Applier) -> None:
        self._applier = applier
        self._last = 0
        self._open: dict[int, Deferred[BarrierResult]] = {}

    def open(self) -> "tuple[int, Deferred[BarrierResult]]":
        """Return a new barrier's number and its Deferred."""
        self._last += 1
        done: Deferred[BarrierResult] = Deferred()
        self._open[self._last] = done
        return self._last, done

    def answer(self, effects: Effects, not_leader: Callable[[str], Fault]) -> None:
        """Complete ready barriers once their index is applied; fail the others as NOT_LEADER."""
        for ready in effects.reads_ready:
            self._applier.wait_applied(ready.index, self._open.pop(ready.request))
        for request in effects.reads_failed:
            self._open.pop(request).callback(Error(not_leader(STEP)))

    def fail_all(self, fault: Fault) -> None:
        """Fail every pending barrier, when the member has stopped."""
        waiting = self._open
        self._open = {}
        for done in waiting.values():
            done.callback(Error(fault))
