"""Stages of failure and repair of a group, for checks of its status at each stage."""

from collections.abc import Callable
from typing import Any

from features.support.consensus import SimulatedGroup

from rainsail.consensus.settings import ConsensusSettings
from rainsail.state.commands import MarkInForce

REPAIR_AFTER_S = 3.0
DETECTION_S = 2.5
"""Longer than ``unreachable_after_s``: a silent member counts as unreachable by then."""
STALL_S = 12.0
STAGE_SETTINGS = ConsensusSettings(
    repair_after_s=REPAIR_AFTER_S,
    caught_up_entries=20,
    snapshot_log_entries=25,
    retained_entries=5,
    promotion_lag_entries=5,
)


LOAD_BATCH = 10
LOAD_PERIOD_S = 0.02


class SteadyLoad:
    """Proposes a batch at the leader in each period, without waiting for answers."""

    def __init__(self, group: SimulatedGroup) -> None:
        self._group = group
        self.proposed = 0
        self.committed = 0
        self._tick()

    def _tick(self) -> None:
        self._group.clock.callLater(LOAD_PERIOD_S, self._tick)
        for name in self._group.leaders():
            for _ in range(LOAD_BATCH):
                self.proposed += 1
                done = self._group.driver(name).propose(MarkInForce(1))
                done.addCallback(self._answered)

    def _answered(self, result: Any) -> None:
        self.committed += result.is_ok()


def new_group(
    replicas: int = 5, repair_after_s: float = REPAIR_AFTER_S, **settings: Any
) -> SimulatedGroup:
    """Start a group with the stage settings and wait for its leader."""
    names = [f"replica-{number}" for number in range(1, replicas + 1)]
    changed = {"repair_after_s": repair_after_s, **settings}
    group = SimulatedGroup(names, 5, STAGE_SETTINGS.model_copy(update=changed))
    group.leader()
    return group


def members(group: SimulatedGroup) -> tuple:
    """Return the leader's latest membership."""
    return group.driver(group.leader()).core.state.membership.members


def learners(group: SimulatedGroup) -> list:
    """Return the members that are learners."""
    return [member for member in members(group) if not member.voter]


def has_two_voters_of(group: SimulatedGroup, name: str) -> bool:
    """Tell whether a replica's old and new identity both vote."""
    return len([m for m in members(group) if m.replica == name and m.voter]) == 2


def is_healthy(group: SimulatedGroup) -> bool:
    """Tell whether there is a leader and it reports Healthy."""
    return bool(group.leaders()) and group.status().health == "Healthy"


def _down(group: SimulatedGroup, count: int) -> list[str]:
    victims = group.followers()[:count]
    for name in victims:
        group.crash(name)
    group.run_for(DETECTION_S)
    return victims


def _disk_lost(group: SimulatedGroup) -> str:
    victim = group.followers()[0]
    group.lose_disk(victim)
    group.start(victim)
    return victim


def _learner(group: SimulatedGroup) -> None:
    _disk_lost(group)
    group.run_until(lambda: bool(learners(group)), "a learner")


def _two_voting_identities(group: SimulatedGroup) -> None:
    victim = _disk_lost(group)
    group.run_until(lambda: has_two_voters_of(group, victim), "both identities vote")


def _repaired(group: SimulatedGroup) -> None:
    _learner(group)
    group.run_until(lambda: is_healthy(group), "the repair's end")


def _back(group: SimulatedGroup) -> None:
    group.start(_down(group, 1)[0])
    group.run_for(1.0)


def _far_behind(group: SimulatedGroup) -> None:
    group.disks[group.followers()[0]].sync_latency_s = 30.0
    group.commit(40)


def _disk_lost_and_noticed(group: SimulatedGroup) -> None:
    _disk_lost(group)
    group.run_for(DETECTION_S)


def _leader_changed(group: SimulatedGroup) -> None:
    group.crash(group.leader())
    group.leader()
    group.run_for(0.05)


STAGES: dict[str, Callable[[SimulatedGroup], object]] = {
    "nothing has happened": lambda group: group.run_for(0.5),
    "one replica is down": lambda group: _down(group, 1),
    "two replicas are down": lambda group: _down(group, 2),
    "one replica is back from the power cut": _back,
    "one disk is lost": _disk_lost_and_noticed,
    "its successor is a learner": _learner,
    "the old identity still votes": _two_voting_identities,
    "the repair is done": _repaired,
    "one replica is far behind": _far_behind,
    "the leader has just changed": _leader_changed,
}


def at_stage(stage: str) -> SimulatedGroup:
    """Bring a new group to a stage; the same stage always gives the same group state."""
    group = new_group()
    group.commit(60)
    STAGES[stage](group)
    return group


def lose_voters(group: SimulatedGroup, count: int) -> None:
    """Permanently lose reachable voters, the leader first."""
    leader = group.leader()
    status = group.status()
    reachable = [
        m.replica for m in status.members if m.voter and m.reachable and m.replica != leader
    ]
    for name in [leader, *reachable][:count]:
        group.lose_disk(name)


def still_commits(group: SimulatedGroup) -> bool:
    """Tell whether the group commits again and its leader holds everything acknowledged."""
    before = group.next_number
    try:
        group.run_until(lambda: group.try_commit(before), "a commit", STALL_S)
    except AssertionError:
        return False
    group.next_number += 1
    return group.holds_acknowledged(group.leader())
