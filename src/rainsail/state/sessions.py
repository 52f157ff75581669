"""Sessions: where each lives, under which fence, and its transcript."""

from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict

from rainsail.errors import Fault
from rainsail.state.commands import AppendTurn, AttachSession, Done, SessionView, Turn
from rainsail.state.faults import conflict, fenced, invalid, not_found
from rainsail.wire.codec import wire_record


@wire_record
@dataclass(frozen=True, slots=True)
class SessionFenceFloor:
    """The highest fence of any removed session, for a snapshot."""

    fence: int


@wire_record
@dataclass(frozen=True, slots=True)
class StoredSession:
    """One session for a snapshot; ``attached_from`` is the fence its attachment expected."""

    view: SessionView
    attached_from: int


class Session:
    """A session's place and its turns so far."""

    __slots__ = ("attached_from", "fence", "gateway", "name", "runner", "turns")

    def __init__(self, name: str) -> None:
        self.name = name
        self.gateway = ""
        self.runner = ""
        self.fence = 0
        self.attached_from = 0
        self.turns: list[Turn] = []

    def view(self) -> SessionView:
        """Return the session as a value."""
        return SessionView(self.name, self.gateway, self.runner, self.fence, tuple(self.turns))


class SessionStore:
    """All sessions. A removed session's fences are not used again under its name."""

    def __init__(self) -> None:
        self._sessions: SortedDict = SortedDict()
        self._fence_floor = 0

    def get(self, name: str) -> SessionView | None:
        """Return one session."""
        session = self._sessions.get(name)
        return None if session is None else session.view()

    def attach(self, command: AttachSession) -> SessionView | Fault:
        """Pin a session to a gateway and runner under a new fence.

        A session that is not there is expected at fence 0 and created. The same attachment sent
        again gets the same answer; any other with an old fence is a conflict.
        """
        if not command.session:
            return invalid("attach_session", "a session needs a name")
        session = self._sessions.get(command.session)
        if session is None:
            return self._create(command)
        if self._is_resent(session, command):
            return session.view()
        if command.expected_fence != session.fence:
            detail = f"session {command.session!r} is at fence {session.fence}"
            return conflict("attach_session", detail, current_revision=session.fence)
        self._pin(session, command, session.fence + 1)
        return session.view()

    def _create(self, command: AttachSession) -> SessionView | Fault:
        if command.expected_fence != 0:
            detail = f"there is no session {command.session!r}"
            return conflict("attach_session", detail, current_revision=0)
        session = Session(command.session)
        self._sessions[command.session] = session
        self._pin(session, command, self._fence_floor + 1)
        return session.view()

    def _pin(self, session: Session, command: AttachSession, fence: int) -> None:
        session.attached_from = command.expected_fence
        session.fence = fence
        session.gateway = command.gateway
        session.runner = command.runner

    def _is_resent(self, session: Session, command: AttachSession) -> bool:
        asked = (command.expected_fence, command.gateway, command.runner)
        return asked == (session.attached_from, session.gateway, session.runner)

    def append_turn(self, command: AppendTurn) -> Done | Fault:
        """Append a turn; a turn that is there already is not appended again."""
        session = self._sessions.get(command.session)
        if session is None:
            return not_found("append_turn", f"there is no session {command.session!r}")
        turns = session.turns
        if 0 <= command.turn_index < len(turns) and turns[command.turn_index] == command.turn:
            return Done()
        if command.fence != session.fence:
            return fenced("append_turn", f"session {command.session!r} is at fence {session.fence}")
        if command.turn_index != len(turns):
            return conflict(
                "append_turn", f"the next turn is {len(turns)}, not {command.turn_index}"
            )
        turns.append(command.turn)
        return Done()

    def remove(self, name: str) -> None:
        """Remove a session whose resource was deleted."""
        session = self._sessions.pop(name, None)
        if session is not None:
            self._fence_floor = max(self._fence_floor, session.fence)

    def records(self) -> Iterator[SessionFenceFloor | StoredSession]:
        """Yield every session for a snapshot."""
        yield SessionFenceFloor(self._fence_floor)
        for session in self._sessions.values():
            yield StoredSession(session.view(), session.attached_from)

    def restore(self, record: SessionFenceFloor | StoredSession) -> None:
        """Take one record of a snapshot."""
        if isinstance(record, SessionFenceFloor):
            self._fence_floor = record.fence
            return
        view = record.view
        session = Session(view.session)
        session.gateway = view.gateway
        session.runner = view.runner
        session.fence = view.fence
        session.attached_from = record.attached_from
        session.turns = list(view.turns)
        self._sessions[view.session] = session
