"""Decides what follows the end of an item's run: list the item, or retry and after which backoff.

Pure functions.
"""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import assert_never

from rainsail.jobs.failure_counts import FailureCounts
from rainsail.jobs.item_run import RunEnd
from rainsail.relay.continuation import STATUS_IMPOSSIBLE, STATUS_SERVER_ERROR

RUNNER_BACKOFF_MIN_S = 0.1
"""Backoff of a runner after one failed run; it doubles with each further consecutive failure.

Equals the interval between two starts at one runner (``start_interval_s``), so an occasional broken
run costs no slot, while a dead runner, all of whose runs fail, reaches the maximum. In the process
soak 4 runs in 100 break; there a pause of 1.5 s after each left 100 to 190 of some 550 jobs
unfinished 40 s after the last fault.
"""
RUNNER_BACKOFF_MAX_S = 1.5
"""Maximum backoff of a runner.

Longer than the 1.2 s between two heartbeats of a runner, so that the next heartbeat shows whether
the runner is still alive.
"""
RUNNER_AVOIDANCE_S = 5.0
"""Time for which an item avoids a runner that answered it with a failure, if another one is ready.

Longer than most items run, so that a slot elsewhere becomes free meanwhile; short compared to the
completion time of jobs, in case none does.
"""
NOT_RUN_PAUSE_S = 0.25
"""Pause of a runner that did not run an item.

A full runner is thus retried four times a second, not in every dispatch round.
"""
RUNS_BEFORE_ITEM_BACKOFF = 3
"""Consecutive broken runs without a new event after which an item backs off.

High enough that one or two failing runners do not delay an item.
"""
ITEM_BACKOFF_MIN_S = 0.5
"""An item's first backoff after such runs; it doubles with each further one.

With these limits (after 3 runs, from 0.5 s to 8 s) an item whose answer cannot be parsed runs 4 to
14 times in 60 s; without a backoff it runs 38 times.
"""
STEADY_LEADERSHIP_S = 8.0
"""Age of a leadership from which items are sent that the loss of one more leader would hold.

Longer than an election takes, so that such items sit out a series of leader changes.
"""
CONFIRMATION_PAUSE_S = 0.5
"""Wait of an item whose complete text is unconfirmed before it runs again.

Meanwhile the streams of items that run concurrently start, which usually confirms it.
"""
ITEM_BACKOFF_MAX_S = 8.0
"""Maximum backoff of an item; short compared to the completion time of jobs."""

REFUTED_BACKOFF_MAX_S = 1.0
"""The same after a run that ended in order before the text's last event.

Such a run is over at once and takes hardly any time of a slot.
"""


@dataclass(frozen=True, slots=True)
class ItemOver:
    """The item is to be listed: with its text if ``done``, as given up otherwise."""

    done: bool
    reason: str


@dataclass(frozen=True, slots=True)
class RunAgain:
    """The item is queued for another run."""


def indicates_runner_failure(end: RunEnd) -> bool:
    """Tell whether the end of a run suggests a failing runner; the cause may lie elsewhere."""
    return end in (RunEnd.BROKEN, RunEnd.END_REFUTED, RunEnd.UNREACHED, RunEnd.FAILED)


def runner_backoff_s(failed_runs: int) -> float:
    """Return the backoff of a runner after so many consecutive failed runs.

    Occasional failures cost next to nothing, while a runner that always fails gets few items: one
    probing item after each backoff.
    """
    if failed_runs < 1:
        return 0.0
    return min(RUNNER_BACKOFF_MAX_S, RUNNER_BACKOFF_MIN_S * 2 ** (failed_runs - 1))


def runner_pause_s(end: RunEnd, failed_runs: int) -> float:
    """Return how long a runner gets no item after the end of a run there.

    ``failed_runs`` counts the consecutive failed runs at the runner, over all items and including
    this one.
    """
    match end:
        case RunEnd.BROKEN | RunEnd.END_REFUTED:
            return runner_backoff_s(failed_runs)
        case RunEnd.UNREACHED:
            return max(NOT_RUN_PAUSE_S, runner_backoff_s(failed_runs))
        case RunEnd.FAILED:
            # The item itself may have caused the first failure of a series.
            return runner_backoff_s(failed_runs - 1)
        case RunEnd.NOT_RUN:
            return NOT_RUN_PAUSE_S
        case RunEnd.WHOLE | RunEnd.UNCONFIRMED | RunEnd.CONFIRMED | RunEnd.IMPOSSIBLE:
            return 0.0
        case RunEnd.END_UNCONFIRMED:
            return 0.0
        case _:
            assert_never(end)


def decide_after_run(end: RunEnd, failures: int, max_attempts: int) -> ItemOver | RunAgain:
    """Return what follows a run; ``failures`` counts the failed attempts, including this one.

    Only answers that report a failure use up attempts: a broken run is resumed after its last
    event, and an item that did not run has cost nothing.
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


class BeforeRun(StrEnum):
    """What may be done with an item that waits for a run."""

    SEND = "send"
    SEND_ALONE = "send_alone"
    """If this run's answer remained unknown, the attempts might be used up."""
    HOLD = "hold"
    """Its attempts may be used up, but not certainly: it is neither sent nor given up."""
    GIVE_UP = "give_up"


def decide_before_run(counts: FailureCounts, max_attempts: int) -> BeforeRun:
    """Return what may be done with an item after so many failures, over all leaders."""
    if counts.failed >= max_attempts:
        return BeforeRun.GIVE_UP
    if counts.may_be_used_up(max_attempts):
        return BeforeRun.HOLD
    is_at_risk = counts.unknown and counts.with_unknown_run().may_be_used_up(max_attempts)
    return BeforeRun.SEND_ALONE if is_at_risk else BeforeRun.SEND


def failures_after_run(counts: FailureCounts, end: RunEnd, status: int) -> FailureCounts:
    """Return an item's counts after a run whose answer had this status, 0 if none had begun.

    An answer that breaks off may count as one or not: its status was given, its body was not.
    """
    if end == RunEnd.FAILED:
        return replace(counts, failed=counts.failed + 1)
    if status == STATUS_SERVER_ERROR:
        return replace(counts, broken_off=counts.broken_off + 1)
    if status == STATUS_IMPOSSIBLE:
        return replace(counts, impossible=counts.impossible + 1)
    return counts


def item_backoff_s(runs_without_event: int, end: RunEnd = RunEnd.BROKEN) -> float:
    """Return an item's backoff after so many consecutive broken runs without a new event.

    Without a backoff, an item whose answer cannot be parsed would occupy slots forever, and its
    failed runs would pause each runner in turn for all other items.
    """
    doublings = runs_without_event - RUNS_BEFORE_ITEM_BACKOFF
    if doublings < 0:
        return 0.0
    is_refuted = end == RunEnd.END_REFUTED
    maximum_s = REFUTED_BACKOFF_MAX_S if is_refuted else ITEM_BACKOFF_MAX_S
    return min(ITEM_BACKOFF_MIN_S * 2**doublings, maximum_s)
