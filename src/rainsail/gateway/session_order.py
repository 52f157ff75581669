"""The order of a session's turns: one at a time, none while the session moves."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from rainsail.resources.specs import SessionSpec
from rainsail.state.commands import SessionView


@dataclass(slots=True, eq=False)
class LiveSession:
    """A session that this gateway has turns of, or holds; ``view`` is what it last read."""

    name: str
    spec: SessionSpec
    view: SessionView | None = None
    active: "SessionTurn | None" = None
    waiting: "deque[SessionTurn]" = field(default_factory=deque)
    moving: bool = False

    def advance(self) -> None:
        """Begin the next turn when none runs and the session is not being moved."""
        if self.active is not None or self.moving or not self.waiting:
            return
        self.active = self.waiting.popleft()
        self.active.begins()

    def leave(self, turn: "SessionTurn") -> bool:
        """Take a turn out; return whether it was the running one."""
        if self.active is turn:
            self.active = None
            return True
        if turn in self.waiting:
            self.waiting.remove(turn)
        return False

    @property
    def idle(self) -> bool:
        """Whether no turn runs or waits and nothing is being moved."""
        return self.active is None and not self.waiting and not self.moving


class SessionTurn:
    """One turn's place in its session's order."""

    __slots__ = ("begins", "session")

    def __init__(self, session: LiveSession, begins: Callable[[], None]) -> None:
        self.session = session
        self.begins = begins

    def enter(self) -> None:
        """Queue behind the session's earlier turns; ``begins`` is called when they are over."""
        self.session.waiting.append(self)
        self.session.advance()
