"""How many disks the groups of a simulated fleet have lost and not yet made up for."""

from collections.abc import Mapping

from rainsail.consensus.core_state import CoreState
from rainsail.simulation.processes import ReplicaProcess
from rainsail.state.commands import GroupId

DISKS_BORNE = 2
"""Disks that a group of five may lose before it is repaired; a third one takes its quorum."""


def unrepaired_losses(replicas: Mapping[str, ReplicaProcess]) -> int:
    """Return the largest number of voters of one group whose disk is gone.

    Counted by the newest membership that any replica holds: a voter is gone when its replica runs
    under another identity, or lies dead without one.
    """
    states = _states_by_group(replicas)
    identities = {state.identity for members in states.values() for state in members}
    return max((_gone_voters(members, identities) for members in states.values()), default=0)


def _states_by_group(replicas: Mapping[str, ReplicaProcess]) -> dict[GroupId, list[CoreState]]:
    found: dict[GroupId, list[CoreState]] = {}
    for process in replicas.values():
        if process.node is None or process.disk_lost:
            continue
        for group, hosted in process.node.hosted.items():
            found.setdefault(group, []).append(hosted.driver.core.state)
    return found


def _gone_voters(members: list[CoreState], identities: set[str]) -> int:
    newest = max(members, key=lambda state: (state.commit_index, state.log.last_index))
    return sum(1 for voter in newest.membership.voters() if voter.identity not in identities)
