"""Steps on the soak test of the relay."""

from behave import given, then, when
from features.support.relay_soak.defects import DEFECTS
from features.support.relay_soak.soak import RelaySoak

LEAST_STREAMS = 50
LEAST_TAKEN_UP = 20
LEAST_FAILED = 3


@given("a relay that {defect}")
def with_relay_defect(context, defect):
    context.relay_defect = DEFECTS[defect]


@when("its clients meet such runners, drawn from seed {seed:d}, with the defect and without it")
def run_relay_soaks(context, seed):
    _run_defective_and_sound(context, seed, seed, pauses=False)


@when(
    "its clients meet runners that pause, drawn from each of the seeds {first:d} to {last:d}, "
    "with the defect and without it"
)
def run_relay_soaks_of_pauses(context, first, last):
    _run_defective_and_sound(context, first, last, pauses=True)


def _run_defective_and_sound(context, first, last, pauses):
    """Run each seed with the defect and without it, and collect the violations."""
    context.defective_violations, context.sound_violations = [], []
    for seed in range(first, last + 1):
        defective = RelaySoak(seed, spoils_beginnings=False, pauses=pauses)
        with context.relay_defect.in_place():
            defective.run()
        sound = RelaySoak(seed, spoils_beginnings=False, pauses=pauses)
        sound.run()
        context.defective_violations += defective.violations
        context.sound_violations += sound.violations


@when("clients of a relay meet runners that also pause, drawn from seed {seed:d}")
def run_relay_soak_of_pauses(context, seed):
    context.relay_soak = RelaySoak(seed, spoils_beginnings=False, pauses=True)
    context.relay_soak.run()


@when("clients of a relay meet such runners, drawn from seed {seed:d}")
def run_relay_soak(context, seed):
    context.relay_soak = RelaySoak(seed, spoils_beginnings=False)
    context.relay_soak.run()


@when(
    "clients of a relay meet runners that also corrupt beginnings, "
    "drawn from each of the seeds {first:d} to {last:d}"
)
def run_relay_soaks_of_beginnings(context, first, last):
    context.relay_soaks = [RelaySoak(seed) for seed in range(first, last + 1)]
    for soak in context.relay_soaks:
        soak.run()


@when(
    "clients on {connections:d} connections meet runners that also corrupt beginnings, "
    "drawn from seed {seed:d}"
)
def run_relay_soak_of_few_clients(context, connections, seed):
    context.relay_soak = RelaySoak(seed, connections=connections)
    context.relay_soak.run()


@then("no guarantee of any of these relays was violated")
def no_promise_of_any_broken(context):
    for soak in context.relay_soaks:
        context.relay_soak = soak
        no_promise_broken(context)
        work_was_done(context)


@then("no guarantee of the relay was violated")
def no_promise_broken(context):
    violations = context.relay_soak.violations
    assert not violations, "\n".join(violations)


@then("streams were served, resumed at other runners, and met failures there")
def work_was_done(context):
    counts = context.relay_soak.counts
    assert counts["served_stream"] >= LEAST_STREAMS, counts
    assert counts["taken_up"] >= LEAST_TAKEN_UP, counts
    assert counts["taken_up_and_failed"] >= LEAST_FAILED, counts


@then("the check on this defect finds it, and finds nothing without it")
def defect_found(context):
    words = context.relay_defect.words
    found = context.defective_violations
    assert any(words in each for each in found), found
    found = context.sound_violations
    assert not any(words in each for each in found), found
