"""Backpressure of the answers on one connection, and its end for a client that takes nothing.

While more than the high-water mark is unsent, the source of the answer is asked to pause. The
unsent bytes count against the budget of all clients.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from rainsail.budget.memory import HeldKind, Holding
from rainsail.budget.progress import ProgressMeter
from rainsail.runtime.clock import Clock, Timer
from rainsail.runtime.sockets import unsent_bytes

UNCOUNTED_BYTES = 4 * 1024
"""Unsent bytes up to this number are covered by what the connection counts for."""
SLOW_BUFFER_BYTES = 16 * 1024
"""High-water mark of a client that was too slow once."""
CHECK_PERIOD_S = 0.5


@implementer(IPushProducer)
class AnswerFlow:
    """Watches the unsent bytes of one connection.

    ``paused`` is called with True when the source should pause, with False when it may go on.
    ``stalled`` is called when the client has taken nothing for the time allowed.
    """

    def __init__(
        self,
        transport: Any,
        holding: Holding,
        clock: Clock,
        stall_s: Callable[[], float],
        stalled: Callable[[], None],
    ) -> None:
        """``stall_s`` returns for how long a client may take nothing."""
        self._transport = transport
        self._holding = holding
        self._clock = clock
        self._stall_s = stall_s
        self._stalled = stalled
        self._is_registered = False
        self._unsent = 0
        self._timer: Timer | None = None
        self._drained: Callable[[], None] | None = None
        self.meter: ProgressMeter | None = None
        """The client's progress while there are unsent bytes to watch."""
        self.paused: Callable[[bool], None] = lambda is_paused: None
        self.is_paused = False

    # --- the connection's calls ----------------------------------------------------------

    def begin(self) -> None:
        """Begin to watch an answer that is sent in pieces."""
        if not self._is_registered:
            self._is_registered = True
            self._transport.registerProducer(self, True)

    def written(self) -> bool:
        """Count the unsent bytes after a write; False if the budget has no room for them."""
        unsent = unsent_bytes(self._transport)
        self._unsent = max(self._unsent, unsent)
        if unsent <= UNCOUNTED_BYTES:
            return True
        return self._holding.grow_to(HeldKind.ANSWER, unsent)

    def end(self) -> None:
        """Stop asking for pauses: the answer has been written."""
        self.paused = lambda is_paused: None
        self.is_paused = False
        if self._is_registered:
            self._is_registered = False
            self._transport.unregisterProducer()
        if unsent_bytes(self._transport) > UNCOUNTED_BYTES:
            self._watch()
        else:
            self._settle()

    def has_drained(self) -> bool:
        """Tell whether the client has taken its answers up to the high-water mark."""
        return unsent_bytes(self._transport) <= int(getattr(self._transport, "bufferSize", 0))

    def when_drained(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` once the client has taken its answers up to the high-water mark.

        It may be a little late; ``has_drained`` tells at any time.
        """
        self._drained = listener
        self._watch()

    def close(self) -> None:
        """Stop watching: the connection has ended."""
        self.paused = lambda is_paused: None
        self._drained = None
        self._cancel()

    # --- IPushProducer -------------------------------------------------------------------

    def pauseProducing(self) -> None:
        """Ask the source to pause: the client is too slow."""
        if self.is_paused:
            return
        self.is_paused = True
        self._transport.bufferSize = SLOW_BUFFER_BYTES
        self._watch()
        self.paused(True)

    def resumeProducing(self) -> None:
        """Let the source go on: the client has taken everything."""
        if not self.is_paused:
            return
        self.is_paused = False
        self._settle()
        self.paused(False)

    def stopProducing(self) -> None:
        """Do nothing: the connection reports its end itself."""

    # --- watching ------------------------------------------------------------------------

    def _watch(self) -> None:
        if self.meter is None:
            self.meter = ProgressMeter(self._clock.seconds())
            self._unsent = unsent_bytes(self._transport)
        if self._timer is None:
            self._timer = self._clock.callLater(CHECK_PERIOD_S, self._check)

    def _check(self) -> None:
        self._timer = None
        assert self.meter is not None
        now = self._clock.seconds()
        unsent = unsent_bytes(self._transport)
        if unsent < self._unsent:
            self.meter.add(self._unsent - unsent, now)
        self._unsent = unsent
        if unsent <= UNCOUNTED_BYTES and not self.is_paused:
            self._settle()
            return
        self._holding.set(HeldKind.ANSWER, unsent)
        if self.meter.idle_s(now) >= self._stall_s():
            self._stalled()
            return
        if self._drained is not None and self.has_drained():
            self._call_drained()
        self._timer = self._clock.callLater(CHECK_PERIOD_S, self._check)

    def _call_drained(self) -> None:
        drained, self._drained = self._drained, None
        if drained is not None:
            drained()

    def _settle(self) -> None:
        """Stop watching a client that has taken what was sent."""
        self._cancel()
        self.meter = None
        self._unsent = 0
        self._holding.set(HeldKind.ANSWER, 0)
        self._call_drained()

    def _cancel(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
