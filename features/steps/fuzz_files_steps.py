"""Steps that fuzz the files that operators name."""

import dataclasses
import io
import json
import tempfile
import tomllib
from dataclasses import replace
from pathlib import Path

import fastavro
from behave import then, when
from features.support import checkers as histories
from features.support.command_line import ROOT
from features.support.fuzz import altered, changed_tree, fuzz, peak_bytes, zigzag
from features.support.replay import request, trace
from hypothesis import strategies

from rainsail.cli.exit_codes import CommandEnd, ExitCode
from rainsail.cli.job_files import read_job
from rainsail.cli.resource_files import read_resources
from rainsail.experiment.checkers.suite import check_history
from rainsail.experiment.history import HistoryRecord, JobAccepted, read_history, write_history
from rainsail.experiment.history_rules import history_problem
from rainsail.experiment.replay.outcomes import read_outcomes
from rainsail.experiment.replay.tenant_keys import read_tenant_keys
from rainsail.experiment.trace.files import read_trace, write_trace
from rainsail.experiment.trace.records import PromptShape, TraceRecord
from rainsail.experiment.trace.summary import summarise
from rainsail.settings.load import load_settings
from rainsail.simulation.fault_plan import FaultAction, FaultKind, FaultPlan, read_plan
from rainsail.wire.codec import CodecError, parsed_schema, to_avro_value

EXAMPLES = ROOT / "examples" / "guayaquil"
PLAN = FaultPlan(
    actions=(FaultAction(kind=FaultKind.ZONE_CUT, target="a", start_s=1, duration_s=2),)
)


def valid_bytes(kind):
    """Return the bytes of a valid file of a kind."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "valid"
        if kind == "trace":
            write_trace(path, trace())
        elif kind == "history":
            write_history(path, histories.build("a result that changed"))
        else:
            path.write_bytes(valid_text(kind))
        return path.read_bytes()


def valid_text(kind):
    """Return the bytes of a valid text file of a kind."""
    names = {
        "outcomes": "outcomes.toml",
        "settings": "fleet.toml",
        "tenant keys": "tenant-keys.toml",
        "job": "seal-reports-job.toml",
        "resources": "resources.toml",
    }
    if kind == "fault plan":
        return PLAN.model_dump_json().encode()
    return (EXAMPLES / names[kind]).read_bytes()


def toml_of(value, top=True):
    """Return a value as TOML where TOML can express it, with inline tables below the top."""
    if isinstance(value, dict) and top:
        return "\n".join(
            f"{json.dumps(key)} = {toml_of(each, False)}" for key, each in value.items()
        )
    if isinstance(value, dict):
        inner = ", ".join(
            f"{json.dumps(key)} = {toml_of(each, False)}" for key, each in value.items()
        )
        return f"{{{inner}}}"
    if isinstance(value, list):
        return f"[{', '.join(toml_of(each, False) for each in value)}]"
    if isinstance(value, float):
        return str(value)
    return '""' if value is None else json.dumps(value)


def contents(kind):
    """Return the strategy of a file's bytes."""
    valid = valid_bytes(kind)
    options = [altered(valid), strategies.binary(max_size=300)]
    if kind == "fault plan":
        options += [changed_tree(json.loads(valid)).map(lambda tree: json.dumps(tree).encode())]
        options += [strategies.sampled_from([b"[" * 100_000, b'{"actions":' * 50_000])]
    elif kind not in ("trace", "history"):
        tree = tomllib.loads(valid.decode())
        changed = changed_tree(tree).map(lambda each: encoded(toml_of(each)))
        deep = strategies.sampled_from([b"a = " + b"[" * 20_000, b"a." * 2_000 + b"b = 1"])
        options += [changed, changed, deep]
    return strategies.one_of(options)


def encoded(text):
    """Encode text, including lone surrogates."""
    return text.encode("utf-8", "surrogatepass")


def read(kind, path):
    """Read a file as the commands do; return "read", or the text of the error."""
    result = readers()[kind](path)
    if result is None or isinstance(result, str):
        return result or "read"
    if result.is_ok():
        return "read"
    error = result.error
    return "; ".join(str(each) for each in error) if isinstance(error, tuple) else error.detail


def readers():
    """Return the readers of files by kind."""
    return {
        "trace": lambda path: read_trace(path).map(summarise),
        "history": read_checked_history,
        "outcomes": read_outcomes,
        "settings": load_settings,
        "fault plan": read_plan,
        "tenant keys": read_tenant_keys,
        "job": lambda path: error_text_of(lambda: read_job(path)),
        "resources": lambda path: error_text_of(lambda: read_resources(path)),
    }


