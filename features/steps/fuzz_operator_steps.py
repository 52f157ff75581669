"""Steps that fuzz the operator API."""

import json

from behave import given, then, when
from features.support.control import ControlFleet, HttpConnection, chunks
from features.support.fuzz import fuzz, json_documents
from hypothesis import strategies

from rainsail.errors import FaultCode
from rainsail.resources.specs import SPEC_TYPES, Kind

SPECS = {
    "Service": {"active_version": "", "runners": 2, "default_class": "online", "batch_weight": 0.5},
    "Tenant": {
        "tokens_per_second": 10.0,
        "burst_tokens": 20.0,
        "weight": 1.0,
        "key_hashes": ["ab" * 32],
        "operator": False,
    },
    "Runner": {
        "address": "http://127.0.0.1:9000",
        "region": "south",
        "zone": "z1",
        "service": "assistant",
        "drain": False,
        "role": "mixed",
        "batch_slots": 4,
    },
}
JOB = {
    "job_key": "night",
    "service": "assistant",
    "deadline_s": 600.0,
    "adapter": "",
    "items": [{"custom_id": f"i{n}", "prompt": "p", "max_tokens": 5} for n in range(2)],
}
REGRESSION_HOSTS = (b"a..b", b".", b"x" * 64)
"""Inputs that failed in longer fuzzing runs; every run starts with them."""
MAX_BODY_BYTES = 20_000


@given("an operator API for fuzzing, over a control fleet")
def step_operator_api(context):
    context.fleet = ControlFleet()
    update = {"max_body_bytes": MAX_BODY_BYTES}
    context.fleet.settings = context.fleet.settings.model_copy(update=update)
    context.operator_calls = []
    call_operator(context, "PUT", "/v1/resources/Tenant/north", dumped_spec("Tenant"))
    assert context.operator_calls == [200], context.operator_calls


def dumped_spec(kind):
    """Return a valid body of a PUT."""
    return json.dumps({"spec": SPECS[kind]}).encode()


def call_operator(context, method, path, body=b"", header=b""):
    """Call the operator API over a new connection and check the answer."""
    connection = HttpConnection(context.fleet, "r1", "key")
    lines = [
        f"{method} {path} HTTP/1.1".encode("utf-8", "surrogateescape"),
        *([header] if header.startswith(b"Host") else [b"Host: replica"]),
        b"Authorization: Bearer key" if header.startswith(b"Host") or not header else header,
        b"Content-Length: %d" % len(body),
    ]
    connection.channel.dataReceived(b"\r\n".join([*lines, b"", b""]) + body)
    if "/v1/watch" in path and watch_started(connection):
        connection.transport.loseConnection()
        context.operator_calls.append(200)
        return
    context.fleet.wait_until(lambda: has_answered(connection))
    head, _, content = connection.transport.value().partition(b"\r\n\r\n")
    if b"chunked" in head.lower():
        content = b"".join(chunks(content))
    connection.transport.loseConnection()
    status = int(head.split()[1])
    check_operator_answer(status, head, content)
    context.operator_calls.append(status)


def watch_started(connection):
    """Tell whether a watch has started: no answer yet, or a successful one."""
    received = connection.transport.value()
    return not received or received.startswith(b"HTTP/1.1 200")


def has_answered(connection):
    """Tell whether a complete answer has arrived or the connection has ended."""
    return connection._answered() or connection.transport.disconnected


def check_operator_answer(status, head, content):
    """Check what must hold for every answer of the operator API."""
    if status in (200, 201):
        return
    assert 400 <= status < 500 or status == 503, (status, head, content[:500])
    error = json.loads(content)["error"]
    assert error["step"] and error["code"] in list(FaultCode), content
    assert error["code"] != "internal", content


@when("{count:d} fuzzed bodies of a {kind} come with {method}")
def step_bodies(context, count, kind, method):
    spec = SPECS[kind] if method != "DELETE" else {}
    tree = {"change_id": "c1", "expected_revision": 1, "spec": spec}
    if method == "DELETE":
        del tree["spec"]
    valid = {"spec": spec} if method != "DELETE" else {}
    path = f"/v1/resources/{kind}/north"
    # Hypothesis also draws constants of the loaded modules, so any change of the sources changes
    # the bodies. Valid bodies are always among them, so that some reach the state.
    unaltered = {**valid, "change_id": ""}
    documents = strategies.one_of(
        strategies.just(json.dumps(unaltered).encode()),
        json_documents(tree),
        json_documents(unaltered),
    )
    fuzz(count, lambda body: call_operator(context, method, path, body), documents)


