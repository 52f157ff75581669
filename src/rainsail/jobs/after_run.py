"""What follows the end of an item's run: the item is over, or runs again. Pure."""

from dataclasses import dataclass

from rainsail.jobs.item_run import RunEnd

FAILED_RUNNER_PAUSE_S = 1.5
"""A runner at which a run broke takes no item for this long.

Not measured; longer than the 1.2 s between two heartbeats of a runner, so that the next one tells
whether it is still there.
"""
NOT_RUN_PAUSE_S = 0.25
"""A runner that did not run an item takes no other for this long.

Not measured; chosen so that a full runner is asked four times a second, not at each plan.
"""
FRUITLESS_RUNS_AT_ONCE = 3
"""From this many runs in a row that brought no event an item waits before it runs again.

Not measured by itself; chosen so that a runner or two that fail do not delay an item.
"""
FIRST_FRUITLESS_PAUSE_S = 0.5
"""An item's first wait after such runs; it doubles with each further one.

Measured with the two limits beside it: an item whose answer nobody can read runs 4 to 14 times in
60 s, 38 times without a wait.
"""
LONGEST_FRUITLESS_PAUSE_S = 8.0
"""The wait grows no longer; not measured, chosen to be short against the time that jobs have."""


@dataclass(frozen=True, slots=True)
class ItemOver:
    """The item is listed: with its text when it is ``done``, else as given up."""

    done: bool
    reason: str


@dataclass(frozen=True, slots=True)
class RunAgain:
    """The item waits for another run; the runner takes no item for a while."""

    runner_pause_s: float


def decide_after_run(end: RunEnd, failures: int, max_attempts: int) -> ItemOver | RunAgain:
    """Return what follows a run; ``failures`` counts the attempts that failed, this one included.

    Only answers that report a failure use attempts up: a run that broke goes on behind the last
    event, and one that never ran has cost nothing.
    """
    match end:
        case RunEnd.WHOLE:
            return ItemOver(True, "whole")
        case RunEnd.IMPOSSIBLE:
            return ItemOver(False, "the runner says that it can never be done")
        case RunEnd.FAILED if failures >= max_attempts:
            return ItemOver(False, "failed at every attempt")
        case RunEnd.FAILED:
            return RunAgain(0.0)
        case RunEnd.NOT_RUN:
            return RunAgain(NOT_RUN_PAUSE_S)
        case RunEnd.BROKEN:
            return RunAgain(FAILED_RUNNER_PAUSE_S)


def item_pause_s(fruitless_runs: int) -> float:
    """Return how long an item waits after so many runs in a row that broke without an event.

    Without it an item whose answer no run can read would take slots without end, and pause each
    runner in turn for all other items.
    """
    doublings = fruitless_runs - FRUITLESS_RUNS_AT_ONCE
    if doublings < 0:
        return 0.0
    return min(FIRST_FRUITLESS_PAUSE_S * 2**doublings, LONGEST_FRUITLESS_PAUSE_S)
