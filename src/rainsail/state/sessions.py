"""Sessions: the gateway and runner of each, its fencing token (``fence``) and its transcript.

A session is created with its resource or by its first attachment. A new session starts at the
highest fence of any deleted session, so that commands sent under a fence of a deleted session of
the same name are rejected.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict

from rainsail.errors import Fault
from rainsail.state.commands import AppendTurn, AttachSession, Done, SessionView, Turn
from rainsail.state.faults import conflict, fenced, invalid, not_found
from rainsail.wire.codec import wire_record

NEVER_ATTACHED = -1
"""``attached_from`` of a session that is not attached yet."""


@wire_record("SessionFenceFloor")
@dataclass(frozen=True, slots=True)
class SessionFenceFloor:
    """The highest fence of any removed session, in a snapshot."""

    fence: int


@wire_record("StoredSession")
@dataclass(frozen=True, slots=True)
class StoredSession:
    """One session in a snapshot; ``attached_from`` is the fence that its attachment expected."""

    view: SessionView
    attached_from: int


class Session:
    """A session's gateway, runner, fence and turns."""

    __slots__ = ("attached_from", "fence", "gateway", "name", "runner", "turns")

    def __init__(self, name: str, fence: int) -> None:
        self.name = name
        self.gateway = ""
        self.runner = ""
        self.fence = fence
        self.attached_from = NEVER_ATTACHED
        self.turns: list[Turn] = []

    def view(self) -> SessionView:
        """Return an immutable view of the session."""
        return SessionView(self.name, self.gateway, self.runner, self.fence, tuple(self.turns))

    def pin(self, command: AttachSession) -> None:
        """Pin the session to the attachment's gateway and runner under the next fence."""
        self.attached_from = command.expected_fence
        self.fence += 1
        self.gateway = command.gateway
        self.runner = command.runner


def _is_resent(session: Session, command: AttachSession) -> bool:
    asked = (command.expected_fence, command.gateway, command.runner)
    return asked == (session.attached_from, session.gateway, session.runner)


class SessionStore:
    """All sessions by name. Fences of a removed session are not reused under its name."""

    def __init__(self) -> None:
        self._sessions: SortedDict = SortedDict()
        self._fence_floor = 0

    def get(self, name: str) -> SessionView | None:
        """Return one session."""
        session = self._sessions.get(name)
        return None if session is None else session.view()

    def declare(self, name: str) -> None:
        """Create the session of a new resource, unless it exists already."""
        if name not in self._sessions:
            self._sessions[name] = Session(name, self._fence_floor)

    def attach(self, command: AttachSession) -> SessionView | Fault:
        """Pin a session to a gateway and runner under a new fence.

        Creates the session if it does not exist. A re-sent attachment gets the same answer; any
        other one that expects an old fence is a conflict that names the current fence.
        """
        if not command.session:
            return invalid("attach_session", "a session needs a name")
        known = self._sessions.get(command.session)
        session = known or Session(command.session, self._fence_floor)
        if _is_resent(session, command):
            return session.view()
        if command.expected_fence != session.fence and known is not None:
            detail = f"session {command.session!r} is at fence {session.fence}"
            return conflict("attach_session", detail, current_revision=session.fence)
        if command.expected_fence not in (0, session.fence):
            detail = f"there is no session {command.session!r}"
            return conflict("attach_session", detail, current_revision=session.fence)
        self._sessions[command.session] = session
        session.pin(command)
        return session.view()

    def append_turn(self, command: AppendTurn) -> Done | Fault:
        """Append a turn; a turn that was appended before is not appended again."""
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
        """Yield all sessions for a snapshot."""
        yield SessionFenceFloor(self._fence_floor)
        for session in self._sessions.values():
            yield StoredSession(session.view(), session.attached_from)

    def restore(self, record: SessionFenceFloor | StoredSession) -> None:
        """Restore one record of a snapshot."""
        if isinstance(record, SessionFenceFloor):
            self._fence_floor = record.fence
            return
        view = record.view
        session = Session(view.session, view.fence)
        session.gateway = view.gateway
        session.runner = view.runner
        session.attached_from = record.attached_from
        session.turns = list(view.turns)
        self._sessions[view.session] = session
