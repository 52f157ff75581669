"""Sessions: pinned to a runner by a fence, moved with their KV cache, rebuilt after a crash.

The replicated session record names the gateway, the runner, the fence and the transcript. A
gateway that holds the highest fence may run turns; every move raises the fence first, so that
a turn under an older one cannot be recorded: no session is ever on two runners at once.
"""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from rainsail.control.interface import ConfigReader, ControlClient
from rainsail.control.messages import SessionRequest
from rainsail.engine.interface import EngineClient, KvState
from rainsail.engine.prefix import block_hashes
from rainsail.errors import Fault, FaultCode
from rainsail.gateway.eligibility import eligible_runners, without
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.interface import CallerRequest
from rainsail.gateway.router import choose_runner
from rainsail.gateway.settings import GatewaySettings
from rainsail.gateway.waiting import bounded
from rainsail.resources.specs import (
    Kind,
    ResourceKey,
    RunnerRole,
    SessionSpec,
    SessionStatus,
)
from rainsail.runtime.clock import Clock
from rainsail.state.commands import (
    ROOT_GROUP,
    AppendTurn,
    AttachSession,
    SessionView,
    Turn,
)

STEP = "gateway.session"


@dataclass(frozen=True, slots=True)
class SessionPlace:
    """Where a turn runs: ``transcript`` is the text of all turns before it."""

    runner: str
    fence: int
    transcript: str


@dataclass(slots=True, eq=False)
class LiveSession:
    """A session that this gateway has turns of, or holds."""

    name: str
    spec: SessionSpec
    view: SessionView | None = None
    active: "SessionTurn | None" = None
    waiting: "deque[SessionTurn]" = field(default_factory=deque)
    moving: bool = False


class SessionTurn:
    """One turn's place in its session's order."""

    __slots__ = ("_keeper", "begins", "session")

    def __init__(
        self, keeper: "SessionKeeper", session: LiveSession, begins: Callable[[], None]
    ) -> None:
        self._keeper = keeper
        self.session = session
        self.begins = begins

    def enter(self) -> None:
        """Queue behind the session's earlier turns; ``begins`` is called when they are over."""
        self.session.waiting.append(self)
        self._keeper.advance(self.session)


def transcript_text(turns: Sequence[Turn]) -> str:
    """Return the prompt prefix that a transcript makes."""
    return "".join(turn.prompt + turn.answer for turn in turns)


