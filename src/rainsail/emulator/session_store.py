"""KV caches of sessions on one engine, and the fences that keep a session on one engine."""

import struct
from dataclasses import dataclass

from expression import Error, Ok, Result

from rainsail.engine.interface import KvState
from rainsail.errors import Fault, FaultCode

_BLOCK = struct.Struct("<Q")


@dataclass(slots=True)
class _Session:
    fence: int
    stopped: bool = False
    tokens: int = 0
    blocks: tuple[int, ...] = ()


class EngineSessionStore:
    """Stores each session's highest fence, its KV blocks and whether it was exported."""

    def __init__(self) -> None:
        self._sessions: dict[str, _Session] = {}

    def admit(self, name: str, fence: int) -> Fault | None:
        """Check a request's fence; a fault when the fence is stale or the session was exported."""
        session = self._sessions.setdefault(name, _Session(fence))
        if fence < session.fence or (session.stopped and fence == session.fence):
            return self._fenced("engine.session", name, fence, session)
        if fence > session.fence:
            session.fence = fence
            session.stopped = False
        return None

    def remember(self, name: str, fence: int, tokens: int, blocks: tuple[int, ...]) -> None:
        """Store the KV blocks of a completed turn."""
        session = self._sessions.get(name)
        if session is None or session.fence != fence or session.stopped:
            return
        session.tokens = tokens
        session.blocks = blocks

    def export(self, name: str, fence: int) -> Result[KvState, Fault]:
        """Return the session's KV cache and stop the session here under ``fence``."""
        session = self._sessions.get(name)
        if session is None:
            detail = f"no session {name!r}"
            return Error(Fault(FaultCode.NOT_FOUND, "engine.kv_export", detail))
        if fence < session.fence:
            return Error(self._fenced("engine.kv_export", name, fence, session))
        session.fence = fence
        session.stopped = True
        data = b"".join(_BLOCK.pack(block) for block in session.blocks)
        return Ok(KvState(name, fence, session.tokens, data))

    def restore(self, state: KvState) -> Result[tuple[int, ...], Fault]:
        """Import a session under the state's fence; return its KV blocks."""
        session = self._sessions.get(state.session)
        if session is not None and state.fence < session.fence:
            fault = self._fenced("engine.kv_import", state.session, state.fence, session)
            return Error(fault)
        if len(state.data) % _BLOCK.size:
            detail = f"{len(state.data)} bytes are no KV blocks"
            return Error(Fault(FaultCode.INVALID, "engine.kv_import", detail))
        blocks = tuple(block for (block,) in _BLOCK.iter_unpack(state.data))
        self._sessions[state.session] = _Session(state.fence, False, state.tokens, blocks)
        return Ok(blocks)

    @staticmethod
    def _fenced(step: str, name: str, fence: int, session: _Session) -> Fault:
        place = "has left" if session.stopped else "is here"
        detail = f"session {name!r} {place} under fence {session.fence}, not {fence}"
        return Fault(FaultCode.FENCED, step, detail)
