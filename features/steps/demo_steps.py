"""Steps on the demonstration: killed and started again, its judgement, its journal."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when
from features.support.command_line import rainsail_here
from features.support.demo import DemoHistory, DemoProcess, write_journal

from rainsail.demo.journal import LOCK_NAME, AcceptedJournal
from rainsail.demo.outcome import judge


def _fresh_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


@given("a demonstration process that runs on a fresh data folder")
def start_demo(context):
    context.demo_folder = _fresh_folder(context)
    context.demo = DemoProcess(context.demo_folder, 30)


@when("the demonstration has noted accepted jobs and is killed by SIGKILL")
def kill_demo(context):
    context.demo.wait_for_noted_jobs()
    context.demo.kill()
    context.noted_items = context.demo.noted_items()


@when("the demonstration is started again on its data folder for {seconds:d} seconds")
def start_demo_again(context, seconds):
    context.demo_end = DemoProcess(context.demo_folder, seconds).finish()


@then("the demonstration exits with {code:d}")
def demo_exits(context, code):
    assert context.demo_end[0] == code, context.demo_end


@then("the demonstration's last line counts the items noted before the kill as earlier items")
def earlier_items(context):
    context.demo_line = json.loads(context.demo_end[1].splitlines()[-1])
    assert context.noted_items > 0
    assert context.demo_line["earlier_items"] == context.noted_items, context.demo_line
    assert context.demo_line["accepted_items"] > context.noted_items, context.demo_line


@then("the demonstration's last line says that nothing was lost, duplicated or broken")
def nothing_broken(context):
    line = context.demo_line
    assert line["completed_items"] == line["accepted_items"], line
    assert line["online_requests"] > 0, line
    for count in ("lost", "duplicated", "broken_answers", "drained_engine_late_sends"):
        assert line[count] == 0, line
    assert line["site"] == "guayaquil" and line["violations"] == [], line


@given("a demonstration history of {items:d} accepted items and {requests:d} online requests")
def demo_history(context, items, requests):
    context.demo_history = DemoHistory(items, requests)


@given("in the demonstration history {breach}")
def spoil_history(context, breach):
    context.demo_history.spoil(breach)


def _judgement(context):
    return judge(context.demo_history.history(), "guayaquil", 1, frozenset(), "")


@then("the demonstration's judgement is clean")
def judged_clean(context):
    assert _judgement(context).clean, _judgement(context)


@then("the demonstration's judgement is not clean")
def judged_not_clean(context):
    assert not _judgement(context).clean, _judgement(context)


@then(
    "the demonstration's judgement counts {accepted:d} accepted_items, "
    "{completed:d} completed_items and {requests:d} online_requests"
)
def judged_counts(context, accepted, completed, requests):
    judgement = _judgement(context)
    counts = judgement.accepted_items, judgement.completed_items, judgement.online_requests
    assert counts == (accepted, completed, requests), judgement


@then("the demonstration's judgement counts {count:d} {field:w}")
def judged_count(context, count, field):
    assert getattr(_judgement(context), field) == count, _judgement(context)


@given("a demonstration journal with {jobs:d} noted job")
@given("a demonstration journal with {jobs:d} noted jobs")
def demo_journal(context, jobs):
    context.demo_folder = _fresh_folder(context)
    context.demo_journal = write_journal(context.demo_folder, jobs)


@when("the end of the demonstration journal is cut off by {count:d} bytes")
def cut_journal(context, count):
    content = context.demo_journal.read_bytes()
    context.demo_journal.write_bytes(content[:-count])


@when("line {number:d} of the demonstration journal is damaged")
def damage_journal(context, number):
    lines = context.demo_journal.read_bytes().splitlines(keepends=True)
    lines[number - 1] = b"{" + lines[number - 1]
    context.demo_journal.write_bytes(b"".join(lines))


@then("the demonstration journal reads {jobs:d} earlier job as start {run:d}")
def journal_reads(context, jobs, run):
    journal = AcceptedJournal(context.demo_folder)
    assert journal.open().is_ok()
    journal.close()
    assert (len(journal.earlier_jobs), journal.run) == (jobs, run)


@when("the demonstration journal is held open")
def hold_journal(context):
    held = AcceptedJournal(context.demo_folder)
    assert held.open().is_ok()
    context.add_cleanup(held.close)


@when("rainsail demo is run on the demonstration journal's folder")
def run_on_journal(context):
    context.cli_run = rainsail_here(["demo", f"--data={context.demo_folder}", "--seconds=2"])


@then('its stderr says "{words}"')
def stderr_says(context, words):
    assert words in context.cli_run.stderr, context.cli_run


@then('rainsail\'s stderr names the demonstration journal and "{words}"')
def names_journal(context, words):
    assert str(context.demo_journal) in context.cli_run.stderr, context.cli_run
    assert words in context.cli_run.stderr, context.cli_run


@then("rainsail's stderr names the demonstration journal's folder and \"{words}\"")
def names_folder(context, words):
    assert str(context.demo_folder) in context.cli_run.stderr, context.cli_run
    assert words in context.cli_run.stderr, context.cli_run


@then("nothing but the demonstration journal and its lock is in the folder")
def only_journal(context):
    names = sorted(path.name for path in context.demo_folder.iterdir())
    assert names == sorted([context.demo_journal.name, LOCK_NAME]), names
