"""The failures of a run and their order; two lanes run concurrently."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from rig.injector import HoldTimes, Injector

Failure = Callable[[Injector], Awaitable[None]]
Lane = tuple[Failure, ...]


@dataclass(frozen=True, slots=True)
class RunPlan:
    """A run's duration, the durations of its failures, and its load."""

    hold: HoldTimes
    repair_after_s: float
    mean_gap_factor: float
    heap_period_s: float
    sessions: int
    failures_s: float
    """Failures are drawn for this long; 0 for the fixed lists of the short run."""
    opening: Lane = ()
    """Failures that run first, one after the other, while nothing else fails."""


SHORT = RunPlan(HoldTimes(0.5, 2.0, 2.0), 2.0, 0.4, 4.0, 3, 0.0)
SHORT_REPLICAS: Lane = (Injector.lose_disk_then_two, Injector.pause_leader)
SHORT_OTHERS: Lane = (
    Injector.kill_gateway,
    Injector.stop_gateway,
    Injector.kill_engines,
    Injector.drain_runner,
)
LONG_HOLD = HoldTimes(4.0, 20.0, 14.0)
LONG_REPAIR_AFTER_S = 5.0
LONG_GAP_FACTOR = 0.5
OPENING: Lane = (Injector.pause_gateway_through_drain,)
REPLICA_FAILURES: Lane = (
    Injector.kill_leader,
    Injector.kill_two_replicas,
    Injector.kill_all_replicas,
    Injector.lose_disk,
    Injector.lose_disk_then_two,
    Injector.pause_leader,
    Injector.pause_leader_for_a_minute,
    Injector.stop_replica,
)
OTHER_FAILURES: Lane = (
    Injector.kill_gateway,
    Injector.pause_gateway,
    Injector.stop_gateway,
    Injector.kill_engines,
    Injector.drain_runner,
    Injector.machine_leaves,
)


def long_plan(failures_s: float) -> RunPlan:
    """Return the plan of a run that draws failures for ``failures_s``."""
    return RunPlan(LONG_HOLD, LONG_REPAIR_AFTER_S, LONG_GAP_FACTOR, 10.0, 6, failures_s, OPENING)


def lanes(plan: RunPlan, draw: random.Random) -> tuple[Lane, Lane]:
    """Return each lane's failures; a random lane has each kind once per shuffled round."""
    if plan.failures_s == 0:
        return SHORT_REPLICAS, SHORT_OTHERS
    return _shuffled(REPLICA_FAILURES, draw), _shuffled(OTHER_FAILURES, draw)


def _shuffled(failures: Lane, draw: random.Random) -> Lane:
    return tuple(draw.sample(failures, len(failures)))
