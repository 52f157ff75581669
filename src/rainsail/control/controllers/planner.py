"""What every reconcile loop is made of: a pure plan over the replicated state."""

from collections.abc import Hashable, Sequence
from typing import Protocol

from rainsail.state.commands import Command
from rainsail.state.interface import ReplicatedReader


class Planner(Protocol):
    """Decides the commands that bring the state closer to what operators declared.

    A planner does no I/O. What it remembers between plans is only when it first saw something;
    ``begin`` clears that when this replica takes up the leadership.
    """

    name: str

    def begin(self) -> None:
        """Forget everything remembered under an earlier leadership."""
        ...

    def plan(self, state: ReplicatedReader, now_s: float) -> list[Command]:
        """Return the commands to propose now; ``now_s`` is the leader's monotonic time."""
        ...


class FirstSeen:
    """When each thing was first seen under this leadership, in the leader's monotonic seconds."""

    def __init__(self) -> None:
        self._first_seen_s: dict[Hashable, float] = {}

    def clear(self) -> None:
        """Forget everything."""
        self._first_seen_s.clear()

    def ages_s(self, keys: Sequence[Hashable], now_s: float) -> list[float]:
        """Return for how long each key has been seen without a break; forget all others."""
        self._first_seen_s = {key: self._first_seen_s.get(key, now_s) for key in keys}
        return [now_s - self._first_seen_s[key] for key in keys]
