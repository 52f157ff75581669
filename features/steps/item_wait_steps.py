"""Steps on what logs, metrics and ``rainsail story`` tell about items that wait."""

import contextlib
import io
import json
import tempfile
from collections import Counter
from pathlib import Path

from behave import given, then, when
from features.support.relayed_fleet import RelayedFleet

from rainsail.cli.story import entries_of, reason_of_wait, story
from rainsail.logs import logger

IN_QUARANTINE = ("held", "trial")
ITEM = "item-1"
ROUND_S = 0.06
"""Longer than the time between two rounds of the dispatcher."""


@given("the fleet's log is kept")
def keep_log(context):
    context.log_records = []

    def keep(message):
        at_s = context.fleet.clock.seconds()
        context.log_records.append((at_s, message.record["message"], message.record["extra"]))

    sink = logger.add(keep, level="INFO")
    context.add_cleanup(logger.remove, sink)


def _lines(context, event):
    return [extra for _, name, extra in context.log_records if name == event]


def _in_quarantine(fleet: RelayedFleet) -> set[str]:
    """Return the items that the ledger's leader keeps waiting for the quarantine."""
    role = fleet.nodes[fleet.leader("storage")].role
    return {
        role.state.jobs[item.job].items[item.index].item
        for item in role.dispatcher._state.waiting.requeued_items
        if item.wait is not None and item.wait.cause.value in IN_QUARANTINE
    }


def _last_waits(context) -> dict[str, dict]:
    """Return the last line of each item that waits."""
    last = {}
    for _, name, extra in context.log_records:
        if name == "item_waits":
            last[extra["item"]] = extra
        elif name in ("item_sent", "item_ended"):
            last.pop(extra["item"], None)
    return last


@when("time goes by until an item waits in quarantine")
def run_until_waits(context):
    fleet = context.fleet
    fleet.run_until(lambda: bool(_in_quarantine(fleet)), "an item in quarantine")
    fleet.run_for(ROUND_S)


@then("the log has for each item in quarantine that it waits, and by which entry")
def log_has_waits(context):
    fleet = context.fleet
    waits = _last_waits(context)
    assert set(waits) == _in_quarantine(fleet) != set(), (_in_quarantine(fleet), waits)
    known = {each.fingerprint.hex() for each in fleet.decided().requests}
    for wait in waits.values():
        assert wait["cause"] in IN_QUARANTINE and wait["entry"] in known, (wait, known)
        assert wait["asked"] >= wait["refused"] + wait["granted"] >= 0, wait
        assert wait["granted"] >= wait["unused"] >= 0, wait


def _gauge(context, name: str) -> float:
    fleet = context.fleet
    page = fleet.nodes[fleet.leader("storage")].base.metrics.exposition().decode()
    lines = [line for line in page.splitlines() if line.startswith(f"rainsail_{name} ")]
    assert len(lines) == 1, (name, lines)
    return float(lines[0].split()[1])


@then("the ledger's leader shows as many items in quarantine")
def gauge_shows_waits(context):
    held = _gauge(context, "items_waiting_in_quarantine")
    on_trial = _gauge(context, "items_waiting_for_trial")
    assert held + on_trial == len(_in_quarantine(context.fleet)), (held, on_trial)


@then("the ledger's leader shows the revision of the list that it applies")
def gauge_shows_revision(context):
    assert _gauge(context, "quarantine_revision") == context.fleet.decided().revision > 0


@then("the story of such an item has the hold of its entry, and ends with why it waits")
def story_tells(context):
    item, wait = sorted(_last_waits(context).items())[0]
    told = _story(context, item)
    held = [line for line in told if "quarantine_held" in line and wait["entry"] in line]
    assert held, told
    others = [line for line in told if "item_waits" in line and f"item={item} " not in line]
    assert not others, others
    assert told[-1].startswith(f"{item} waits since "), told[-1]
    assert told[-1].endswith(f": {wait['cause']} by {wait['entry']}"), told[-1]


def _story(context, identifier: str) -> list[str]:
    lines = [
        json.dumps({"at": f"{at_s:012.3f}", "event": name, **extra}, default=str)
        for at_s, name, extra in context.log_records
    ]
    printed = io.StringIO()
    with tempfile.TemporaryDirectory() as folder, contextlib.redirect_stdout(printed):
        path = Path(folder) / "node.log"
        path.write_text("\n".join(lines) + "\n")
        story(identifier, str(path))
    return printed.getvalue().splitlines()


@then("the log has the runner of each item's trial, and what ran beside it")
def log_has_trials(context):
    trials = [each for each in _lines(context, "item_sent") if "trial_of" in each]
    assert trials
    for each in trials:
        assert each["runner"] and each["trial_of"], each
        assert each["items_beside"] >= 0 and each["online_beside"] >= 0, each
        assert each["runner_known_ms"] >= 0, each
    sent: dict[str, dict] = {}
    for _, name, line in context.log_records:
        if name == "item_sent":
            sent[line["item"]] = line
        elif name == "item_run_ended":
            assert line.get("trial_of") == sent[line["item"]].get("trial_of"), line


@then("the log has at most {most:d} line on the wait of an item for each change of its entry")
def few_lines(context, most):
    changes = sum(
        len(_lines(context, event)) for event in ("quarantine_held", "quarantine_released")
    )
    lines = Counter(each["item"] for each in _lines(context, "item_waits"))
    assert lines and max(lines.values()) <= most * changes, (lines, changes)


@then("the log names what was running at each crash")
def crash_names(context):
    ends = [each for each in _lines(context, "runner_ended") if each["requests"]]
    assert ends
    for each in ends:
        assert len(each["fingerprints"].split(",")) == each["requests"], each


def _events(events):
    return [
        {"at": str(number), "event": event, "item": ITEM, "cause": "trial", "entry": "0a"}
        for number, event in enumerate(events.split(), start=1)
    ]


@then('the story of an item with the events "{events}" ends with "{end}"')
def story_ends(context, events, end):
    assert reason_of_wait(_events(events), ITEM) == end
    waits = "item_waits" in events
    assert entries_of(_events(events), ITEM) == (("0a",) if waits else ())


@then('the story of an item with the events "{events}" names no wait')
def story_ends_without(context, events):
    assert reason_of_wait(_events(events), ITEM) == ""
