"""Profiles of the schedules: the weights of their kinds of step and their fault probabilities."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StepWeights:
    """The step weights and fault probabilities of one schedule, and its group sizes."""

    deliver: float
    sync: float
    advance_time: float
    client: float
    crash: float
    lose_disk: float
    cut: float
    manage: float
    loss: float = 0.03
    duplication: float = 0.03
    restart: float = 2.0
    crash_after_election: float = 0.0
    crash_after_commit: float = 0.0
    cut_after_election: float = 0.0
    slow_link: float = 0.0
    crash_in_change: float = 0.0
    lose_two_disks: float = 0.0
    sizes: tuple[int, ...] = (3, 3, 4, 5, 5)


FEW_FAULTS = StepWeights(70, 20, 0.8, 8, 0.1, 0.1, 0.2, 0.6)
MANY_FAULTS = StepWeights(70, 18, 0.8, 6, 0.6, 0.1, 0.8, 0.5, loss=0.06)
MEMBERSHIP_CHURN = StepWeights(70, 18, 0.8, 6, 0.3, 0.4, 0.3, 2.0)
DISK_LOSS = StepWeights(70, 12, 0.8, 6, 0.7, 0.7, 0.3, 0.3, crash_after_commit=0.05)
POWER_CUTS = StepWeights(70, 6, 0.8, 6, 0.5, 0.0, 0.3, 0.3, crash_after_commit=0.2)
ELECTIONS = StepWeights(
    70,
    20,
    0.8,
    2,
    0.1,
    0.0,
    0.1,
    0.0,
    loss=0.02,
    restart=6.0,
    crash_after_election=0.2,
    crash_after_commit=0.05,
    cut_after_election=0.8,
    sizes=(3, 3, 5),
)
PARTITIONS = StepWeights(70, 20, 0.8, 8, 0.1, 0.0, 2.5, 0.2, loss=0.02)
COMPETING_CANDIDATES = StepWeights(
    70,
    20,
    1.5,
    3,
    0.1,
    0.0,
    0.1,
    0.1,
    loss=0.01,
    restart=6.0,
    crash_after_election=0.3,
    slow_link=3.0,
    sizes=(3, 5, 5),
)
TRANSFERS = StepWeights(70, 20, 0.8, 8, 0.3, 0.0, 0.2, 6.0, crash_in_change=0.1, slow_link=1.0)
REPAIRS = StepWeights(
    70, 20, 3.0, 5, 0.1, 0.1, 0.05, 0.3, loss=0.01, crash_in_change=0.05, lose_two_disks=0.1
)
WEIGHT_PROFILES = (
    FEW_FAULTS,
    MANY_FAULTS,
    MEMBERSHIP_CHURN,
    DISK_LOSS,
    POWER_CUTS,
    ELECTIONS,
    ELECTIONS,
    PARTITIONS,
    COMPETING_CANDIDATES,
    TRANSFERS,
    REPAIRS,
)
