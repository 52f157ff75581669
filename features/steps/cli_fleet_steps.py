"""Steps that run commands against a fleet started by ``rainsail up``."""

import json
import signal
import urllib.request

from behave import given, then, when
from features.support.embedded_fleet import ENGINES, SERVICE, TENANT_KEYS, shared_fleet


@given("a fleet that rainsail up runs")
def running_fleet(context):
    context.live_fleet = shared_fleet(context)


@when("rainsail {line} is run against the fleet")
def run_on_fleet(context, line):
    context.cli_run = context.live_fleet.run(*line.split())


@when('rainsail {line} is run against the fleet with the key "{key}"')
def run_with_key(context, line, key):
    context.cli_run = context.live_fleet.run(*line.split(), key=key)


@when("rainsail {line} is run against the fleet's gateway")
def run_on_gateway(context, line):
    fleet = context.live_fleet
    context.cli_run = fleet.run(*line.split(), address=fleet.caller)


@when("rainsail {line} is run against the fleet's gateway with the key of {tenant:w}")
def run_as_tenant(context, line, tenant):
    fleet = context.live_fleet
    key = TENANT_KEYS[tenant]
    context.cli_run = fleet.run(*line.split(), key=key, address=fleet.caller)


@then('the fleet command exits with {code:d} and prints "{words}"')
def fleet_command_ended(context, code, words):
    assert context.cli_run.code == code, context.cli_run
    assert words in context.cli_run.stdout + context.cli_run.stderr, context.cli_run


@then('the fleet command\'s JSON has health "{health}" and leader "{leader}"')
def json_of_status(context, health, leader):
    status = json.loads(context.cli_run.stdout)
    assert (status["health"], status["leader"]) == (health, leader), status


@then('the fleet answers {path} with status {status:d} and "{words}"')
def fleet_answers(context, path, status, words):
    answer = context.live_fleet.get(path)
    assert answer[0] == status and words in answer[1], answer


@when('exporter completes a request with the idempotency key "{key}" at the fleet')
def complete_request(context, key):
    body = {"model": SERVICE, "prompt": "Where is my box?", "max_tokens": 4}
    request = urllib.request.Request(
        f"http://{context.live_fleet.caller}/v1/completions",
        json.dumps(body).encode(),
        {
            "Authorization": f"Bearer {TENANT_KEYS['exporter']}",
            "Content-Type": "application/json",
            "Idempotency-Key": key,
        },
    )
    with urllib.request.urlopen(request, timeout=30.0) as answer:
        assert json.loads(answer.read())["id"] == f"cmpl-{key}"


@then("the fleet command's table has a row of each candidate, one of them chosen")
def candidate_rows(context):
    rows = [line for line in context.cli_run.stdout.splitlines() if " reports-" in line[1:]]
    rows = [row for row in rows if row.startswith("│")]
    assert len(rows) == ENGINES, context.cli_run.stdout
    assert sum(" yes " in row for row in rows) == 1, context.cli_run.stdout


@then('the fleet command\'s JSON explains {count:d} decision of "{request_id}" with scores')
def json_of_explanation(context, count, request_id):
    answer = json.loads(context.cli_run.stdout)
    assert answer["gateway"] == "gateway-1" and answer["request_id"] == request_id, answer
    assert len(answer["decisions"]) == count, answer
    scores = [each["score"] for each in answer["decisions"][0]["candidates"]]
    assert len(scores) == ENGINES and all(isinstance(each, float) for each in scores), answer


def _ready(fleet, runner):
    listed = fleet.run("resource", "get", "Runner", runner, "--output", "json")
    return (json.loads(listed.stdout)["status"] or {})["ready"]


@then("the fleet's runner {runner} becomes ready")
def becomes_ready(context, runner):
    fleet = context.live_fleet
    fleet.wait_until(lambda: _ready(fleet, runner), f"{runner} is ready")


@then("the fleet's runner {runner} becomes not ready")
def becomes_not_ready(context, runner):
    fleet = context.live_fleet
    fleet.wait_until(lambda: not _ready(fleet, runner), f"{runner} is not ready")


@when("the fleet's process is asked for its log ring")
def ask_for_ring(context):
    context.live_fleet.process.send_signal(signal.SIGUSR1)


@then('the fleet\'s data folder holds a dump of the log ring with "{words}"')
def ring_dumped(context, words):
    fleet = context.live_fleet
    folder = fleet.folder / "data" / "logs"

    def dumped():
        return any(words in path.read_text() for path in folder.glob("ring-*.jsonl"))

    fleet.wait_until(dumped, "the log ring is dumped")
