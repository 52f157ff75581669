"""Steps for random runs of a fleet with fatal bodies, in virtual time."""

from unittest import mock

from behave import given, then, when
from features.support.common_cause_soak import CommonCauseSoak
from features.support.part_soak import PartSoak
from features.support.quarantine_soak import QuarantineSoak
from features.support.trial_crash_soak import TrialCrashSoak

from rainsail.quarantine.agent import QuarantineAgent
from rainsail.quarantine.control import QuarantineControl

DEFECTS = {
    "no node reports crashes to controllers": (
        QuarantineAgent,
        "_report",
        lambda agent, check: None,
    ),
    "responses clear no suspect": (
        QuarantineControl,
        "_on_answered",
        lambda control, source, message: None,
    ),
    "held requests are sent nevertheless": (
        QuarantineAgent,
        "held_among",
        lambda agent, fingerprints: None,
    ),
}


def _play(seed, kind=QuarantineSoak):
    soak = kind(seed)
    soak.run()
    return soak


@given("a fleet in which {defect}")
def make_defect(context, defect):
    owner, name, replacement = DEFECTS[defect]
    patch = mock.patch.object(owner, name, replacement)
    patch.start()
    context.add_cleanup(patch.stop)


@when("a random run with seed {seed:d} is made")
def play(context, seed):
    context.soaks = [_play(seed)]


@when("random runs with seeds {seeds} are made")
def play_some(context, seeds):
    context.soaks = [_play(int(seed)) for seed in seeds.replace(" and ", ", ").split(", ")]


@when("a random run with crashes in series and during trials, seed {seed:d}, is made")
def play_trial_crashes(context, seed):
    context.soaks = [_play(seed, TrialCrashSoak)]


@when("a random run with fatal prompt parts and seed {seed:d} is made")
def play_parts(context, seed):
    context.soaks = [_play(seed, PartSoak)]


@when("random runs with fatal prompt parts and seeds {seeds} are made")
def play_some_parts(context, seeds):
    numbers = seeds.replace(" and ", ", ").split(", ")
    context.soaks = [_play(int(seed), PartSoak) for seed in numbers]


@when("a random run with crashes of several runners and seed {seed:d} is made")
def play_common_cause(context, seed):
    context.soaks = [_play(seed, CommonCauseSoak)]


@then("no guarantee was broken")
def none_broken(context):
    (soak,) = context.soaks
    assert not soak.violations and soak.counts["jobs accepted"], soak.violations


@then("no guarantee was broken, and a fatal part was checked")
def no_part_broken(context):
    (soak,) = context.soaks
    assert not soak.violations, soak.violations
    assert soak.counts["fatal parts judged"], soak.counts


@then("no guarantee was broken, and a fatal body was checked")
def nothing_broken(context):
    (soak,) = context.soaks
    assert not soak.violations, soak.violations
    assert soak.counts["fatal bodies judged"], soak.counts


@then("a guarantee was broken")
def broken(context):
    assert any(soak.violations for soak in context.soaks)
