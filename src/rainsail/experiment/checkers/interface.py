"""What a checker takes and returns."""

from dataclasses import dataclass
from typing import Protocol

from rainsail.experiment.history import History


@dataclass(frozen=True, slots=True)
class Violation:
    """One breach of an invariant, with enough detail to find it in the history."""

    checker: str
    detail: str


class Checker(Protocol):
    """Reads a history and returns every breach that it finds."""

    name: str

    def check(self, history: History) -> list[Violation]:
        """Return the violations, in history order."""
        ...
