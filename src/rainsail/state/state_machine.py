"""The state machine that a replicated group drives."""

from collections.abc import Iterable, Iterator
from typing import Any, Protocol


class StateMachine(Protocol):
    """Deterministic state: the same commands in the same order give the same state."""

    def apply(self, index: int, command: Any) -> Any:
        """Apply the committed command at log ``index``; a ``Fault`` outcome changed nothing."""
        ...

    def snapshot(self) -> Iterator[bytes]:
        """Return the whole state as it is at the call, as chunks.

        Chunks are asked for later, one by one, while further commands are applied; those must
        not show in them.
        """
        ...

    def restore(self, chunks: Iterable[bytes]) -> None:
        """Replace the whole state by a snapshot's chunks.

        The caller sees to it that no chunk lacks. Raises ``CodecError`` or ``RainsailError`` for
        chunks that aren't a snapshot of this state, and lets errors of ``chunks`` through.
        """
        ...
