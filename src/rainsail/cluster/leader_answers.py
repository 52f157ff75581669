"""How a group's leader answers calls: after a quorum has confirmed what it says."""

from collections.abc import Callable
from typing import Any

from expression import Error
from twisted.internet.defer import Deferred

from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault, FaultCode, Outcome


def not_leading(group: GroupDriver, step: str) -> Fault:
    """Return the fault of a call that came to a node which does not lead; it names who does."""
    detail = "another controller leads"
    return Fault(FaultCode.NOT_LEADER, step, detail, group.leader(), Outcome.NOT_RUN)


def confirmed_read(group: GroupDriver, answer: Callable[[], Any]) -> "Deferred[Any]":
    """Answer from the state that covers everything committed until now."""
    barrier = group.read_barrier()
    return barrier.addCallback(
        lambda result: Error(result.error) if result.is_error() else answer()
    )


def reply_to_proposal(result: Any, answer: Any) -> Any:
    """Return ``answer`` for a command that took effect, the fault otherwise."""
    if result.is_error():
        return result.error
    outcome = result.ok[1]
    return outcome if isinstance(outcome, Fault) else answer
