"""Calls and event subscriptions from a gateway to an emulated engine, over a virtual link."""

from collections.abc import Callable
from random import Random
from typing import Any

from expression import Error, Result
from twisted.internet.defer import Deferred

from rainsail.emulator.engine import EmulatedEngine
from rainsail.engine.interface import CacheEvent, LoadReport
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.runtime.clock import Clock
from rainsail.simulation.engine_network import EngineNetwork


class _Link:
    """One gateway's link to the engine at an address."""

    def __init__(
        self, gateway: str, network: EngineNetwork, clock: Clock, random: Random, address: str
    ) -> None:
        self.gateway = gateway
        self.network = network
        self.clock = clock
        self.address = address
        self.runner = network.runner_at(address)
        self._random = random

    def delay_s(self) -> float:
        """Draw the one-way delay of one message."""
        return self.network.delay_s(self.gateway, self.runner, self._random)

    def is_cut(self) -> bool:
        """Tell whether the link is cut now."""
        return self.network.is_cut(self.gateway, self.runner)


class EngineCall(_Link):
    """One call: an answer, a refused connection, or a timeout."""

    def start(
        self, what: str, call: Callable[[EmulatedEngine], Result[Any, Fault]]
    ) -> "Deferred[Result[Any, Fault]]":
        """Send the call; fires with its answer and never errbacks."""
        self._what = what
        self._sent = False
        self._done: Deferred[Any] = Deferred()
        settings = self.network.settings
        self._timer: Any = self.clock.callLater(settings.call_timeout_s, self._timeout)
        if self.is_cut():
            return self._done
        if self.network.live_engine(self.address) is None:
            self.clock.callLater(settings.refuse_s, self._refused)
            return self._done
        self._sent = True
        if not self.network.faults.lose_request(self.gateway, self.runner, what):
            self.network.clock.callLater(self.delay_s(), self._at_engine, call)
        return self._done

    def _at_engine(self, call: Callable[[EmulatedEngine], Result[Any, Fault]]) -> None:
        engine = self.network.live_engine(self.address)
        if engine is None or self.is_cut():
            return
        answer = call(engine)
        if not self.network.faults.lose_reply(self.gateway, self.runner, self._what):
            self.clock.callLater(self.delay_s(), self._at_gateway, answer)

    def _at_gateway(self, answer: Result[Any, Fault]) -> None:
        if not self.is_cut():
            self._finish(answer.map_error(lambda fault: fault.at(self.runner)))

    def _refused(self) -> None:
        self._finish(Error(self._fault(FaultCode.UNAVAILABLE, "connection refused")))

    def _timeout(self) -> None:
        self._finish(Error(self._fault(FaultCode.TIMEOUT, "no answer within the timeout")))

    def _fault(self, code: FaultCode, detail: str) -> Fault:
        outcome = Outcome.UNKNOWN if self._sent else Outcome.NOT_RUN
        return Fault(code, f"engine.{self._what}", detail, self.runner, outcome)

    def _finish(self, answer: Result[Any, Fault]) -> None:
        if self._done.called:
            return
        if self._timer.active():
            self._timer.cancel()
        self._done.callback(answer)


class EngineSubscription(_Link):
    """One event stream from an engine."""

    def start(
        self,
        on_load: Callable[[LoadReport], None],
        on_cache: Callable[[CacheEvent], None],
        on_lost: Callable[[Fault], None],
    ) -> Callable[[], None]:
        """Connect; return the function that ends the subscription."""
        self._on_load = on_load
        self._on_cache = on_cache
        self._on_lost = on_lost
        self._open = True
        self._heard_at_s = self.clock.seconds()
        self._unsubscribe: Callable[[], None] | None = None
        self.clock.callLater(self.delay_s(), self._connect)
        return self._close

    def _connect(self) -> None:
        if not self._open:
            return
        engine = self.network.live_engine(self.address)
        if engine is None or self.is_cut():
            self._lost("connection refused")
            return
        self._heard_at_s = self.clock.seconds()
        self._unsubscribe = engine.subscribe(
            lambda report: self._carry(self._on_load, report),
            lambda event: self._carry(self._on_cache, event),
        )
        self._watch()

    def _carry(self, deliver: Callable[[Any], None], event: Any) -> None:
        if self._open and not self.is_cut():
            self.clock.callLater(self.delay_s(), self._arrive, deliver, event)

    def _arrive(self, deliver: Callable[[Any], None], event: Any) -> None:
        if self._open and not self.is_cut():
            self._heard_at_s = self.clock.seconds()
            deliver(event)

    def _watch(self) -> None:
        if not self._open:
            return
        timeout_s = self.network.settings.read_timeout_s
        if self.clock.seconds() - self._heard_at_s > timeout_s:
            self._lost("no event within the timeout")
            return
        self.clock.callLater(timeout_s, self._watch)

    def _lost(self, detail: str) -> None:
        self._close()
        self._on_lost(Fault(FaultCode.UNAVAILABLE, "engine.events", detail, self.runner))

    def _close(self) -> None:
        self._open = False
        unsubscribe, self._unsubscribe = self._unsubscribe, None
        if unsubscribe is not None:
            unsubscribe()
