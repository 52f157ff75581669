"""Steps that judge stated outcomes over hand-made histories."""

from behave import then, when
from features.support.replay import judged

from rainsail.experiment.replay.judge import Verdict


@when('the outcome "{stated}" is judged over a replay with "{flaw}" wrong')
def step_judged(context, stated, flaw):
    context.judgement = judged(stated, flaw)


@when('the outcome "{stated}" is judged without sight of the engines')
def step_unseen(context, stated):
    context.judgement = judged(stated, "nothing", engines_seen=False)


@then("the judgement is held")
def step_held(context):
    assert context.judgement.verdict == Verdict.HELD, context.judgement
    assert context.judgement.selected > 0 and not context.judgement.offending


@then('the judgement is broken by "{offending}"')
def step_broken(context, offending):
    assert context.judgement.verdict == Verdict.BROKEN, context.judgement
    assert ",".join(context.judgement.offending) == offending, context.judgement


@then('the judgement is broken because "{detail}"')
def step_broken_because(context, detail):
    assert context.judgement.verdict == Verdict.BROKEN, context.judgement
    assert context.judgement.detail == detail, context.judgement


@then("the judgement is not observed")
def step_not_observed(context):
    assert context.judgement.verdict == Verdict.NOT_OBSERVED, context.judgement
