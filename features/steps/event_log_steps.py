"""Steps of features/logs/event_log.feature."""

import json
import subprocess
import sys
import tempfile
from datetime import datetime, timedelta
from pathlib import Path

from behave import given, then, when

from rainsail.event_log import EventLog
from rainsail.logs import LogRing

UNHANDLED = """
from rainsail.event_log import configure_event_log
configure_event_log("node-1", "gateway")
from twisted.internet import reactor
from twisted.internet.defer import Deferred
def raise_late():
    raise ValueError("no such item")
def fail():
    Deferred().errback(ValueError("no such job"))
reactor.callLater(0, raise_late)
reactor.callLater(0, fail)
reactor.callLater(0.05, reactor.stop)
reactor.run()
"""

FATAL = """
import sys
from pathlib import Path
from rainsail.event_log import configure_event_log
from rainsail.logs import logger
configure_event_log("node-1", "storage", Path(sys.argv[1]))
logger.bind(job="a").info("job_proposed")
logger.bind(job="a").info("job_accepted")
logger.bind(fault="storage").error("fatal")
"""


class _Message:
    """The part of a loguru message that a sink reads."""

    def __init__(self, event, elapsed_s):
        class Level:
            name = "INFO"

        self.record = {
            "time": datetime(2026, 1, 1),
            "level": Level,
            "message": event,
            "elapsed": timedelta(seconds=elapsed_s),
            "extra": {"item": "item-1"},
            "exception": None,
            "name": "test",
        }


@given("an event log with a limit of {lines:d} lines per second and a ring")
def make_log(context, lines):
    context.written = []
    context.ring = LogRing()
    context.log = EventLog(
        "node-1", "storage", lines_per_s=lines, put=context.written.append, ring=context.ring
    )


@given("an event log whose reader has stalled")
def make_stalled(context):
    def put(line):
        raise BlockingIOError

    context.written = []
    context.ring = LogRing()
    context.log = EventLog("node-1", "storage", put=put, ring=context.ring)


@when('{count:d} events "{event}" and one event "{other}" are logged within a second')
def events_come(context, count, event, other):
    for _ in range(count):
        context.log.write(_Message(event, 1.5))
    context.log.write(_Message(other, 1.6))


@then("{count:d} lines are written, and the ring holds all {total:d}")
def lines_written(context, count, total):
    assert len(context.written) == count, context.written
    assert len(context.ring.lines()) == total


@when('an event "{event}" is logged a second later')
def event_later(context, event):
    context.log.write(_Message(event, 2.5))


@then("its line says that {count:d} were left out")
def says_left_out(context, count):
    assert json.loads(context.written[-1])["left_out"] == count, context.written[-1]


@then("no line is written, {count:d} are counted as lost, and the ring holds all {total:d}")
def none_written(context, count, total):
    assert context.written == []
    assert context.log.lines_lost == count
    assert len(context.ring.lines()) == total


def _run(program, *arguments):
    return subprocess.run(
        [sys.executable, "-c", program, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )


@when('a daemon\'s timer raises "no such item" and a Deferred fails with "no such job" unhandled')
def run_unhandled(context):
    context.run = _run(UNHANDLED)


@then('its standard output has a line "unhandled_error" for each, with its traceback')
def unhandled_lines(context):
    lines = [json.loads(line) for line in context.run.stdout.splitlines()]
    found = [line for line in lines if line["event"] == "unhandled_error"]
    assert sorted(line["error"] for line in found) == [
        "ValueError: no such item",
        "ValueError: no such job",
    ], lines
    raised = next(line for line in found if "item" in line["error"])
    assert "raise_late" in raised["traceback"], raised
    assert all(line["node"] == "node-1" for line in found)


@then("nothing is on its standard error")
def stderr_empty(context):
    assert context.run.stderr == "", context.run.stderr


@when("a daemon logs 2 events and then a fatal one")
def run_fatal(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.run = _run(FATAL, folder.name)


@then("the data folder holds a dump of those 3 events")
def dump_holds(context):
    (dump,) = (context.folder / "logs").iterdir()
    head, *lines = [json.loads(line) for line in dump.read_text().splitlines()]
    assert head["records"] == 3, head
    assert [line["event"] for line in lines] == ["job_proposed", "job_accepted", "fatal"], lines
