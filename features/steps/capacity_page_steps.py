"""Steps on the tool that fills the capacity page from a sweep."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when
from features.support.tool_module import load_tool

REPORT = """sweep-30              32/302   0.83  0.826  0.992   0.000  0.009  nines 0.68

middle / busiest or longest, by own machines
                                                          10              30  power  at 422
controller: processor %                            4.2 / 5.4       6.9 / 7.4   0.29  15.8
config acked, ms                                  16.0 / 307      15.0 / 255  -0.17  255
power: the busiest grows as machines to this power
"""
HEAD = "10              30  power  at 422"


TOOL = load_tool("capacity_page")


@then("the committed capacity page agrees with its entry")
def page_agrees(context):
    assert TOOL.capacity_page(check=True) == 0


@given("a sweep's report")
def report(context):
    context.sweep = TOOL.read_report(REPORT)


@then("it has sizes {first:d} and {second:d} and leads to {target:d}")
def has_sizes(context, first, second, target):
    assert context.sweep.sizes == (first, second) and context.sweep.target == target


@then(
    'the row "{quantity}" of "{role}" is {first:g} and {second:g} at the busiest'
    " and {at_target:g} at 422"
)
def has_row(context, quantity, role, first, second, at_target):
    (row,) = [r for r in context.sweep.rows if (r.role, r.quantity) == (role, quantity)]
    assert row.busiest == (first, second) and row.at_target == at_target, row


@then("its table has 2 more lines than rows")
def table_lines(context):
    lines = TOOL.table_text(context.sweep).splitlines()
    assert len(lines) == len(context.sweep.rows) + 2
    assert len({line.count("|") for line in lines}) == 1


@when("the table is put into a page with another")
def put_in(context):
    page = "text\n<!-- sweep: journal/old.json -->\nold table\n<!-- end -->\nmore\n"
    context.page = TOOL.filled(page, "journal/new.json", context.sweep)


@then("the page names the new entry and has the new table alone")
def new_alone(context):
    table = TOOL.table_text(context.sweep)
    wanted = f"text\n<!-- sweep: journal/new.json -->\n{table}<!-- end -->\nmore\n"
    assert context.page == wanted, context.page


def _entry(spoiled):
    entry = {"cmd": "sweep", "digest": REPORT}
    match spoiled:
        case "of another command":
            entry["cmd"] = "score"
        case "without a table":
            entry["digest"] = "the day was given up"
        case "with an unknown head":
            entry["digest"] = REPORT.replace(HEAD, "ten thirty")
        case "with a row cut short":
            entry["digest"] = REPORT[: REPORT.index("5.4")]
        case "with a word for value":
            entry["digest"] = REPORT.replace("4.2 / 5.4", "little")
    text = json.dumps(entry)
    return text[:-10] if spoiled == "cut short" else text


@given("a journal entry that is {spoiled}")
def spoiled_entry(context, spoiled):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "entry.json"
        if spoiled != "not there":
            path.write_text(_entry(spoiled))
        context.read = TOOL.read_entry(path)


@then('reading it for the capacity page fails, naming the file and "{word}"')
def reading_fails(context, word):
    detail = context.read.error.detail
    assert "entry.json" in detail and word in detail, detail
