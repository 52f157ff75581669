"""Steps of features/experiment/policies.feature."""

import json
import tempfile
from functools import lru_cache
from pathlib import Path

from behave import given, then, when

from rainsail.batch.interface import BatchRunnerView
from rainsail.batch.policies.preemptive import PreemptivePolicy
from rainsail.experiment.measures import OnlineRecord, RunRecord
from rainsail.experiment.policy_experiment import first_token_waits_s, policy_names, run_experiment
from rainsail.experiment.report import summary_line, write_report

SLOTS = 32


@given("a runner with {online:d} online requests and {batch:d} batch items")
def step_runner(context, online, batch):
    """Keep the counts."""
    context.policy_counts = online, batch


@when("{waiting:d} online prompt tokens wait and the batch weight is {weight:g}")
def step_decide(context, waiting, weight):
    """Ask the policy; the lagged report lies, and must not matter."""
    online, batch = context.policy_counts
    view = BatchRunnerView(
        slots=SLOTS,
        online_running=online,
        batch_running=batch,
        reported_running=99,
        reported_waiting=99,
        online_prefill_tokens=waiting,
    )
    context.policy_allows = PreemptivePolicy(weight).allowance(view).items


@then("the preemptive policy allows it {allowed:d} batch items")
def step_allows(context, allowed):
    """Compare."""
    assert context.policy_allows == allowed, context.policy_allows


@lru_cache
def _outcome(site, seconds, policies, run):
    return run_experiment(site, 1, seconds, policy_names(policies))


@when(
    "the experiment runs {seconds:g} s at {site} with the policies {one} and {other}, twice",
)
def step_twice(context, seconds, site, one, other):
    """Run the same experiment twice."""
    context.experiments = [_outcome(site, seconds, f"{one},{other}", run) for run in (1, 2)]


@then("both experiments print the same summary line")
def step_same(context):
    """Compare the lines."""
    first, second = (summary_line(each) for each in context.experiments)
    assert first == second


@then("the summary line of the experiment names none, {one} and {other}")
def step_named(context, one, other):
    """Read the line as a script would."""
    summary = json.loads(summary_line(context.experiments[0]))
    assert list(summary["policies"]) == ["none", one, other], summary
    assert summary["site"] == "taoyuan" and summary["seed"] == 1
    for figures in summary["policies"].values():
        assert list(figures) == [
            "batch_items_per_s",
            "batch_share_of_bound",
            "online_p50_s",
            "online_p99_s",
            "harm",
        ], figures
    assert summary["policies"]["none"]["harm"] == 1.0


@then("the {one} policy harms less than {other} and reaches half of the bound")
def step_harms_less(context, one, other):
    """Compare the outcomes; the bound is what the run without batch left over."""
    found = {each.policy: each for each in context.experiments[0].policies}
    assert found[one].harm < found[other].harm, found
    assert 0.5 < found[one].batch_share_of_bound <= 1.0, found[one]


@when("the experiment runs {seconds:g} s at {site} and its report is written")
def step_report(context, seconds, site):
    """Write the report into a folder of its own."""
    context.report_folder = Path(tempfile.mkdtemp())
    write_report(_outcome(site, seconds, "preemptive", 1), context.report_folder)


@then("the report folder has report.json, index.html and {count:d} plots named on the page")
def step_report_files(context, count):
    """Look at the folder and the page."""
    plots = sorted(context.report_folder.glob("*.png"))
    page = (context.report_folder / "index.html").read_text()
    assert len(plots) == count and all(each.name in page for each in plots)
    assert all(each.read_bytes().startswith(b"\x89PNG") for each in plots)
    figures = json.loads((context.report_folder / "report.json").read_text())
    assert list(figures["policies"]) == ["none", "preemptive"]


@given(
    "an experiment's record with a wait of {wait_s:g} s and one without an end "
    "sent {before_s:g} s before it"
)
def step_record(context, wait_s, before_s):
    """Make a record by hand."""
    record = RunRecord("shared_queue", 10.0, 100.0)
    record.online.append(OnlineRecord("question", 0, 20.0, 20.0 + wait_s, 21.0))
    record.online.append(OnlineRecord("question", 0, 100.0 - before_s))
    context.run_record = record


@then("the experiment's longest wait is {wait_s:g} s")
def step_longest(context, wait_s):
    """Compare."""
    assert max(first_token_waits_s(context.run_record)) == wait_s
