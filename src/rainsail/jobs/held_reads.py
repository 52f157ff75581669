"""Long polling: reads of results that wait for the next result."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from rainsail.jobs.messages import ReadResults
from rainsail.runtime.clock import Clock

MAX_READ_WAIT_S = 1.0
"""Upper bound of a read's wait, whatever it requests.

Shorter than the timeout of a gateway's call.
"""


class _HeldRead:
    """One waiting read."""

    def __init__(self, message: ReadResults) -> None:
        self.message = message
        self.done: Deferred[Any] = Deferred()
        self.answered = False


class HeldReads:
    """Holds reads by job, and answers each once: when released, or when its wait has expired."""

    def __init__(self, clock: Clock, answer: Callable[[ReadResults], Any]) -> None:
        """``answer`` returns the reply to a read from the current state."""
        self._clock = clock
        self._answer = answer
        self._by_job: dict[str, list[_HeldRead]] = {}

    def hold(self, message: ReadResults) -> "Deferred[Any]":
        """Hold a read; the Deferred fires with its reply."""
        held = _HeldRead(message)
        self._by_job.setdefault(message.job, []).append(held)
        wait_s = min(message.wait_s, MAX_READ_WAIT_S)
        self._clock.callLater(wait_s, self._release, held)
        return held.done

    def release_where(self, is_due: Callable[[ReadResults], bool]) -> None:
        """Answer the reads for which ``is_due`` holds."""
        for job in list(self._by_job):
            for held in list(self._by_job.get(job, ())):
                if is_due(held.message):
                    self._release(held)

    def _release(self, held: _HeldRead) -> None:
        if held.answered:
            return
        held.answered = True
        job = held.message.job
        self._by_job[job].remove(held)
        if not self._by_job[job]:
            del self._by_job[job]
        held.done.callback(self._answer(held.message))
