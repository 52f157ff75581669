"""Steps on what a node knows of the times in which it may have missed reports."""

from dataclasses import replace

from behave import given, then, when
from features.support.relaying import runner_record

from rainsail.cluster.registry import RunnerRegistry
from rainsail.cluster.report_coverage import ReportCoverage

BORN = 1_000
SENT_S = 2.5


def _play(coverage, answers):
    """Play answers like ``a1@0``: controller ``a`` in its first life at 0; return the last time."""
    now = 0.0
    for answer in answers.split():
        who, _, at_s = answer.partition("@")
        now = float(at_s)
        if who != "now":
            coverage.answered(who[0], int(who[1:]), now)
    return now


@given("a node whose controllers have answered at {answers}")
def answered(context, answers):
    context.coverage = ReportCoverage()
    context.now = _play(context.coverage, answers)


@when("both controllers do not answer its next heartbeats")
def fail(context):
    for controller in ("a", "b"):
        context.coverage.failed(controller)
    context.now += 1.0


@then("reports may have been missed at {moment:g}: {missed}")
def may_be_missed(context, moment, missed):
    now = max(context.now, moment)
    assert context.coverage.is_missed(moment, now) == (missed == "yes"), context.coverage


@given("a registry with a runner of version v1, and a gap in what controllers passed on")
def registry_with_gap(context):
    context.clock_s = 0.0
    context.registry = RunnerRegistry(lambda: context.clock_s)
    context.record = replace(runner_record(1), born=BORN)
    context.registry.take((context.record,))
    _play(context.registry.coverage, "a1@0 a1@1 a2@3 a2@4")
    context.clock_s = 4.0


@then("the version of a run that was sent in the gap is not known")
def not_known(context):
    assert not context.registry.is_version_confirmed(context.record, SENT_S)


@then("the version of a run that was sent in the gap is known")
def known(context):
    assert context.registry.is_version_confirmed(context.record, SENT_S)


@when("the same process of the runner has reported again")
def reported(context):
    context.registry.take((replace(context.record, sequence=2),))


@when("another process of the runner has reported")
def other_reported(context):
    context.registry.take((replace(context.record, born=BORN + 1),))
