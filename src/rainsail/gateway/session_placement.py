"""Pins a session to a runner: chooses it, raises the fence, transfers the KV cache."""

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
    """The runner and fence for a turn; ``transcript`` is the text of all earlier turns.

    ``last_turn`` is the latest recorded turn. It lets the gateway recognise a turn that is sent
    again after it was recorded.
    """

    runner: str
    fence: int
    transcript: str
    last_turn: Turn | None = None


def transcript_text(turns: Sequence[Turn]) -> str:
    """Return the text of all turns, which is the prompt prefix of the next turn."""
    return "".join(turn.prompt + turn.answer for turn in turns)


def place_of(view: SessionView) -> SessionPlace:
    """Return the runner and fence for the next turn of a session."""
    last = view.turns[-1] if view.turns else None
    return SessionPlace(view.runner, view.fence, transcript_text(view.turns), last)


class SessionPlacement:
    """Reads and attaches sessions for one gateway incarnation, the ``holder``."""

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
        """Return the place of the session's next turn; move the session first if necessary."""
        fault = Fault(
            FaultCode.CONFLICT,
            STEP,
            "others keep taking the session",
        )
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
        """Attach a session that this gateway holds to another runner and transfer its KV cache.

        If another gateway has taken the session over, only that gateway may move it. The attach
        command then fails and the view is dropped.
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
        """Return whether an attempt failed because another gateway has taken the session over."""
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
        """Return whether sessions have to move off a runner: it is leaving, or is batch-only."""
        self._fleet.follow(runner)
        state = self._fleet.runner(runner)
        if state is None or state.spec.role == RunnerRole.BATCH_ONLY:
            return True
        return self._fleet.leaving(runner)

    def choose(self, session: LiveSession, view: SessionView, failed: tuple[str, ...]) -> str:
        """Return the best runner for a session, or an empty string when there is none.

        Runners in ``failed`` are used only when no other is eligible. The decision is stored under
        the id ``session/NAME`` for the explain route.
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
        """Attach the session to ``target`` under a higher fence, with its KV cache if available."""
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
        """Export the KV cache; None on failure, as the next turn can be run from the transcript."""
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
