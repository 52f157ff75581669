"""Cancelling attempts at engines, sent again when the cancel itself was lost."""

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.engine.interface import EngineClient
from rainsail.errors import Fault
from rainsail.runtime.clock import Clock

CANCEL_TRIES = 4
CANCEL_RETRY_S = 0.2
"""Seconds before a lost cancel is sent again; doubles each time."""


class Canceller:
    """Sends cancels until an engine has answered, a bounded number of times."""

    def __init__(self, engine: EngineClient, clock: Clock) -> None:
        self._engine = engine
        self._clock = clock

    def cancel(self, address: str, attempt_id: str, tries: int = CANCEL_TRIES) -> None:
        """Cancel an attempt; nothing is reported back."""
        done: Deferred[Result[bool, Fault]] = self._engine.cancel(address, attempt_id)
        done.addCallback(self._answered, address, attempt_id, tries)

    def _answered(
        self, reply: Result[bool, Fault], address: str, attempt_id: str, tries: int
    ) -> None:
        if reply.is_ok() or tries <= 1:
            return
        delay_s = CANCEL_RETRY_S * 2.0 ** (CANCEL_TRIES - tries)
        self._clock.callLater(delay_s, self.cancel, address, attempt_id, tries - 1)
