"""How long a change takes that is made just as the leader is cut off in silence."""

from features.support.hollow.control_fleet import ControlFleet
from features.support.hollow.workload import operator_change

from rainsail.state.commands import ResourceChanged

CHANGE_NUMBER = 1_000_000
"""Beyond the numbers of the changes that a run makes."""
LIMIT_S = 60.0


def lose_leader(fleet: ControlFleet) -> float:
    """Cut the leader off, make a change through a node; return virtual seconds until in force.

    The change goes to whoever leads by then, and counts from the cut on.
    """
    start_s = fleet.clock.seconds()
    fleet.cut_off_leader()
    node = next(iter(fleet.nodes.values())).node
    change = operator_change(fleet.size, CHANGE_NUMBER)
    answers: list[object] = []
    node.client.propose(change, LIMIT_S).addCallback(lambda answer: answers.append(answer.ok))
    if not fleet.wait_until(lambda: bool(answers), LIMIT_S):
        raise RuntimeError("no new leader took the change")
    changed = answers[0]
    assert isinstance(changed, ResourceChanged)
    states = [replica.state for replica in fleet.replicas.values()]

    def in_force() -> bool:
        return max(state.in_force_revision for state in states) >= changed.revision

    if not fleet.wait_until(in_force, LIMIT_S):
        raise RuntimeError("the change did not get in force")
    return fleet.clock.seconds() - start_s
