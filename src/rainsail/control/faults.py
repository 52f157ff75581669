"""Faults that several parts of control answer with."""

from rainsail.consensus.interface import Group
from rainsail.errors import Fault, FaultCode, Outcome


def not_leader(step: str, group: Group) -> Fault:
    """Return the refusal of a replica that does not lead; ``peer`` is the leader if known."""
    detail = f"group {group.group} is led by another replica"
    return Fault(FaultCode.NOT_LEADER, step, detail, group.leader(), Outcome.NOT_RUN)


def unknown_group(step: str, group: int) -> Fault:
    """Return the refusal of a replica that has no member of the group."""
    return Fault(FaultCode.NOT_FOUND, step, f"no group {group} here")
