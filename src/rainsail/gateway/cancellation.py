"""Cancels attempts at engines; a cancel that fails is retried."""

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.engine.interface import EngineClient
from rainsail.errors import Fault
from rainsail.runtime.clock import Clock

CANCEL_TRIES = 4
CANCEL_RETRY_S = 0.2
"""Seconds before the first retry of a failed cancel; doubles each time."""


class Canceller:
    """Sends a cancel until the engine has answered, at most ``CANCEL_TRIES`` times."""

    def __init__(self, engine: EngineClient, clock: Clock) -> None:
        self._engine = engine
        self._clock = clock

    def cancel(self, address: str, attempt_id: str, tries: int = CANCEL_TRIES) -> None:
        """Cancel an attempt; the result is not reported to the caller."""
        done: Deferred[Result[bool, Fault]] = self._engine.cancel(address, attempt_id)
        done.addCallback(self._answered, address, attempt_id, tries)

    def _answered(
        self, reply: Result[bool, Fault], address: str, attempt_id: str, tries: int
    ) -> None:
        if reply.is_ok() or tries <= 1:
            return
        delay_s = CANCEL_RETRY_S * 2.0 ** (CANCEL_TRIES - tries)
        self._clock.callLater(delay_s, self.cancel, address, attempt_id, tries - 1)
