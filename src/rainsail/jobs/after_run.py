"""What follows the end of an item's run: the item is over, or runs again. Pure."""

from dataclasses import dataclass
from typing import assert_never

from rainsail.jobs.item_run import RunEnd

RUNNER_BACKOFF_MIN_S = 0.1
"""A runner at which a run has failed takes no item for this long; it doubles with each further
run in a row that fails there.

As long as between two starts at one runner (``start_interval_s``), so that a runner of which one
run in many breaks loses no slot, while one that has died, with all its runs, rests at its longest.
Measured with the process soak, in which 4 runs in 100 break: a rest of 1.5 s after each left 100 to
190 of some 550 jobs unfinished 40 s after the last fault.
"""
RUNNER_BACKOFF_MAX_S = 1.5
"""No rest is longer.

Not measured; longer than the 1.2 s between two heartbeats of a runner, so that the next one tells
whether it is still there.
"""
RUNNER_AVOIDANCE_S = 5.0
"""An item that a runner answered with a failure goes to other ready runners only, for this long.

Not measured; chosen longer than most items run, so that a slot elsewhere becomes free meanwhile,
and short against the time that jobs have, should none become free.
"""
NOT_RUN_PAUSE_S = 0.25
"""A runner that did not run an item takes no other for this long.

Not measured; chosen so that a full runner is asked four times a second, not at each plan.
"""
RUNS_BEFORE_ITEM_BACKOFF = 3
"""From this many runs in a row that brought no event an item waits before it runs again.

Not measured by itself; chosen so that a runner or two that fail do not delay an item.
"""
ITEM_BACKOFF_MIN_S = 0.5
"""An item's first wait after such runs; it doubles with each further one.

Measured with the two limits beside it: an item whose answer nobody can read runs 4 to 14 times in
60 s, 38 times without a wait.
"""
CONFIRMATION_PAUSE_S = 0.5
"""An item whose whole text is not confirmed waits this long before it runs again.

Items that run beside it begin meanwhile, and so confirm it.
"""
ITEM_BACKOFF_MAX_S = 8.0
"""The wait grows no longer; not measured, chosen to be short against the time that jobs have."""


@dataclass(frozen=True, slots=True)
class ItemOver:
    """The item is listed: with its text when it is ``done``, else as given up."""

    done: bool
    reason: str


@dataclass(frozen=True, slots=True)
class RunAgain:
    """The item waits for another run."""


def indicates_runner_failure(end: RunEnd) -> bool:
    """Tell whether the end of a run speaks against its runner, though it may not be at fault."""
    return end in (RunEnd.BROKEN, RunEnd.UNREACHED, RunEnd.FAILED)


def runner_backoff_s(failed_runs: int) -> float:
    """Return how long a runner rests after so many runs in a row that failed there.

    What fails now and then costs next to nothing, while what fails always gets few items: each rest
    ends with one item that tries.
    """
    if failed_runs < 1:
        return 0.0
    return min(RUNNER_BACKOFF_MAX_S, RUNNER_BACKOFF_MIN_S * 2 ** (failed_runs - 1))


def runner_pause_s(end: RunEnd, failed_runs: int) -> float:
    """Return how long a runner takes no item after the end of a run there.

    ``failed_runs`` counts the runs in a row, of whatever items, that have failed at the runner,
    this one included.
    """
    match end:
        case RunEnd.BROKEN:
            return runner_backoff_s(failed_runs)
        case RunEnd.UNREACHED:
            return max(NOT_RUN_PAUSE_S, runner_backoff_s(failed_runs))
        case RunEnd.FAILED:
            # The first failure in a row may be the item's own.
            return runner_backoff_s(failed_runs - 1)
        case RunEnd.NOT_RUN:
            return NOT_RUN_PAUSE_S
        case RunEnd.WHOLE | RunEnd.UNCONFIRMED | RunEnd.CONFIRMED | RunEnd.IMPOSSIBLE:
            return 0.0
        case _:
            assert_never(end)


def decide_after_run(end: RunEnd, failures: int, max_attempts: int) -> ItemOver | RunAgain:
    """Return what follows a run; ``failures`` counts the attempts that failed, this one included.

    Only answers that report a failure use attempts up: a run that broke goes on behind the last
    event, and one that never ran has cost nothing.
    """
    match end:
        case RunEnd.WHOLE | RunEnd.CONFIRMED:
            return ItemOver(True, end.value)
        case RunEnd.IMPOSSIBLE:
            return ItemOver(False, "the runner says that it can never be done")
        case RunEnd.FAILED if failures >= max_attempts:
            return ItemOver(False, "failed at every attempt")
        case _:
            return RunAgain()


def item_backoff_s(runs_without_event: int) -> float:
    """Return how long an item waits after so many runs in a row that broke without an event.

    Without it an item whose answer no run can read would take slots without end, and pause each
    runner in turn for all other items.
    """
    doublings = runs_without_event - RUNS_BEFORE_ITEM_BACKOFF
    if doublings < 0:
        return 0.0
    return min(ITEM_BACKOFF_MIN_S * 2**doublings, ITEM_BACKOFF_MAX_S)
