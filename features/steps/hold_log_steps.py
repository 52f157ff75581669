"""Steps on what the logs of controllers tell of holds."""

from behave import then

from rainsail.quarantine.trial_status import TrialStatus


def _lines(context, event):
    return [extra for _, name, extra in context.log_records if name == event]


@then("each line on a hold tells whether it has a trial, the reason, and how many requests crashed")
def holds_told(context):
    lines = _lines(context, "quarantine_held")
    assert lines
    for line in lines:
        assert line["trial"] == ("yes" if TrialStatus(line["reason"]).has_trial else "no"), line
        assert isinstance(line["requests"], int) and line["requests"] >= 1, line


@then('the last hold has no trial, since "{reason}"')
def last_hold_told(context, reason):
    line = _lines(context, "quarantine_held")[-1]
    assert (line["trial"], line["reason"]) == ("no", reason), line


@then("each line on a release tells for how long it was held")
def releases_told(context):
    for line in _lines(context, "quarantine_released"):
        assert isinstance(line["held_ms"], int) and line["held_ms"] >= 0, line
