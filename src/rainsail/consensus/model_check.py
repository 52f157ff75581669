"""The randomised model check of the consensus core against its safety properties.

Schedule ``i`` of seed ``s`` equals schedule 0 of seed ``s + i``, so a single violation can be
reproduced alone.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from rainsail.consensus.model_coverage import Coverage
from rainsail.consensus.model_properties import PropertyViolation
from rainsail.consensus.model_schedule import STEPS_PER_SCHEDULE, Schedule


@dataclass(frozen=True, slots=True)
class ModelViolation:
    """A violated property; ``--schedules 1 --seed SEED`` reproduces it."""

    seed: int
    step: int
    property: str
    detail: str


@dataclass(slots=True)
class ModelCheckResult:
    """The results of a model check."""

    schedules: int = 0
    coverage: Coverage = field(default_factory=Coverage)
    violations: list[ModelViolation] = field(default_factory=list)


def run_schedule(seed: int, result: ModelCheckResult, steps: int = STEPS_PER_SCHEDULE) -> None:
    """Run one schedule and add its violation, if any, and its coverage to the result."""
    schedule = Schedule(seed)
    world = schedule.world
    try:
        schedule.run(steps)
    except PropertyViolation as found:
        violation = ModelViolation(seed, world.coverage.steps, found.name, found.detail)
        result.violations.append(violation)
    except (AssertionError, ValueError, KeyError, IndexError) as error:
        violation = ModelViolation(
            seed, world.coverage.steps, "internal-assertion", f"{type(error).__name__}: {error}"
        )
        result.violations.append(violation)
    result.schedules += 1
    result.coverage.add(world.coverage)


def run_model_check(
    schedules: int,
    seed: int,
    on_schedule: Callable[[], object] = lambda: None,
    stop_at_first: bool = False,
) -> ModelCheckResult:
    """Run schedules ``seed .. seed + schedules - 1``, calling ``on_schedule`` after each."""
    result = ModelCheckResult()
    for offset in range(schedules):
        run_schedule(seed + offset, result)
        on_schedule()
        if result.violations and stop_at_first:
            break
    return result
