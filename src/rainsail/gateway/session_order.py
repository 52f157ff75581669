"""Serialises the turns of a session: one at a time, none while the session is moving."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from rainsail.resources.specs import SessionSpec
from rainsail.state.commands import SessionView


@dataclass(slots=True, eq=False)
class LiveSession:
    """A session with turns at this gateway or held by it; ``view`` is the last record read."""

    name: str
    spec: SessionSpec
    view: SessionView | None = None
    active: "SessionTurn | None" = None
    waiting: "deque[SessionTurn]" = field(default_factory=deque)
    moving: bool = False

    def advance(self) -> None:
        """Start the next turn when none is running and the session is not moving."""
        if self.active is not None or self.moving or not self.waiting:
            return
        self.active = self.waiting.popleft()
        self.active.begins()

    def leave(self, turn: "SessionTurn") -> bool:
        """Remove a turn; return whether it was the running one."""
        if self.active is turn:
            self.active = None
            return True
        if turn in self.waiting:
            self.waiting.remove(turn)
        return False

    @property
    def idle(self) -> bool:
        """Whether no turn is running or waiting and the session is not moving."""
        return self.active is None and not self.waiting and not self.moving


class SessionTurn:
    """One turn of a session; ``begins`` is called when it may run."""

    __slots__ = ("begins", "session")

    def __init__(self, session: LiveSession, begins: Callable[[], None]) -> None:
        self.session = session
        self.begins = begins

    def enter(self) -> None:
        """Enqueue the turn; ``begins`` is called when all earlier turns have ended."""
        self.session.waiting.append(self)
        self.session.advance()
