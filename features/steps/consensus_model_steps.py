"""Steps on the randomised model check of the consensus core."""

import json

from behave import given, then, when
from features.support.command_line import rainsail_here

from rainsail.consensus import election
from rainsail.consensus.model_check import run_model_check


@given("a consensus core that ignores a live leader's lease when it is in the candidate's term")
def ignore_lease_in_own_term(context):
    """Remove the check of the leader's lease for votes in the member's own term."""
    original = election.may_still_vote
    election.may_still_vote = lambda state, message, now: state.voted_for in ("", message.sender)
    context.add_cleanup(setattr, election, "may_still_vote", original)


@when("the model check runs {count:d} schedules from seed {seed:d}")
def run_all(context, count, seed):
    """Run every schedule."""
    context.model_check = run_model_check(count, seed)
    assert context.model_check.schedules == count


@when("the model check runs up to {count:d} schedules from seed {seed:d}")
def run_up_to(context, count, seed):
    """Stop at the first violation."""
    context.model_check = run_model_check(count, seed, stop_at_first=True)


@then("the model check finds no violation")
def nothing_found(context):
    """Check that every property held."""
    assert not context.model_check.violations, context.model_check.violations


@then("the model check has reached at least:")
def reached(context):
    """Check that the schedules covered the events of interest often enough."""
    coverage = context.model_check.coverage
    found = {row["what"]: getattr(coverage, row["what"]) for row in context.table}
    short = [row["what"] for row in context.table if found[row["what"]] < int(row["times"])]
    assert not short, {name: found[name] for name in short}


@then('the model check finds a violation of "{name}"')
def found_violation(context, name):
    """Check the property of the violation at which the model check stopped."""
    (violation,) = context.model_check.violations
    assert violation.property == name, violation


@then("the model check finds it again from the violation's own seed")
def found_again(context):
    """Check that a schedule depends only on its own seed."""
    (violation,) = context.model_check.violations
    assert run_model_check(1, violation.seed).violations == [violation]


@when('"rainsail check consensus --schedules {count:d} --seed {seed:d} {option}" is run')
def run_command(context, count, seed, option):
    """Run the command with an option."""
    arguments = ["check", "consensus", "--schedules", str(count), "--seed", str(seed)]
    context.model_command = rainsail_here([*arguments, *option.split()])


@when('"rainsail check consensus --schedules {count:d} --seed {seed:d} " is run')
def run_plain_command(context, count, seed):
    """Run the command without an option."""
    run_command(context, count, seed, "")


@then("the model check's command ends with exit code {code:d} and one JSON object as last line")
def command_ends(context, code):
    """Check the exit code and the report; bad input gives a message that names the flag instead."""
    finished = context.model_command
    assert finished.code == code, finished
    if code == 2:
        assert "--defect" in finished.stderr, finished.stderr
        return
    report = json.loads(finished.stdout.splitlines()[-1])
    assert (report["violation_count"] > 0) == (code == 3), report
    assert report["schedules"] == 30
