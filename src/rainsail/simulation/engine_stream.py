"""One answer stream from an emulated engine to a gateway, over a virtual link.

A stream is like a TCP connection: in order and whole until it is reset (the gateway hears LOST at
once) or falls silent (LOST after the read timeout). Single chunks are dropped, doubled or delayed
only when the chunk hook says so.
"""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from rainsail.emulator.engine import EmulatedEngine
from rainsail.engine.interface import AttemptListener, Chunk, EndReason, EngineAttemptEnd
from rainsail.runtime.clock import Clock
from rainsail.simulation.engine_network import EngineNetwork


class EngineStream:
    """The engine's reader at one end, the source of the gateway's listener at the other.

    Arrivals at the gateway are timers of the gateway's own clock, so that a paused gateway hears
    them late and a killed one never.
    """

    def __init__(
        self,
        gateway: str,
        network: EngineNetwork,
        clock: Clock,
        random: Random,
        address: str,
        attempt_id: str,
        listener: AttemptListener,
        on_close: Callable[["EngineStream"], None],
    ) -> None:
        self.gateway = gateway
        self.runner = network.runner_at(address)
        self.attempt_id = attempt_id
        self._network = network
        self._clock = clock
        self._random = random
        self._address = address
        self._listener = listener
        self._on_close = on_close
        self._silent = False
        self._paused = False
        self._closed = False
        self._held: deque[Callable[[], None]] = deque()
        self._chunks_delivered = 0
        self._last_arrival_s = 0.0
        self._silence_timer: Any = None
        network.track(self)

    # --- opening --------------------------------------------------------------------------

    def open(self, what: str, call: Callable[[EmulatedEngine], None]) -> None:
        """Connect, then send the request that ``call`` makes at the engine."""
        settings = self._network.settings
        if self._network.is_cut(self.gateway, self.runner):
            self._clock.callLater(settings.read_timeout_s, self.refuse, "no connection")
        elif self._network.live_engine(self._address) is None:
            self._clock.callLater(settings.refuse_s, self.refuse, "connection refused")
        elif self._network.faults.lose_request(self.gateway, self.runner, what):
            self.go_silent()
        else:
            self._network.clock.callLater(self._delay_s(), self._reach_engine, call)

    def _reach_engine(self, call: Callable[[EmulatedEngine], None]) -> None:
        engine = self._network.live_engine(self._address)
        if self._closed or self._silent:
            return
        if engine is None:
            self.reset("the engine died")
        else:
            call(engine)

    # --- engine side ----------------------------------------------------------------------

    def on_chunk(self, chunk: Chunk) -> None:
        """Carry a chunk."""
        for extra_s in self._network.faults.chunk(self.gateway, self.runner, chunk):
            self._carry(self._deliver_chunk, chunk, extra_s)

    def on_end(self, end: EngineAttemptEnd) -> None:
        """Carry the end."""
        if self._network.faults.lose_reply(self.gateway, self.runner, "generate"):
            self.go_silent()
        else:
            self._carry(self._deliver_end, end, 0.0)

    def unknown_attempt(self) -> None:
        """Carry the engine's word that it does not have the attempt."""
        detail = "the engine does not know the attempt"
        self._carry(self._deliver_end, self._end(EndReason.REFUSED, detail), 0.0)

    def _delay_s(self) -> float:
        return self._network.delay_s(self.gateway, self.runner, self._random)

    def _carry(self, deliver: Callable[[Any], None], message: Any, extra_s: float) -> None:
        if self._closed or self._silent:
            return
        now_s = self._clock.seconds()
        arrival_s = now_s + self._delay_s() + extra_s
        if extra_s == 0.0:
            arrival_s = max(arrival_s, self._last_arrival_s)
            self._last_arrival_s = arrival_s
        self._clock.callLater(arrival_s - now_s, self._arrive, deliver, message)

    # --- gateway side ---------------------------------------------------------------------

    def _arrive(self, deliver: Callable[[Any], None], message: Any) -> None:
        if self._closed or self._silent:
            return
        if self._paused or self._held:
            self._held.append(lambda: deliver(message))
        else:
            deliver(message)

    def _deliver_chunk(self, chunk: Chunk) -> None:
        self._chunks_delivered += 1
        self._listener.on_chunk(chunk)

    def _deliver_end(self, end: EngineAttemptEnd) -> None:
        if self._close():
            self._listener.on_end(end)

    def _end(self, reason: EndReason, detail: str) -> EngineAttemptEnd:
        return EngineAttemptEnd(self.attempt_id, reason, self._chunks_delivered, 0, 0, detail)

    def refuse(self, detail: str) -> None:
        """Nothing was sent: the gateway hears REFUSED."""
        if self._close():
            self._listener.on_end(self._end(EndReason.REFUSED, detail))

    def reset(self, detail: str) -> None:
        """The connection is gone: the gateway hears LOST."""
        if self._close():
            self._detach()
            self._listener.on_end(self._end(EndReason.LOST, detail))

    def go_silent(self) -> None:
        """Nothing more arrives; the gateway hears LOST after the read timeout."""
        if self._silent or self._closed:
            return
        self._silent = True
        timeout_s = self._network.settings.read_timeout_s
        detail = "nothing was read within the timeout"
        self._silence_timer = self._clock.callLater(timeout_s, self.reset, detail)

    def pause(self) -> None:
        """Hold back what arrives."""
        self._paused = True

    def unpause(self) -> None:
        """Deliver what was held back, until paused again."""
        self._paused = False
        while self._held and not self._paused and not self._closed:
            self._held.popleft()()

    def drop(self) -> None:
        """The gateway has left the stream without a word."""
        if self._close():
            self._detach()

    def _detach(self) -> None:
        engine = self._network.live_engine(self._address)
        if engine is not None:
            engine.detach(self.attempt_id, self)

    def _close(self) -> bool:
        if self._closed:
            return False
        self._closed = True
        if self._silence_timer is not None and self._silence_timer.active():
            self._silence_timer.cancel()
        self._network.forget(self)
        self._on_close(self)
        return True
