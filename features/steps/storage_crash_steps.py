"""Steps that run random schedules of calls and crashes over a group's storage."""

from unittest import mock

from behave import then, when
from features.support.storage import (
    AckBeforeSyncMachine,
    CrashMachine,
    LyingFolderSyncMachine,
    LyingSyncMachine,
)
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

STEPS_PER_SCHEDULE = 25
SCHEDULES_TO_FIND_A_DEFECT = 100
VARIANTS = {
    "sync-lies": LyingSyncMachine,
    "ack-before-sync": AckBeforeSyncMachine,
    "no-checksum": CrashMachine,
    "no-folder-sync": LyingFolderSyncMachine,
}


def run_schedules(machine, schedules):
    """Run random schedules and return the violation, or None."""
    chosen = settings(
        derandomize=True,
        max_examples=schedules,
        stateful_step_count=STEPS_PER_SCHEDULE,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(machine, settings=chosen)
    except AssertionError as violation:
        return violation
    return None


@when("{schedules:d} random schedules of calls and crashes run on a group's storage")
def step_run(context, schedules):
    context.violation = run_schedules(CrashMachine, schedules)


@when('random schedules run on a group\'s storage with the defect "{defect}"')
def step_run_defect(context, defect):
    if defect == "no-checksum":
        with mock.patch("rainsail.storage.records.crc32c.crc32c", return_value=0):
            context.violation = run_schedules(VARIANTS[defect], SCHEDULES_TO_FIND_A_DEFECT)
        return
    context.violation = run_schedules(VARIANTS[defect], SCHEDULES_TO_FIND_A_DEFECT)


@then("the storage model check found no violation")
def step_clean(context):
    assert context.violation is None, context.violation


@then("the storage model check found a violation")
def step_caught(context):
    assert context.violation is not None, "the injected defect was not detected"
