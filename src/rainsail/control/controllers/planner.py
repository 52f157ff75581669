"""The interface of a reconcile loop's planner, and the ages that planners track."""

from collections.abc import Hashable, Sequence
from typing import Protocol

from rainsail.state.commands import Command
from rainsail.state.interface import ReplicatedReader


class Planner(Protocol):
    """Decides the commands that bring the state closer to what operators declared.

    A planner does no I/O. Between plans it keeps only the times at which it first saw something;
    ``begin`` clears them when this replica becomes leader.
    """

    name: str

    def begin(self) -> None:
        """Drop everything kept from an earlier leadership term."""
        ...

    def plan(self, state: ReplicatedReader, now_s: float) -> list[Command]:
        """Return the commands to propose now; ``now_s`` is the leader's monotonic time."""
        ...


class FirstSeen:
    """When each key was first seen in this leadership term, in the leader's monotonic seconds."""

    def __init__(self) -> None:
        self._first_seen_s: dict[Hashable, float] = {}

    def clear(self) -> None:
        """Drop all keys."""
        self._first_seen_s.clear()

    def ages_s(self, keys: Sequence[Hashable], now_s: float) -> list[float]:
        """Return how long each key has been present without interruption; drop all other keys."""
        self._first_seen_s = {key: self._first_seen_s.get(key, now_s) for key in keys}
        return [now_s - self._first_seen_s[key] for key in keys]
