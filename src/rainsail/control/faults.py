"""Faults shared by several modules of the control plane."""

from rainsail.consensus.interface import Group
from rainsail.errors import Fault, FaultCode, Outcome


def not_leader(step: str, group: Group) -> Fault:
    """Return the fault of a replica that is not the leader; ``peer`` names the leader if known."""
    detail = f"group {group.group} is led by another replica"
    return Fault(FaultCode.NOT_LEADER, step, detail, group.leader(), Outcome.NOT_RUN)


def unknown_group(step: str, group: int) -> Fault:
    """Return the fault of a replica that is not a member of the group."""
    return Fault(FaultCode.NOT_FOUND, step, f"no group {group} here")
