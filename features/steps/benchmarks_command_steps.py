"""Steps of the bench command."""

import json
import tempfile
from pathlib import Path

from behave import then, when
from features.support.command_line import rainsail


@when('"rainsail bench {arguments}" is run with a folder for the bench\'s output')
def step_run_bench(context, arguments):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.bench_output = Path(folder.name)
    words = ["bench", *arguments.split(), f"--output={folder.name}"]
    context.bench_finished = rainsail(words)


@then('the bench command\'s last line is JSON of the bench "{bench}" with {targets:d} targets')
def step_json_line(context, bench, targets):
    finished = context.bench_finished
    assert finished.code == 0, finished
    context.bench_json = json.loads(finished.stdout.strip().splitlines()[-1])
    assert context.bench_json["bench"] == bench
    assert len(context.bench_json["targets"]) == targets


@then("the bench's output folder holds the same JSON and nothing else")
def step_output(context):
    (written,) = context.bench_output.iterdir()
    assert written.suffix == ".json"
    assert json.loads(written.read_text()) == context.bench_json


@then('the bench command ends with exit code 2 and names "{flag}"')
def step_bad_input(context, flag):
    assert context.bench_finished.code == 2, context.bench_finished
    assert flag in context.bench_finished.stderr
