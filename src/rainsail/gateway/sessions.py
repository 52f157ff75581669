"""Sessions: pinned to a runner by a fence, moved with their KV cache, rebuilt after a crash.

The replicated session record holds the gateway, the runner, the fence and the transcript. Only
the gateway with the highest fence may run turns. Every move raises the fence first, so a turn
under an older fence cannot be recorded and a session is never active on two runners.
"""

from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from rainsail.control.interface import ConfigReader, ControlClient
from rainsail.engine.interface import EngineClient
from rainsail.errors import Fault, FaultCode
from rainsail.gateway.decision_ring import DecisionRing
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.interface import CallerRequest
from rainsail.gateway.session_order import LiveSession, SessionTurn
from rainsail.gateway.session_placement import STEP, SessionPlace, SessionPlacement
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import EventType, Kind, ResourceKey, SessionSpec, WatchEvent
from rainsail.runtime.clock import Clock
from rainsail.state.commands import AppendTurn, Turn

__all__ = ["SessionKeeper", "SessionPlace"]

SESSION_BUSY_RETRY_S = 1.0
"""Retry-after time for a caller whose session has too many waiting turns."""


class SessionKeeper:
    """Manages the sessions that this gateway holds or runs turns of."""

    def __init__(
        self,
        holder: str,
        zone: str,
        config: ConfigReader,
        control: ControlClient,
        engine: EngineClient,
        fleet: RunnerFleet,
        clock: Clock,
        random: Random,
        settings: GatewaySettings,
        decisions: DecisionRing,
    ) -> None:
        self._config = config
        self._control = control
        self._settings = settings.session
        self._placement = SessionPlacement(
            holder, zone, control, engine, fleet, clock, random, settings, decisions
        )
        self._live: dict[str, LiveSession] = {}
        fleet.on_change(self._runner_changed)

    def start(self) -> None:
        """Begin to watch for deleted sessions."""
        self._config.on_event(self._on_event)

    def held(self) -> list[str]:
        """Return the names of the sessions that this gateway holds."""
        return [name for name, session in self._live.items() if self._holds(session)]

    # --- turns ----------------------------------------------------------------------------------

    def begin(self, caller: CallerRequest, begins: Callable[[], None]) -> SessionTurn | Fault:
        """Return a new turn of the caller's session, or the fault why there can be none."""
        resource = self._config.get(ResourceKey(Kind.SESSION, caller.session))
        if resource is None or not isinstance(resource.spec, SessionSpec):
            return Fault(FaultCode.NOT_FOUND, STEP, f"no session {caller.session}")
        if resource.spec.tenant != caller.tenant:
            return Fault(FaultCode.FORBIDDEN, STEP, "the session is another tenant's")
        if resource.spec.service != caller.model:
            return Fault(FaultCode.INVALID, STEP, "the session is of another service")
        session = self._live.get(caller.session)
        if session is None:
            session = self._live[caller.session] = LiveSession(caller.session, resource.spec)
        if len(session.waiting) >= self._settings.max_waiting_turns:
            detail = "too many turns of this session wait"
            return Fault(FaultCode.OVERLOADED, STEP, detail, retry_after_s=SESSION_BUSY_RETRY_S)
        return SessionTurn(session, begins)

    def place(
        self, turn: SessionTurn, failed: Sequence[str]
    ) -> "Deferred[Result[SessionPlace, Fault]]":
        """Pin the session to a runner that can run the turn; move the session when necessary."""
        return Deferred.fromCoroutine(self._placement.place(turn.session, tuple(failed)))

    def finish(self, turn: SessionTurn, exchange: Turn) -> "Deferred[Result[None, Fault]]":
        """Append the finished exchange to the transcript; FENCED when the session has moved."""
        return Deferred.fromCoroutine(self._finish(turn.session, exchange))

    async def _finish(self, session: LiveSession, turn: Turn) -> Result[None, Fault]:
        view = session.view
        if view is None:
            return Error(Fault(FaultCode.FENCED, STEP, "the session is held elsewhere"))
        command = AppendTurn(session.name, view.fence, len(view.turns), turn)
        reply = await self._control.propose(command, self._settings.command_timeout_s)
        if reply.is_error():
            session.view = None
            return Error(reply.error)
        session.view = replace(view, turns=(*view.turns, turn))
        return Ok(None)

    def release(self, turn: SessionTurn) -> None:
        """Remove a turn that has ended or was cancelled while it waited."""
        session = turn.session
        if session.leave(turn):
            self._move_if_due(session)
        session.advance()
        self._forget_when_done(session)

    def _forget_when_done(self, session: LiveSession) -> None:
        if session.idle and not self._holds(session):
            self._live.pop(session.name, None)

    def _holds(self, session: LiveSession) -> bool:
        return session.view is not None and session.view.gateway == self._placement.holder

    # --- moving and leaving ---------------------------------------------------------------------

    def _on_event(self, event: WatchEvent) -> None:
        key = event.resource.key
        if key.kind == Kind.SESSION and event.type == EventType.DELETED:
            session = self._live.pop(key.name, None)
            if session is not None:
                session.view = None

    def _runner_changed(self, runner: str) -> None:
        if not self._live or not self._placement.must_leave(runner):
            return
        for session in list(self._live.values()):
            if session.view is not None and session.view.runner == runner:
                self._move_if_due(session)

    def _move_if_due(self, session: LiveSession) -> None:
        """Move an idle session off a runner that it has to leave, if another runner is eligible."""
        view = session.view
        if view is None or session.moving or session.active is not None:
            return
        if not self._holds(session) or not self._placement.must_leave(view.runner):
            return
        if not self._placement.choose(session, view, (view.runner,)):
            return
        session.moving = True
        Deferred.fromCoroutine(self._move(session))

    async def _move(self, session: LiveSession) -> None:
        """Move the session; after a failure the next turn attaches it again."""
        await self._placement.move_away(session)
        session.moving = False
        self._move_if_due(session)
        session.advance()
        self._forget_when_done(session)