def read_checked_history(path):
    """Read a history and run the checkers on it; return the problem with the file, if any."""
    try:
        history = read_history(path)
    except CodecError as error:
        return str(error)
    problem = history_problem(history)
    if problem:
        return f"{path}: {problem}"
    check_history(history)
    return None


def error_text_of(call):
    """Run a reader that ends the command on bad input; return its error text, if any."""
    try:
        call()
    except CommandEnd as end:
        assert end.code == ExitCode.BAD_INPUT and end.message
        return end.message
    return None


@when("{count:d} fuzzed contents replace a {kind} file")
def step_fuzz_files(context, count, kind):
    context.fuzz_results = []
    context.fuzz_peak = 0
    holder = tempfile.TemporaryDirectory()
    context.add_cleanup(holder.cleanup)
    context.fuzz_path = Path(holder.name) / "file"

    def check(data):
        context.fuzz_path.write_bytes(data)
        context.fuzz_results.append(read(kind, context.fuzz_path))
        if len(context.fuzz_results) % 10 == 0:
            peak = peak_bytes(lambda: read(kind, context.fuzz_path))
            context.fuzz_peak = max(context.fuzz_peak, peak)

    fuzz(count, check, contents(kind))


@then("each fuzzed file was read, or refused with its name")
def step_read_or_refused(context):
    refused = [outcome for outcome in context.fuzz_results if outcome != "read"]
    assert len(refused) >= 30, len(refused)
    for outcome in refused:
        assert str(context.fuzz_path) in outcome, outcome


@then("reading a fuzzed file used at most {count:d} bytes at once")
def step_file_peak(context, count):
    assert 0 < context.fuzz_peak <= count, context.fuzz_peak


@when("a {kind} file is crafted from {bomb}")
def step_bomb(context, kind, bomb):
    holder = tempfile.TemporaryDirectory()
    context.add_cleanup(holder.cleanup)
    context.fuzz_path = Path(holder.name) / "file"
    context.fuzz_path.write_bytes(crafted_files(kind)[bomb]())
    outcomes = []
    context.fuzz_peak = peak_bytes(lambda: outcomes.append(read(kind, context.fuzz_path)))
    context.crafted_file_error = outcomes[0]


def crafted_files(kind):
    """Return functions that craft files meant to exhaust memory, by description."""
    valid = valid_bytes(kind)
    record = TraceRecord if kind == "trace" else HistoryRecord
    return {
        "a foreign schema with eight million nulls": lambda: nulls(record),
        "a compressed text of 50 million characters": lambda: compressed(record),
        "a block that announces 2 to the power 60": lambda: header_of(valid) + b"\x02" + LARGE,
        "a dotted key of 2000 parts": lambda: b"a." * 2_000 + b"b = 1",
        "a schema nested 100000 deep": lambda: header(b'{"type":"array","items":' * 100_000),
    }


LARGE = b"\x80\x80\x80\x80\x80\x80\x80\x80\x20"
"""2 to the power 60, in the Avro encoding of a long."""
MARKER = bytes(range(16))
NULLS = 8_000_000
LONG_TEXT = "0" * 50_000_000


def nulls(record):
    """Return a file of one record of the right name, whose only field is an array of nulls."""
    name = next(field.name for field in dataclasses.fields(record))
    items = {"type": "array", "items": "null"}
    fields = [{"name": name, "type": items}]
    schema = {"type": "record", "name": f"rainsail.{record.__name__}", "fields": fields}
    body = zigzag(NULLS) + b"\x00"
    return header(json.dumps(schema).encode()) + b"\x02" + zigzag(len(body)) + body + MARKER


def compressed(record):
    """Return a compressed file of one valid record with a very long text."""
    if record is TraceRecord:
        long = replace(request(1), prompt=PromptShape("t", 0, 0, LONG_TEXT))
        plain = to_avro_value(TraceRecord(long))
    else:
        plain = to_avro_value(HistoryRecord(JobAccepted(1.0, LONG_TEXT, "", "", 1)))
    file = io.BytesIO()
    fastavro.writer(file, parsed_schema(record), [plain], codec="deflate")
    return file.getvalue()


def header_of(valid):
    """Return a file's bytes up to its first block."""
    return valid[: valid.index(MARKER) + len(MARKER)]


def header(schema):
    """Return the header of an uncompressed file with this schema."""
    return b"Obj\x01\x02\x16avro.schema" + zigzag(len(schema)) + schema + b"\x00" + MARKER


@then("reading the crafted file is refused, naming the file")
def step_crafted_refused(context):
    assert str(context.fuzz_path) in context.crafted_file_error, context.crafted_file_error
