"""Sessions: where each lives, under which fence, and its transcript.

A session begins with its resource, or with its first attachment. One that was deleted and is
declared again begins at the highest fence of any deleted session, so that nothing that was sent
under an old fence counts for the new one.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict

from rainsail.errors import Fault
from rainsail.state.commands import AppendTurn, AttachSession, Done, SessionView, Turn
from rainsail.state.faults import conflict, fenced, invalid, not_found
from rainsail.wire.codec import wire_record

NEVER_ATTACHED = -1
"""``attached_from`` of a session that has no place yet."""


@wire_record("SessionFenceFloor")
@dataclass(frozen=True, slots=True)
class SessionFenceFloor:
    """The highest fence of any removed session, for a snapshot."""

    fence: int


@wire_record("StoredSession")
@dataclass(frozen=True, slots=True)
class StoredSession:
    """One session for a snapshot; ``attached_from`` is the fence its attachment expected."""

    view: SessionView
    attached_from: int


class Session:
    """A session's place and its turns so far."""

    __slots__ = ("attached_from", "fence", "gateway", "name", "runner", "turns")

    def __init__(self, name: str, fence: int) -> None:
        self.name = name
        self.gateway = ""
        self.runner = ""
        self.fence = fence
        self.attached_from = NEVER_ATTACHED
        self.turns: list[Turn] = []

    def view(self) -> SessionView:
        """Return the session as a value."""
        return SessionView(self.name, self.gateway, self.runner, self.fence, tuple(self.turns))

    def pin(self, command: AttachSession) -> None:
        """Take the place of an attachment under the next fence."""
        self.attached_from = command.expected_fence
        self.fence += 1
        self.gateway = command.gateway
        self.runner = command.runner


def _is_resent(session: Session, command: AttachSession) -> bool:
    asked = (command.expected_fence, command.gateway, command.runner)
    return asked == (session.attached_from, session.gateway, session.runner)


class SessionStore:
    """All sessions. A removed session's fences are not used again under its name."""

    def __init__(self) -> None:
        self._sessions: SortedDict = SortedDict()
        self._fence_floor = 0

    def get(self, name: str) -> SessionView | None:
        """Return one session."""
        session = self._sessions.get(name)
        return None if session is None else session.view()

    def declare(self, name: str) -> None:
        """Begin a session whose resource was put, unless it is there already."""
        if name not in self._sessions:
            self._sessions[name] = Session(name, self._fence_floor)

    def attach(self, command: AttachSession) -> SessionView | Fault:
        """Pin a session to a gateway and runner under a new fence.

        A session that is not there is begun. The same attachment sent again gets the same
        answer; any other that expects an old fence is a conflict naming the current one.
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
        session = Session(view.session, view.fence)
        session.gateway = view.gateway
        session.runner = view.runner
        session.attached_from = record.attached_from
        session.turns = list(view.turns)
        self._sessions[view.session] = session