class SessionKeeper:
    """Keeps the sessions that have turns at this gateway."""

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
    ) -> None:
        self._holder = holder
        self._zone = zone
        self._config = config
        self._control = control
        self._engine = engine
        self._fleet = fleet
        self._clock = clock
        self._random = random
        self._settings = settings
        self._live: dict[str, LiveSession] = {}
        fleet.on_change(self._runner_changed)

    # --- the order of turns ---------------------------------------------------------------------

    def begin(self, caller: CallerRequest, begins: Callable[[], None]) -> SessionTurn | Fault:
        """Make a turn of the caller's session, or say why there can be none."""
        resource = self._config.get(ResourceKey(Kind.SESSION, caller.session))
        if resource is None or not isinstance(resource.spec, SessionSpec):
            return Fault(FaultCode.NOT_FOUND, STEP, f"no session {caller.session}")
        if resource.spec.tenant != caller.tenant:
            return Fault(FaultCode.FORBIDDEN, STEP, "the session is another tenant's")
        if resource.spec.service != caller.model:
            return Fault(FaultCode.INVALID, STEP, "the session is of another service")
        session = self._live.get(caller.session)
        if session is None:
            session = LiveSession(caller.session, resource.spec)
            self._live[caller.session] = session
        if len(session.waiting) >= self._settings.session.max_waiting_turns:
            return Fault(
                FaultCode.OVERLOADED, STEP, "too many turns of this session", retry_after_s=1.0
            )
        return SessionTurn(self, session, begins)

    def advance(self, session: LiveSession) -> None:
        """Begin the next turn when none runs and the session is not being moved."""
        if session.active is not None or session.moving or not session.waiting:
            return
        session.active = session.waiting.popleft()
        session.active.begins()

    def release(self, turn: SessionTurn) -> None:
        """Note that a turn is over (or was given up while it waited)."""
        session = turn.session
        if session.active is not turn:
            if turn in session.waiting:
                session.waiting.remove(turn)
            return
        session.active = None
        if session.view is not None and self._must_leave(session.view.runner):
            self._start_move(session)
        self.advance(session)

    # --- placing --------------------------------------------------------------------------------

    def place(
        self, turn: SessionTurn, failed: Sequence[str]
    ) -> "Deferred[Result[SessionPlace, Fault]]":
        """Pin the session to a runner that can take the turn, moving it when it must."""
        return Deferred.fromCoroutine(self._place(turn.session, tuple(failed)))

    async def _place(
        self, session: LiveSession, failed: tuple[str, ...]
    ) -> Result[SessionPlace, Fault]:
        fault = Fault(FaultCode.CONFLICT, STEP, "others keep taking the session")
        if failed and await self._was_taken(session):
            failed = ()
        for _ in range(self._settings.session.attach_attempts):
            read = await self._current_view(session)
            if read.is_error():
                return Error(read.error)
            view = read.ok
            stays = bool(view.runner) and view.runner not in failed
            if stays and not self._must_leave(view.runner):
                target = view.runner
                if view.gateway == self._holder:
                    return Ok(place_of(view))
            else:
                target = self._choose(session, view, failed)
            if not target:
                return Error(Fault(FaultCode.UNAVAILABLE, STEP, "no runner for the session"))
            attached = await self._attach(session, view, target, export=stays)
            if attached.is_ok():
                return Ok(place_of(attached.ok))
            fault = attached.error
            session.view = None
            if fault.code not in (FaultCode.CONFLICT, FaultCode.FENCED):
                return Error(fault)
        return Error(fault)

    async def _was_taken(self, session: LiveSession) -> bool:
        """After a failed attempt: tell whether it failed since another gateway has the session."""
        used = session.view
        session.view = None
        read = await self._current_view(session)
        return used is not None and read.is_ok() and read.ok.fence != used.fence

    async def _current_view(self, session: LiveSession) -> Result[SessionView, Fault]:
        if session.view is not None and self._still_held(session.view):
            return Ok(session.view)
        request = SessionRequest(ROOT_GROUP, session.name)
        reply = await self._control.call(request, self._settings.session.command_timeout_s)
        if reply.is_error() and reply.error.code == FaultCode.NOT_FOUND:
            return Ok(SessionView(session.name, "", "", 0, ()))
        if reply.is_error():
            return Error(reply.error)
        if not isinstance(reply.ok, SessionView):
            return Error(Fault(FaultCode.INTERNAL, STEP, "unexpected reply to a session read"))
        session.view = reply.ok
        return Ok(reply.ok)

    def _still_held(self, view: SessionView) -> bool:
        if view.gateway != self._holder:
            return False
        resource = self._config.get(ResourceKey(Kind.SESSION, view.session))
        status = resource.status if resource is not None else None
        return not (isinstance(status, SessionStatus) and status.fence > view.fence)

    def _must_leave(self, runner: str) -> bool:
        state = self._fleet.runner(runner)
        if state is None or state.spec.role == RunnerRole.BATCH_ONLY:
            return True
        return self._fleet.leaving(runner)

    def _choose(self, session: LiveSession, view: SessionView, failed: tuple[str, ...]) -> str:
        now_s = self._clock.seconds()
        states = eligible_runners(
            self._fleet.runners_of(session.spec.service), now_s, False, session.spec.adapter
        )
        decision = choose_runner(
            f"session/{session.name}",
            view.fence,
            without(states, failed),
            block_hashes(transcript_text(view.turns)),
            self._zone,
            now_s,
            self._random,
            self._settings.routing,
        )
        return decision.runner

    async def _attach(
        self, session: LiveSession, view: SessionView, target: str, export: bool
    ) -> Result[SessionView, Fault]:
        """Raise the fence for ``target``, taking the KV cache along when it can be had."""
        moves = target != view.runner
        state = await self._export(view) if moves and export else None
        command = AttachSession(session.name, self._holder, target, view.fence)
        reply = await self._control.propose(command, self._settings.session.command_timeout_s)
        if reply.is_error():
            return Error(reply.error)
        if not isinstance(reply.ok, SessionView):
            return Error(Fault(FaultCode.INTERNAL, STEP, "unexpected reply to an attachment"))
        session.view = reply.ok
        if state is not None:
            await self._import(reply.ok, state)
        return Ok(reply.ok)

    async def _export(self, view: SessionView) -> KvState | None:
        """Export the KV cache; None when the engine does not answer: the transcript will do."""
        runner = self._fleet.runner(view.runner)
        if runner is None or runner.is_silent(self._clock.seconds()):
            return None
        address = runner.spec.address
        waited = self._engine.export_kv(address, view.session, view.fence)
        limit_s = self._settings.session.kv_timeout_s
        reply = await bounded(waited, self._clock, limit_s, "gateway.session.export", view.runner)
        return reply.ok if reply.is_ok() else None

    async def _import(self, view: SessionView, state: KvState) -> None:
        runner = self._fleet.runner(view.runner)
        if runner is None:
            return
        waited = self._engine.import_kv(runner.spec.address, replace(state, fence=view.fence))
        limit_s = self._settings.session.kv_timeout_s
        await bounded(waited, self._clock, limit_s, "gateway.session.import", view.runner)

    # --- moving ---------------------------------------------------------------------------------

    def _runner_changed(self, runner: str) -> None:
        if not self._live or not self._must_leave(runner):
            return
        for session in list(self._live.values()):
            view = session.view
            if view is not None and view.runner == runner and view.gateway == self._holder:
                self._start_move(session)

    def _start_move(self, session: LiveSession) -> None:
        if session.moving or session.active is not None:
            return
        if not self._can_move(session):
            return
        session.moving = True
        Deferred.fromCoroutine(self._move(session))

    def _can_move(self, session: LiveSession) -> bool:
        view = session.view
        if view is None or view.gateway != self._holder:
            return False
        return bool(self._choose(session, view, (view.runner,)))

    async def _move(self, session: LiveSession) -> None:
        """Move an idle session off its runner; what fails is done by the next turn."""
        await self._place(session, ())
        session.moving = False
        self.advance(session)

    # --- recording ------------------------------------------------------------------------------

    def finish(
        self, turn: SessionTurn, prompt: str, answer: str
    ) -> "Deferred[Result[None, Fault]]":
        """Append the finished exchange to the transcript; FENCED when the session has moved."""
        return Deferred.fromCoroutine(self._finish(turn.session, Turn(prompt, answer)))

    async def _finish(self, session: LiveSession, turn: Turn) -> Result[None, Fault]:
        view = session.view
        if view is None:
            return Error(Fault(FaultCode.FENCED, STEP, "the session is held elsewhere"))
        command = AppendTurn(session.name, view.fence, len(view.turns), turn)
        reply = await self._control.propose(command, self._settings.session.command_timeout_s)
        if reply.is_error():
            session.view = None
            return Error(reply.error)
        session.view = replace(view, turns=(*view.turns, turn))
        return Ok(None)


def place_of(view: SessionView) -> SessionPlace:
    """Return where the next turn of a session runs."""
    return SessionPlace(view.runner, view.fence, transcript_text(view.turns))
