"""Replies of a group's leader: only after a quorum has confirmed its leadership."""

from collections.abc import Callable
from typing import Any

from expression import Error
from twisted.internet.defer import Deferred

from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault, FaultCode, Outcome


def not_leading(group: GroupDriver, step: str) -> Fault:
    """Return the fault for a call to a non-leader; its ``peer`` is the leader, if known."""
    detail = "another controller leads"
    return Fault(FaultCode.NOT_LEADER, step, detail, group.leader(), Outcome.NOT_RUN)


def confirmed_read(group: GroupDriver, answer: Callable[[], Any]) -> "Deferred[Any]":
    """Reply from a state that covers everything committed up to now (a linearizable read)."""
    barrier = group.read_barrier()
    return barrier.addCallback(
        lambda result: Error(result.error) if result.is_error() else answer()
    )


def reply_to_proposal(result: Any, answer: Any) -> Any:
    """Return ``answer`` if the command took effect, otherwise its fault."""
    if result.is_error():
        return result.error
    outcome = result.ok[1]
    return outcome if isinstance(outcome, Fault) else answer
