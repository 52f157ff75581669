"""Steps of features/settings/settings.feature."""

import importlib.util
import os
from collections import Counter
from unittest import mock

from behave import given, then, when
from features.support.command_line import ROOT, rainsail, rainsail_here
from features.support.wire import derandomized, temporary_folder
from hypothesis import given as for_each
from hypothesis import seed
from hypothesis import strategies as st

from rainsail.cli.job_files import read_job
from rainsail.cli.resource_files import read_resources
from rainsail.settings.load import load_settings
from rainsail.settings.model import ProcessSettings

EXAMPLES = ROOT / "examples"
BASE = EXAMPLES / "guayaquil" / "fleet.toml"


@when('rainsail is run with "{line}"')
def step_run(context, line):
    context.cli_run = rainsail_here(line.split())


@then("rainsail exits with {code:d}")
def step_exits(context, code):
    assert context.cli_run.code == code, context.cli_run


@then("the example fleets have these settings counts")
def step_counts(context):
    for row in context.table:
        loaded = load_settings(EXAMPLES / row["site"] / "fleet.toml")
        assert loaded.is_ok(), loaded
        fleet = loaded.ok
        per_zone = Counter(entry.zone for entry in fleet.replicas)
        engines = Counter(entry.service for entry in fleet.engines)
        assert len({entry.zone for entry in fleet.engines}) == int(row["zones"])
        assert len(fleet.replicas) == int(row["replicas"])
        assert "+".join(str(count) for count in per_zone.values()) == row["per zone"]
        assert len({entry.zone for entry in fleet.gateways}) == int(row["gateways"])
        counted = ", ".join(f"{service} {count}" for service, count in engines.items())
        assert counted == row["engines"], counted


@then("every example file of resources and jobs is accepted by its reader")
def step_examples_valid(context):
    resources = sorted(EXAMPLES.glob("*/resources.toml"))
    jobs = sorted(EXAMPLES.glob("*/*job.toml"))
    assert len(resources) == 2 and len(jobs) == 2, (resources, jobs)
    for path in resources:
        runners = {each.spec["address"] for each in read_resources(path) if each.kind == "Runner"}
        fleet = load_settings(path.parent / "fleet.toml").ok
        assert runners == {f"http://{entry.address}" for entry in fleet.engines}, path
    for path in jobs:
        assert read_job(path)["items"]


@given("the settings file of an example with {change}")
def step_changed(context, change):
    context.settings_folder = temporary_folder(context)
    context.settings_file = context.settings_folder / "settings.toml"
    context.settings_file.write_bytes(_changed(BASE.read_text(), change))


def _changed(text, change):
    if change == "two replicas of one name":
        return text.replace('name = "replica-2"', 'name = "replica-1"').encode()
    if change == "the table process removed":
        return ("[addresses]" + text.split("[addresses]", 1)[1]).encode()
    if change == "a byte that is not UTF-8":
        return b"# \xff\n" + text.encode()
    if change.startswith("the line"):
        return text.replace('zone = "gye-a"', change.split('"')[1], 1).encode()
    if change.startswith("the key"):
        key_path = change.split()[2]
        return _with_key(text, key_path, "1").encode()
    key_path, _, value = change.partition(" set to ")
    return _with_key(text, key_path, value).encode()


def _with_key(text, key_path, value):
    """Return the TOML with one key of one table set."""
    table, _, key = key_path.partition(".")
    lines = text.split("\n")
    if f"[{table}]" not in lines:
        return f"[{table}]\n{key} = {value}\n\n" + text
    start = lines.index(f"[{table}]") + 1
    end = next((n for n in range(start, len(lines)) if lines[n].startswith("[")), len(lines))
    kept = [line for line in lines[start:end] if not line.startswith(f"{key} =")]
    return "\n".join([*lines[:start], f"{key} = {value}", *kept, *lines[end:]])


@when('rainsail is run on it with "{command}"')
def step_run_on(context, command):
    arguments = [*command.split(), context.settings_file.name]
    starts_daemon = command in ("run", "up")
    runner = rainsail if starts_daemon else rainsail_here
    context.cli_run = runner(arguments, context.settings_folder)


@then('its stderr names the settings file and says "{words}"')
def step_stderr(context, words):
    stderr = context.cli_run.stderr
    assert words in stderr, stderr
    assert context.settings_file.name in stderr, stderr
    assert "Traceback" not in stderr, stderr


@then("nothing was written beside the settings file")
def step_nothing_written(context):
    found = list(context.settings_folder.iterdir())
    assert found == [context.settings_file], found


def _load(context, environment, flags):
    kept = {key: value for key, value in os.environ.items() if not key.startswith("RAINSAIL_")}
    with mock.patch.dict(os.environ, {**kept, **environment}, clear=True):
        context.settings_loaded = load_settings(context.settings_file, flags)


@when("the settings are loaded")
def step_load(context):
    _load(context, {}, [])


@when('the settings are loaded with RAINSAIL_{variable} "{value}"')
def step_load_environment(context, variable, value):
    _load(context, {f"RAINSAIL_{variable}": value}, [])


@when('the settings are loaded with the flag "{flag}" over RAINSAIL_{variable} "{value}"')
def step_load_flag(context, variable, value, flag):
    _load(context, {f"RAINSAIL_{variable}": value}, [flag])


@then('the loaded zone is "{zone}"')
def step_zone(context, zone):
    assert context.settings_loaded.ok.process.zone == zone


@then('loading the settings fails at "{source}" with "{words}"')
def step_load_fails(context, source, words):
    assert context.settings_loaded.is_error()
    texts = [(each.source, str(each)) for each in context.settings_loaded.error]
    assert any(where == source and words in text for where, text in texts), texts


@when("{examples:d} settings files with random bytes are loaded")
def step_random_files(context, examples):
    path = temporary_folder(context) / "drawn.toml"
    context.settings_outcomes = []
    lines = BASE.read_text().split("\n")[:14]

    @seed(1)
    @derandomized(examples)
    @for_each(st.integers(0, len(lines)), st.binary(max_size=40), st.booleans())
    def run(place, junk, cut):
        head = "\n".join(lines[:place]).encode()
        tail = b"" if cut else "\n".join(lines[place:]).encode()
        path.write_bytes(head + junk + b"\n" + tail)
        loaded = load_settings(path)
        named = loaded.is_ok() or all(str(path) in str(each) for each in loaded.error)
        context.settings_outcomes.append((loaded.is_ok(), named))

    run()


@then("each gave settings, or problems that name the file")
def step_named(context):
    outcomes = context.settings_outcomes
    assert any(not valid for valid, _ in outcomes)
    assert all(named for _, named in outcomes)


@when("the settings page is generated")
def step_page(context):
    path = ROOT / "tools" / "generate_settings_page.py"
    spec = importlib.util.spec_from_file_location("generate_settings_page", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    context.settings_page = module.page()


@then("it names every key of the settings with a description")
def step_page_keys(context):
    for name, field in ProcessSettings.model_fields.items():
        assert f"[{name}" in context.settings_page, name
        _check_described(name, field, context.settings_page)


def _check_described(path, field, page):
    assert field.description, f"{path} has no description"
    model = _model_of(field.annotation)
    for name, inner in (model.model_fields if model else {}).items():
        assert _model_of(inner.annotation) or f"`{name}`" in page, f"{path}.{name}"
        _check_described(f"{path}.{name}", inner, page)


def _model_of(hint):
    if hasattr(hint, "model_fields"):
        return hint
    parts = [_model_of(part) for part in getattr(hint, "__args__", ())]
    return next((part for part in parts if part), None)
