"""Steps on random courses of a fleet with fatal bodies, in virtual time."""

from unittest import mock

from behave import given, then, when
from features.support.quarantine_soak import QuarantineSoak

from rainsail.quarantine.agent import QuarantineAgent
from rainsail.quarantine.suspects import SuspectTracker

DEFECTS = {
    "nobody tells controllers what ended a runner": (
        QuarantineAgent,
        "_report",
        lambda agent, inquiry: None,
    ),
    "answers clear nobody": (SuspectTracker, "answered", lambda book, fingerprint, now: None),
    "held requests are sent all the same": (
        QuarantineAgent,
        "holds",
        lambda agent, fingerprint: False,
    ),
}


def _play(seed):
    soak = QuarantineSoak(seed)
    soak.run()
    return soak


@given("a fleet in which {defect}")
def make_defect(context, defect):
    owner, name, replacement = DEFECTS[defect]
    patch = mock.patch.object(owner, name, replacement)
    patch.start()
    context.add_cleanup(patch.stop)


@when("the course of seed {seed:d} is played")
def play(context, seed):
    context.soaks = [_play(seed)]


@when("the courses of seeds {seeds} are played")
def play_some(context, seeds):
    context.soaks = [_play(int(seed)) for seed in seeds.replace(" and ", ", ").split(", ")]


@then("nothing was broken, and a fatal body was judged")
def nothing_broken(context):
    (soak,) = context.soaks
    assert not soak.violations, soak.violations
    assert soak.counts["fatal bodies judged"], soak.counts


@then("something was broken")
def broken(context):
    assert any(soak.violations for soak in context.soaks)
