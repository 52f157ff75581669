"""The state machine that a replicated group drives."""

from collections.abc import Iterable, Iterator
from typing import Any, Protocol


class StateMachine(Protocol):
    """Deterministic state: equal sequences of commands lead to equal states."""

    def apply(self, index: int, command: Any) -> Any:
        """Apply the committed command at log ``index``; a ``Fault`` outcome changed nothing."""
        ...

    def snapshot(self) -> Iterator[bytes]:
        """Return the state at the time of the call, as chunks.

        The caller reads the chunks later, one by one, while further commands are applied. The
        chunks must not reflect those commands.
        """
        ...

    def restore(self, chunks: Iterable[bytes]) -> None:
        """Replace the whole state by a snapshot's chunks.

        The caller ensures that no chunk is missing. Raises ``CodecError`` or ``RainsailError`` for
        chunks that are not a snapshot of this state; errors of ``chunks`` propagate.
        """
        ...
