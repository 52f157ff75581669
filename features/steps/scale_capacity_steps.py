"""Steps on the capacity page and the measurements behind it."""

import copy
import importlib.util
from dataclasses import replace
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).parents[2]


def _generator():
    path = ROOT / "tools" / "generate_capacity_page.py"
    spec = importlib.util.spec_from_file_location("generate_capacity_page", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _committed():
    generator = _generator()
    return generator, generator.read_measurements(generator.FOLDER)


def _with_value(data, name, value):
    scale = copy.deepcopy(data.scale)
    kind = "exact" if name in scale["exact"] else "measured"
    scale[kind][name]["values"][-1] = value
    return replace(data, scale=scale)


@then("the capacity page is up to date with the committed measurements")
def page_up_to_date(context):
    generator, data = _committed()
    text = generator.PAGE.read_text()
    assert text.count("<!-- table: ") == len(generator.TABLES) + 1
    assert generator.fill(text, data) == text


@when("a committed measurement of the capacity page is changed in memory")
def change_measurement(context):
    _, data = _committed()
    context.capacity = _with_value(data, "in_force_max_s", 13.5)


@then("the capacity page would read differently")
def reads_differently(context):
    generator, _ = _committed()
    text = generator.PAGE.read_text()
    changed = generator.fill(text, context.capacity)
    assert changed != text
    assert "13.50 s | 12 s | **no**" in changed


@when("a node's bytes per second are measured as {value:g} in memory")
def measure_bytes(context, value):
    _, data = _committed()
    context.capacity = _with_value(data, "node_bytes_per_s", value)


@then('the capacity table "{table}" says "{verdict}" for "{what}"')
def table_says(context, table, verdict, what):
    generator, _ = _committed()
    rows = {row.what: row for row in generator.TABLES[table](context.capacity)}
    assert rows[what].fits == verdict, rows[what]