@when("{count:d} fuzzed jobs are submitted to the operator API")
def step_jobs(context, count):
    documents = json_documents({**JOB, "tenant": "north"})
    fuzz(count, lambda body: call_operator(context, "POST", "/v1/jobs", body), documents)


@then("each fuzzed operator call was answered, or refused with a step")
def step_operator_answers(context):
    refused = [status for status in context.operator_calls if status >= 400]
    assert len(refused) > 20, context.operator_calls
    assert len(refused) < len(context.operator_calls) - 1, "no call was accepted"


@then("the fuzzed state can be listed, and is the same on every replica")
def step_operator_alive(context):
    call_operator(context, "GET", "/v1/resources")
    call_operator(context, "GET", "/v1/jobs")
    call_operator(context, "PUT", "/v1/resources/Service/last", dumped_spec("Service"))
    assert context.operator_calls[-3:] == [200, 200, 200], context.operator_calls[-3:]
    context.fleet.clock.advance(5.0)
    digests = {bytes_of(group.state) for group in context.fleet.groups.values()}
    assert len(digests) == 1, "replicas differ"


def bytes_of(state):
    """Return a state's snapshot."""
    return b"".join(bytes(chunk) for chunk in state.snapshot())


NUMBERS = strategies.sampled_from(
    ("0", "1", "-1", "", "x", "1.5", "9" * 30, "9" * 5000, str(2**63), "%ff", "%D9%A1", "1_0", "+1")
)
WORDS = strategies.one_of(
    strategies.sampled_from(
        (
            "v1",
            "resources",
            "jobs",
            "watch",
            "status",
            "results",
            "cancel",
            "Tenant",
            "north",
            "tenant",
            "%00",
            "%ff",
            "%F0%9F%9A%A2",
            "..",
            "",
            "a" * 300,
            "metrics",
            "healthz",
        )
    ),
    strategies.sampled_from([kind.value for kind in SPEC_TYPES]),
    strategies.text(alphabet="ab%./;*", max_size=5),
)
ARGUMENTS = strategies.builds(
    lambda name, value: f"{name}={value}",
    strategies.sampled_from(
        ("revision", "kinds", "kind", "first", "first_index", "limit", "%ff", "x")
    ),
    strategies.one_of(NUMBERS, strategies.sampled_from(("Tenant,Runner", ",,", "Ship", "%ff"))),
)


@when("{count:d} fuzzed paths and arguments are called on the operator API")
def step_operator_paths(context, count):
    tree = strategies.lists(WORDS, min_size=1, max_size=4).map("/".join)
    known = strategies.sampled_from(
        ("watch", "jobs", "resources", "jobs/j/results", "resources/Tenant/north", "status")
    )
    paths = strategies.one_of(known, known, tree).map(lambda path: f"/v1/{path}")
    arguments = strategies.lists(ARGUMENTS, max_size=3).map("&".join)
    methods = strategies.sampled_from(("GET", "GET", "GET", "POST", "PUT", "BREW"))

    def check(method, path, query):
        call_operator(context, method, f"{path}?{query}")

    fuzz(count, check, methods, paths, arguments)


@when("{count:d} fuzzed headers come with a list of the operator API")
def step_operator_headers(context, count):
    values = strategies.one_of(
        strategies.binary(max_size=30).map(lambda data: data.translate(None, b"\r\n\x00")),
        strategies.sampled_from((b"Bearer key", b"bearer  key ", b"Basic key", b"Bearer", b"\xff")),
    )
    names = strategies.sampled_from((b"Authorization", b"authorization", b"Host", b"X-Other"))
    headers = strategies.builds(lambda name, value: name + b": " + value, names, values)

    def check(header):
        call_operator(context, "GET", f"/v1/resources/{Kind.TENANT.value}", b"", header)

    for host in REGRESSION_HOSTS:
        check(b"Host: " + host)
    fuzz(count, check, headers)
