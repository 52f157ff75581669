"""Steps for the analysis of nodes' logs by the ``account`` command."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from behave import given, step, then, when

from rainsail.account.log_lines import SECONDS_PER_DAY, read_logs
from rainsail.account.report import Account
from rainsail.cli.main import main

LEADER = "storage-1"
ROUTE = "route-1"
PNG_SIGNATURE = b"\x89PNG"


def _time_of_day(second):
    second %= SECONDS_PER_DAY
    whole = int(second)
    return f"{whole // 3600:02}:{whole // 60 % 60:02}:{second % 60:06.3f}"


def _add(context, second, event, node=LEADER, **fields):
    line = {"at": _time_of_day(second), "event": event, "node": node, **fields}
    with context.log_path.open("a") as file:
        file.write(json.dumps(line) + "\n")


def _account(context, due_s=None, slots=None):
    return Account(read_logs([context.log_path]), due_s, slots)


@given('a log in which job "{job}" with items "{items}" is accepted at second {second:g}')
def make_log(context, job, items, second):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.log_path = Path(folder.name) / "nodes.log"
    context.job = job
    _add(context, second, "job_proposed", job=job, items=len(items.split()))


def _sent(context, item, runner, second, after_event=None):
    fields = {"job": context.job, "item": item, "runner": runner, "after_event": after_event}
    _add(context, second, "item_sent", **fields)


@when(
    'item "{item}" runs at "{runner}" from second {begin:g} to {end:g} '
    "and is preempted after event {last:d}"
)
def run_preempted(context, item, runner, begin, end, last):
    _sent(context, item, runner, begin)
    fields = {"job": context.job, "item": item, "runner": runner, "last_event": last}
    _add(context, end, "item_gave_way", **fields)


@when(
    'item "{item}" runs at "{runner}" from second {begin:g} to {end:g} after event {after:d} '
    "and ends"
)
def run_on(context, item, runner, begin, end, after):
    _sent(context, item, runner, begin, after)
    _add(context, end, "item_ended", job=context.job, item=item, runner=runner, done=True)


@when('item "{item}" runs at "{runner}" from second {begin:g} to {end:g} and ends')
def run_whole(context, item, runner, begin, end):
    run_on(context, item, runner, begin, end, None)


@when(
    'item "{item}" starts at "{runner}" at second {begin:g} '
    "and its leader logs its last line at second {last:g}"
)
def run_lost(context, item, runner, begin, last):
    _sent(context, item, runner, begin)
    _add(context, last, "table_taken")


@when("a new leader begins at second {second:g}")
def new_leader(context, second):
    _add(context, second, "ledger_leadership", node="storage-2", leads=True)


@when(
    'a request that took {took_ms:d} ms at "{runner}" ends at second {second:g} '
    "after a first event at {first_ms:d} ms"
)
def request_done(context, took_ms, runner, second, first_ms):
    fields = {"route": ROUTE, "runners": runner, "sends": 1, "reason": ""}
    times = {"took_ms": took_ms, "first_ms": first_ms}
    _add(context, second, "request_completed", node="gateway-1", **fields, **times)


@when('a request is refused at second {second:g} because of "{reason}"')
def request_refused(context, second, reason):
    fields = {"route": ROUTE, "runners": "", "sends": 0, "reason": reason, "took_ms": 1}
    _add(context, second, "request_refused", node="gateway-1", **fields)


@when("the log's last line is truncated")
def cut_off(context):
    _add(context, 19, "item_sent", item="a2")
    text = context.log_path.read_text()
    context.log_path.write_text(text[:-20])


@when("the log has the line {line}")
def raw_line(context, line):
    with context.log_path.open("a") as file:
        file.write(line + "\n")


def _item(context, name):
    return next(item for item in _account(context).items if item.item == name)


@then(
    'of item "{name}" {waiting:g} s are waiting, {running:g} s running '
    "and {cut:g} s waiting after preemptions"
)
def item_split(context, name, waiting, running, cut):
    item = _item(context, name)
    found = (item.waiting_s, item.running_s, sum(item.pauses_s(after_preemptions=True)))
    assert [round(value, 6) for value in found] == [waiting, running, cut], found


@step("{cuts:d} run was preempted, {moved:d} moved immediately and {again:d} events were repeated")
def preemption_counts(context, cuts, moved, again):
    found = _account(context).summary()["items"]
    counts = (found["cuts"], found["cuts_moved_at_once"], found["repeated_events"])
    assert counts == (cuts, moved, again), counts


@then("{lost:g} s were spent waiting after an interruption")
def lost_time(context, lost):
    assert _account(context).summary()["items"]["lost_and_waiting_s"] == lost


@then("with {due:g} s for a job and 1 slot {in_time:d} of at most {bound:d} item is in time")
def in_time_on_one_slot(context, due, in_time, bound):
    in_time_and_bound(context, due, 1, in_time, bound)


@then(
    "with {due:g} s for a job and {slots:d} slots {in_time:d} of at most {bound:d} items is in time"
)
def in_time_and_bound(context, due, slots, in_time, bound):
    found = _account(context, due_s=due, slots=float(slots)).summary()["items"]
    assert (found["in_time"], found["bound"]) == (in_time, bound), found


@then("in second {second:d} items take {items:g} and online work {online:g} slots")
def slots_taken(context, second, items, online):
    seconds = _account(context).summary()["seconds"]
    found = next(each for each in seconds if each["at"] == second)
    assert (found["items"], found["online"]) == (items, online), found


@then(
    "of the route's requests {completed:d} was completed "
    'and {refused:d} refused because of "{reason}"'
)
def route_counts(context, completed, refused, reason):
    route = _account(context).summary()["routes"][ROUTE]
    assert (route["completed"], route["refused"]) == (completed, refused), route
    assert route["reasons"] == {reason: refused}, route


def _command(*words):
    """Run the command line; return its exit code, output and error output."""
    output, errors = io.StringIO(), io.StringIO()
    code = 0
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        try:
            main(["account", *words])
        except SystemExit as end:
            code = end.code or 0
    return code, output.getvalue(), errors.getvalue()


@then("the command ends with code {code:d} and reports the damaged line {number:d}")
def damaged_line(context, code, number):
    context.command = _command(str(context.log_path), "--json")
    assert context.command[0] == code, context.command
    assert f"nodes.log:{number}: " in context.command[2], context.command[2]


@then("the command ends with code {code:d}")
def ends_with(context, code):
    assert _command(str(context.log_path))[0] == code


@then("it still reports {count:d} item that is done")
def still_reported(context, count):
    assert json.loads(context.command[1])["items"]["done"] == count


@then("the command on a missing file ends with code {code:d}")
def missing_file(context, code):
    assert _command(str(context.log_path) + ".none")[0] == code


@then("the command writes a PNG file")
def picture(context):
    path = context.log_path.with_suffix(".png")
    assert _command(str(context.log_path), "--slots=8", f"--plot={path}")[0] == 0
    assert path.read_bytes().startswith(PNG_SIGNATURE)
