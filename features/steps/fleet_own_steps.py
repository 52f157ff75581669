"""Steps on a fleet that serves the native API."""

import base64
import json
import tempfile
from pathlib import Path

from behave import given, then, when
from features.support.command_line import rainsail_here
from features.support.own_fleet import EXAMPLES, OwnFleet, wait_until
from features.support.reactor_thread import in_reactor, reactor

from rainsail.http.headers import header_text
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.runtime.clock import MonotonicClock

HOST = "fleet.example"
CONTROL, CLIENTS, METRICS, RUNNER = 7650, 7660, 7690, 7700


@given("the nodes of examples/relaying run in one process")
def run_nodes(context):
    context.own = OwnFleet()
    context.add_cleanup(context.own.close)


def _control(context, method, path, body=None):
    return context.own.call(context.own.address(1, 1), CONTROL, method, path, body)


def _client(context, method, path, body=None, **headers):
    own = context.own
    named = {"Host": HOST, "Rainsail_Deadline_S": "3.5", **headers}
    return own.call(own.address(3, 1), CLIENTS, method, path, body, **named)


@when("the example's routing table is put at a controller")
def put_table(context):
    context.table_text = (EXAMPLES / "routing-table.json").read_bytes()
    wait_until(
        lambda: _control(context, "PUT", "/v1/routing-table", context.table_text)[0] == 200,
        "the table",
    )


@then("a table without services is refused with 400 and the fault names the place")
def refuse_table(context):
    table = json.loads(context.table_text)
    del table["services"]
    status, body = _control(context, "PUT", "/v1/routing-table", table)
    assert status == 400 and b"services" in body, (status, body)


@then("the routing table reads back byte by byte")
def read_table(context):
    wait_until(lambda: _control(context, "GET", "/v1/routing-table")[0] == 200, "a read")
    assert _control(context, "GET", "/v1/routing-table")[1] == context.table_text


def _answer(exchange):
    request = header_text(exchange.request.headers, b"rainsail-request")
    fields = [(b"Rainsail-Request", request.encode())]
    if exchange.request.target.startswith(b"/reports/"):
        fields.append((b"Content-Type", b"text/event-stream"))
        exchange.begin(200, tuple(fields))
        exchange.write(b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n")
        exchange.end()
    else:
        exchange.answer(200, tuple(fields), b"pong " + exchange.request.body)


@when("a runner reports through the native API that it is ready")
def runner_ready(context):
    ip = context.own.address(4, 1)
    server = HttpServer(_answer, MonotonicClock(reactor), HttpLimits())
    port = in_reactor(reactor.listenTCP, RUNNER, server, 50, ip)
    context.add_cleanup(in_reactor, port.stopListening)
    word = {"service": "tracker", "address": f"{ip}:{RUNNER}", "slots": 4, "sequence": 1}
    wait_until(lambda: _control(context, "PUT", "/v1/runners/r-1", word)[0] == 200, "the word")


@then("a request is relayed to it and its answer comes back")
def relayed(context):
    answers = []

    def served():
        answers.append(_client(context, "POST", "/pings/1", b"ping", Rainsail_Request="p-1"))
        return answers[-1][0] == 200

    wait_until(served, "a relayed request")
    assert answers[-1] == (200, b"pong ping"), answers[-1]


@then("a job of {count:d} items is accepted, and its results can be read")
def job(context, count):
    items = [
        {
            "id": f"item-{n}",
            "path": f"/reports/{n}",
            "headers": {},
            "body": base64.b64encode(b"body").decode(),
            "tokens": 5,
        }
        for n in range(count)
    ]
    body = {"items": items}
    wait_until(
        lambda: _client(context, "POST", "/reports/j", body, Rainsail_Request="j-1")[0] == 202,
        "the job",
    )
    pages = []

    def complete():
        status, content = _client(context, "GET", "/v1/relayed-jobs/j-1/results?after=0")
        pages.append(json.loads(content) if status == 200 else {"results": []})
        return len(pages[-1]["results"]) == count

    wait_until(complete, "the results")
    page = pages[-1]
    assert page["total"] == page["next"] == count
    assert {entry["text"] for entry in page["results"]} == {"one\ntwo"}
    assert all(entry["done"] for entry in page["results"])
    status, _ = _client(context, "GET", "/v1/relayed-jobs/nobody/results")
    assert status == 404, status
    assert _client(context, "DELETE", "/v1/relayed-jobs/j-1")[0] == 200


@then("the metrics page of a gateway counts the request")
def metrics(context):
    status, body = context.own.call(context.own.address(3, 1), METRICS, "GET", "/metrics")
    assert status == 200
    line = 'rainsail_requests_total{kind="safe",outcome="completed"}'
    assert line in body.decode(), body.decode()


@then("no request is held, and releasing an invalid fingerprint or one that is not held fails")
def nothing_held(context):
    status, body = _control(context, "GET", "/v1/held-requests")
    assert (status, json.loads(body)) == (200, {"requests": []}), (status, body)
    assert _control(context, "DELETE", "/v1/held-requests/abc")[0] == 400
    assert _control(context, "DELETE", f"/v1/held-requests/{'0' * 32}")[0] == 404


@when("the runner deregisters")
def runner_gone(context):
    wait_until(lambda: _control(context, "DELETE", "/v1/runners/r-1")[0] == 200, "the word")


@then("a request is refused with 503 and a time to retry after")
def refused(context):
    wait_until(
        lambda: _client(context, "POST", "/pings/1", b"", Rainsail_Request="p-2")[0] == 503,
        "a refusal",
    )


@then("the process ends on SIGTERM with code 0")
def ends(context):
    assert context.own.stop() == 0, context.own.log.read_text()[-2000:]


# --- settings ------------------------------------------------------------------------------

CHANGES = {
    "no change": ("", ""),
    "no client port": ('clients = "127.30.3.1:7660"\n', ""),
    "an unknown role": ('role = "gateway"', 'role = "king"'),
    "a broken line": ("[peers]", "[peers"),
}


@when('"rainsail settings check" reads the gateway\'s example with {change}')
def check_settings(context, change):
    before, after = CHANGES[change]
    text = (EXAMPLES / "gateway-1.toml").read_text()
    assert before in text
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        path.write_text(text.replace(before, after))
        context.checked = rainsail_here(["settings", "check", str(path)])


@then('it ends with code {code:d} and says "{words}"')
def checked(context, code, words):
    said = context.checked.stdout + context.checked.stderr
    assert context.checked.code == code and words in said, context.checked
