"""Steps that run the replay commands over good and bad files."""

import json
import random
import tempfile
from dataclasses import replace
from pathlib import Path

import fastavro
from behave import given, then, when
from features.support import checkers as histories
from features.support.command_line import ROOT, rainsail_here
from features.support.replay import folder_of, job, request, trace

from rainsail.errors import Outcome
from rainsail.experiment.container import write_container
from rainsail.experiment.history import (
    AnswerReceived,
    ChangeAnswered,
    History,
    HistoryRecord,
    write_history,
)
from rainsail.experiment.trace.records import PromptShape, TraceRecord
from rainsail.wire.codec import parsed_schema, to_avro_value

BLOCK_OF_ZEROS_AT = 6000


def copy_of(context):
    """Return the path that stands for COPY in a command."""
    return folder_of(context) / "copy"


@when('"{command}" writes a trace')
def step_generate(context, command):
    context.generate = command
    context.generated = generated(context, command)


def generated(context, command):
    """Return the bytes that a ``trace generate`` writes."""
    out = folder_of(context) / "out.avro"
    finished = rainsail_here([*command.split(), "--out", str(out)])
    assert finished.code == 0, finished.stderr
    return out.read_bytes()


@then('its bytes are those of "{path}"')
def step_same_bytes(context, path):
    assert context.generated == (ROOT / path).read_bytes()


@then("another seed gives another trace")
def step_other_seed(context):
    other = generated(context, context.generate.replace("--seed 11", "--seed 12"))
    assert other != context.generated and len(other) > 1000


@when('a replay command runs "{command}"')
def step_run(context, command):
    folder = folder_of(context)
    words = {"COPY": str(copy_of(context)), "PLAN": str(folder / "plan")}
    context.finished = rainsail_here([words.get(word, word) for word in command.split()])


@then("the replay command ends with code {code:d}")
def step_code(context, code):
    assert context.finished.code == code, context.finished


@then('its last line has "{path}" = {value}')
def step_last_line(context, path, value):
    found = json.loads(context.finished.stdout.splitlines()[-1])
    for part in path.split("."):
        found = found[int(part)] if isinstance(found, list) else found[part]
    assert found == json.loads(value), found


@then('its error names the copy and "{place}"')
def step_error_place(context, place):
    error = context.finished.stderr
    assert str(copy_of(context)) in error and place in error, error
    assert "Traceback" not in error


@then('its error says "{text}"')
def step_error_says(context, text):
    assert text in context.finished.stderr, context.finished.stderr


# --- damaged traces ---------------------------------------------------------------------------


@given('a copy of "{path}" with "{damage}"')
def step_damage(context, path, damage):
    data = (ROOT / path).read_bytes()
    copy_of(context).write_bytes(damaged(data, damage))


def damaged(data, damage):
    """Return a trace's bytes with one kind of damage."""
    if damage == "its last byte cut off":
        return data[:-1]
    if damage == "a block of zeros inside":
        return data[:BLOCK_OF_ZEROS_AT] + bytes(300) + data[BLOCK_OF_ZEROS_AT + 300 :]
    if damage == "another magic":
        return b"Obj\x02" + data[4:]
    if damage == "nothing":
        return b""
    holder = tempfile.TemporaryDirectory()
    with holder:
        path = Path(holder.name) / "other.avro"
        if damage == "another record type":
            record = HistoryRecord(histories.clean_events()[0])
            write_container(path, HistoryRecord, [record])
        else:
            plain = [to_avro_value(TraceRecord(request(1)))]
            with path.open("wb") as file:
                fastavro.writer(file, parsed_schema(TraceRecord), plain, codec="deflate")
        return path.read_bytes()


@given('a trace file with "{entry}"')
def step_odd_entry(context, entry):
    whole = trace()
    first = request(1)
    shape = PromptShape("t", 5_000_000, 0)
    entries = {
        "no origin": [first],
        "one request twice": [whole.origin, first, first],
        "an arrival at NaN": [whole.origin, replace(first, at_s=float("nan"))],
        "a job without items": [whole.origin, replace(job(), items=(), item_count=0)],
        "a prompt of 5 million": [whole.origin, replace(first, prompt=shape)],
        "no tokens": [whole.origin, replace(first, max_tokens=0)],
        "another service": [whole.origin, replace(first, service="reports-9")],
    }[entry]
    write_container(copy_of(context), TraceRecord, [TraceRecord(each) for each in entries])


@given('an outcomes file "{text}"')
def step_outcomes(context, text):
    copy_of(context).write_text(text.replace("; ", "\n"))


@given('a history file with "{content}"')
def step_history(context, content):
    path = copy_of(context)
    if content == "random bytes":
        path.write_bytes(random.Random(5).randbytes(3000))
        return
    odd = {
        "an answer to nothing": AnswerReceived(
            1.0, "q9", "q9#1", Outcome.NOT_RUN, "", -1.0, "", False
        ),
        "an answer to no change": ChangeAnswered(1.0, "o", "c9", "tenant", True, 3, ""),
    }
    history = History()
    if content in odd:
        history.record(odd[content])
    else:
        history = histories.build("" if content == "nothing wrong" else content)
    write_history(path, history)
