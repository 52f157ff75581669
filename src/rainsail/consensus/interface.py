"""The interface of a replicated group towards the control service.

``rainsail.consensus.driver.GroupDriver`` implements ``Group`` on top of the I/O-free core
(``rainsail.consensus.core``), a ``GroupStorage`` and a ``Messenger``.
"""

from collections.abc import Callable
from typing import Any, Protocol

from expression import Result
from twisted.internet.defer import Deferred

from rainsail.consensus.group_status import GroupStatusReply
from rainsail.errors import Fault
from rainsail.state.command_basics import GroupId


class Group(Protocol):
    """One replicated group on this replica."""

    group: GroupId

    def is_leader(self) -> bool:
        """Return whether this replica is leader and holds the read lease now."""
        ...

    def leader(self) -> str:
        """Return the name of the last known leader, or an empty string."""
        ...

    def propose(self, command: Any) -> "Deferred[Result[tuple[int, Any], Fault]]":
        """Commit and apply a command; the Deferred fires with (index, outcome) or a fault.

        A NOT_LEADER fault with outcome NOT_RUN: the command was not appended. Outcome UNKNOWN:
        leadership was lost after it was appended, and it may still be committed.
        """
        ...

    def read_barrier(self) -> "Deferred[Result[int, Fault]]":
        """Fire with an applied index that covers everything committed when it was called."""
        ...

    def on_applied(self, listener: Callable[[int], None]) -> None:
        """Call ``listener(applied_index)`` after each batch of entries is applied."""
        ...

    def on_leadership(self, listener: Callable[[bool], None]) -> None:
        """Call ``listener(True)`` when leadership begins, ``listener(False)`` when it ends.

        It begins when the first entry of the new term is applied.
        """
        ...

    def status(self) -> GroupStatusReply:
        """Return this replica's view of the group."""
        ...

    def stop(self) -> None:
        """Stop timers and refuse further calls; durable state stays as synced."""
        ...
