"""Calls from any node to a group's leader, with retries."""

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, Protocol

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, maybeDeferred

from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.runtime.clock import Clock, sleep
from rainsail.wire.messenger import Messenger
from rainsail.wire.names import wire_name

RETRY_PERIOD_S = 0.1
"""Pause between two attempts to reach the leader."""


class LeaderView(Protocol):
    """Local knowledge of a group's leader."""

    def is_leader(self) -> bool:
        """Tell whether this node leads."""
        ...

    def leader(self) -> str:
        """Return the name of the last known leader, or an empty string."""
        ...


class LeaderCaller:
    """Delivers a message to the leader, wherever it is, before a deadline."""

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        view: LeaderView | None,
        others: Callable[[], Sequence[str]],
        call_timeout_s: float = 1.0,
    ) -> None:
        """``others`` returns nodes that may know the leader; ``view`` is the local group if any."""
        self._messenger = messenger
        self._clock = clock
        self._view = view
        self._others = others
        self._call_timeout_s = call_timeout_s
        self._hint = ""
        self._turn = 0

    def set_hint(self, leader: str) -> None:
        """Set the presumed leader; calls that reach a non-leader correct it."""
        if leader:
            self._hint = leader

    def call(
        self,
        message: Any,
        local: Callable[[Any], Any] | None,
        within_s: float,
        repeatable: bool = False,
    ) -> "Deferred[Result[Any, Fault]]":
        """Return the leader's reply; ``local`` handles the message when this node leads.

        A ``repeatable`` (idempotent) message is also retried after an unknown outcome. The final
        fault has the outcome UNKNOWN if some attempt may have taken effect.
        """
        return Deferred.fromCoroutine(self._call(message, local, within_s, repeatable))

    async def _call(
        self, message: Any, local: Callable[[Any], Any] | None, within_s: float, repeatable: bool
    ) -> Result[Any, Fault]:
        deadline_s = self._clock.seconds() + within_s
        step = f"leader.{wire_name(type(message))}"
        last = Fault(FaultCode.UNAVAILABLE, step, "no leader is known")
        unclear = False
        while True:
            left_s = deadline_s - self._clock.seconds()
            if left_s <= 0:
                break
            result = await self._try_once(message, local, left_s)
            if result.is_ok():
                return result
            last = result.error
            if last.code not in _TRANSIENT:
                return Error(replace(last, outcome=Outcome.UNKNOWN)) if unclear else result
            if last.outcome != Outcome.NOT_RUN:
                unclear = True
                if not repeatable:
                    break
            await sleep(self._clock, min(RETRY_PERIOD_S, max(left_s, 0.0)))
        outcome = Outcome.UNKNOWN if unclear else Outcome.NOT_RUN
        return Error(Fault(FaultCode.UNAVAILABLE, step, last.detail, last.peer, outcome))

    async def _try_once(
        self, message: Any, local: Callable[[Any], Any] | None, left_s: float
    ) -> Result[Any, Fault]:
        view = self._view
        if view is not None and local is not None and view.is_leader():
            return _as_result(await maybeDeferred(local, message))
        target = self._target()
        if not target:
            return Error(Fault(FaultCode.NOT_LEADER, "leader.find", "no leader is known"))
        timeout_s = min(left_s, self._call_timeout_s)
        result = await self._messenger.call(target, message, timeout_s)
        if result.is_ok():
            self._hint = target
            return Ok(result.ok)
        fault = result.error
        self._hint = fault.peer if _points_elsewhere(fault, target) else ""
        return Error(fault)

    def _target(self) -> str:
        view = self._view
        if view is not None and view.leader():
            return "" if view.leader() == self._messenger.name else view.leader()
        if self._hint and self._hint != self._messenger.name:
            return self._hint
        others = [name for name in self._others() if name != self._messenger.name]
        if not others:
            return ""
        self._turn += 1
        return others[self._turn % len(others)]


_TRANSIENT = (FaultCode.NOT_LEADER, FaultCode.UNAVAILABLE, FaultCode.TIMEOUT, FaultCode.OVERLOADED)


def _points_elsewhere(fault: Fault, target: str) -> bool:
    return fault.code == FaultCode.NOT_LEADER and bool(fault.peer) and fault.peer != target


def _as_result(reply: Any) -> Result[Any, Fault]:
    if isinstance(reply, Result):
        return reply
    if isinstance(reply, Fault):
        return Error(reply)
    return Ok(reply)
