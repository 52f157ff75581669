"""Pinning a session to a runner: choose, raise the fence, take the KV cache along."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from expression import Error, Ok, Result

from rainsail.control.interface import ControlClient
from rainsail.control.messages import SessionRequest
from rainsail.engine.interface import EngineClient, KvState
from rainsail.engine.prefix import block_hashes
from rainsail.errors import Fault, FaultCode
from rainsail.gateway.decision_ring import DecisionRing
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.router import choose_runner
from rainsail.gateway.session_order import LiveSession
from rainsail.gateway.settings import GatewaySettings
from rainsail.gateway.timeouts import with_timeout
from rainsail.resources.specs import RunnerRole
from rainsail.runtime.clock import Clock
from rainsail.state.commands import ROOT_GROUP, AttachSession, SessionView, Turn

STEP = "gateway.session"


@dataclass(frozen=True, slots=True)
class SessionPlace:
    """Where a turn runs: ``transcript`` is the text of all turns before it.

    ``last_turn`` is the newest of them: a turn that was recorded and is sent again.
    """

    runner: str
    fence: int
    transcript: str
    last_turn: Turn | None = None


def transcript_text(turns: Sequence[Turn]) -> str:
    """Return the prompt prefix that a transcript makes."""
    return "".join(turn.prompt + turn.answer for turn in turns)


def place_of(view: SessionView) -> SessionPlace:
    """Return where the next turn of a session runs."""
    last = view.turns[-1] if view.turns else None
    return SessionPlace(view.runner, view.fence, transcript_text(view.turns), last)


class SessionPlacement:
    """Reads, chooses and attaches on behalf of one gateway incarnation, the ``holder``."""

    def __init__(
        self,
        holder: str,
        zone: str,
        control: ControlClient,
        engine: EngineClient,
        fleet: RunnerFleet,
        clock: Clock,
        random: Random,
        settings: GatewaySettings,
        decisions: DecisionRing,
    ) -> None:
        self.holder = holder
        self._decisions = decisions
        self._zone = zone
        self._control = control
        self._engine = engine
        self._fleet = fleet
        self._clock = clock
        self._random = random
        self._settings = settings

    async def place(
        self, session: LiveSession, failed: tuple[str, ...]
    ) -> Result[SessionPlace, Fault]:
        """Return where the session's next turn runs, attaching it anew when it must move."""
        fault = Fault(FaultCode.CONFLICT, STEP, "others keep taking the session")
        if failed and await self._was_taken_over(session):
            failed = ()
        for _ in range(self._settings.session.attach_attempts):
            read = await self._current_view(session)
            if read.is_error():
                return Error(read.error)
            view = read.ok
            target = self._target(session, view, failed)
            if not target:
                return Error(Fault(FaultCode.UNAVAILABLE, STEP, "no runner for the session"))
            if target == view.runner and view.gateway == self.holder and not failed:
                return Ok(place_of(view))
            attached = await self._attach(session, view, target, view.runner not in failed)
            if attached.is_ok():
                return Ok(place_of(attached.ok))
            fault = attached.error
            if fault.code not in (FaultCode.CONFLICT, FaultCode.FENCED):
                return Error(fault)
        return Error(fault)

    async def move_away(self, session: LiveSession) -> None:
        """Attach a session that this gateway holds to another runner, taking its cache along.

        When another gateway has taken the session meanwhile, it is that one's to move: the view
        of it is given up.
        """
        view = session.view
        if view is None or view.gateway != self.holder:
            return
        target = self._target(session, view, ())
        if target and target != view.runner:
            await self._attach(session, view, target, export=True)

    def _target(self, session: LiveSession, view: SessionView, failed: tuple[str, ...]) -> str:
        stays = bool(view.runner) and view.runner not in failed
        if stays and not self.must_leave(view.runner):
            return view.runner
        return self.choose(session, view, failed)

    async def _was_taken_over(self, session: LiveSession) -> bool:
        """After a failed attempt: tell whether it failed since another gateway has the session."""
        used = session.view
        session.view = None
        read = await self._current_view(session)
        return used is not None and read.is_ok() and read.ok.fence != used.fence

    async def _current_view(self, session: LiveSession) -> Result[SessionView, Fault]:
        if session.view is not None and session.view.gateway == self.holder:
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

    def must_leave(self, runner: str) -> bool:
        """Tell whether sessions may not stay on a runner: it leaves, or its role has changed."""
        self._fleet.follow(runner)
        state = self._fleet.runner(runner)
        if state is None or state.spec.role == RunnerRole.BATCH_ONLY:
            return True
        return self._fleet.leaving(runner)

    def choose(self, session: LiveSession, view: SessionView, failed: tuple[str, ...]) -> str:
        """Return the best runner for a session (empty: none), rather not one of ``failed``.

        The decision is kept under ``session/NAME``, to be explained.
        """
        now_s = self._clock.seconds()
        runners = self._fleet.eligible(session.spec.service, False, session.spec.adapter)
        decision = choose_runner(
            f"session/{session.name}",
            view.fence,
            runners.without(failed),
            block_hashes(transcript_text(view.turns)),
            self._zone,
            now_s,
            self._random,
            self._settings.routing,
        )
        self._decisions.add(session.spec.tenant, decision)
        return decision.runner

    async def _attach(
        self, session: LiveSession, view: SessionView, target: str, export: bool
    ) -> Result[SessionView, Fault]:
        """Raise the fence for ``target``, taking the KV cache along when it can be had."""
        moves = bool(view.runner) and target != view.runner
        state = await self._export(view) if moves and export else None
        command = AttachSession(session.name, self.holder, target, view.fence)
        reply = await self._control.propose(command, self._settings.session.command_timeout_s)
        session.view = None
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
        reply = await with_timeout(
            waited, self._clock, limit_s, "gateway.session.export", view.runner
        )
        return reply.ok if reply.is_ok() else None

    async def _import(self, view: SessionView, state: KvState) -> None:
        runner = self._fleet.runner(view.runner)
        if runner is None:
            return
        waited = self._engine.import_kv(runner.spec.address, replace(state, fence=view.fence))
        limit_s = self._settings.session.kv_timeout_s
        await with_timeout(waited, self._clock, limit_s, "gateway.session.import", view.runner)
