"""Steps on the platform adapter's translations."""

import json
import tempfile
import tomllib
from pathlib import Path

from behave import given, then, when
from expression import Error, Ok
from features.support import platform_adapter_path  # noqa: F401
from features.support.relaying import StandInExchange
from twisted.internet.defer import succeed

from platform_adapter.control import control_handler
from platform_adapter.headers import PlatformHeaders
from platform_adapter.jobs import client_handler
from platform_adapter.routing import read_table
from rainsail.budget.client_budget import ClientBudget
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.http.client import AnswerHead
from rainsail.http.exchange import HttpRequest
from rainsail.jobs.intake_budget import GatewayIntake
from rainsail.jobs.messages import QueueLimit, RelayedJobAccepted
from rainsail.relay.protocol import RunnerTarget
from rainsail.relay.table import Route, RouteKind, ServiceShare
from rainsail.settings.node import load_node_settings
from rainsail.simulation.clock import VirtualClock
from rainsail.tenancy.tenants import ANONYMOUS

EXAMPLE = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "pathPrefix": "/one/",
            "kind": "streaming",
            "timeoutMs": 5000,
            "targetLatencyMs": 500,
            "priority": 0,
            "service": "first",
            "maxAttempts": 2,
            "sticky": True,
            "resumable": True,
            "gapTargetMs": 500,
        },
        {
            "name": "r-2",
            "host": "a.example",
            "pathPrefix": "/two/",
            "kind": "streaming",
            "timeoutMs": 8000,
            "targetLatencyMs": 300,
            "priority": 0,
            "split": [{"service": "first", "weight": 90}, {"service": "second", "weight": 10}],
            "maxAttempts": 1,
            "resumable": False,
        },
    ],
    "services": [
        {"name": "first", "healthPath": "/healthz", "maxConnections": 200, "engine": {"slots": 1}},
        {"name": "second", "healthPath": "/healthz", "maxConnections": 100},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}
HEADERS = (
    (b"Host", b"h.example:80"),
    (b"Request-Id", b"9c41"),
    (b"Deadline-Ms", b"8000"),
    (b"Prompt-Prefix", b"5c1e:800,91bd:410,e440:250"),
    (b"Token-Usage", b"1460,80"),
    (b"Connection", b"keep-alive"),
    (b"Keep-Alive", b"timeout=5"),
    (b"X-Own", b"kept"),
)


@given("the platform's example configuration")
def example(context):
    context.document = json.loads(json.dumps(EXAMPLE))
    context.content = json.dumps(context.document).encode()


def _table(context):
    read = read_table(context.content)
    assert read.is_ok(), read
    return read.ok


@then("the table has version {version:d}, {routes:d} routes and {services:d} services")
def has_table(context, version, routes, services):
    table = _table(context)
    assert (table.version, len(table.routes), len(table.services)) == (version, routes, services)


@then(
    "route 1 is a resumable stream of {attempts:d} attempts, {timeout:g} seconds "
    "and a target of {target:g} seconds"
)
def first_route(context, attempts, timeout, target):
    route = _table(context).routes[0]
    assert route.kind == RouteKind.STREAM and route.resumable and route.repeatable
    assert (route.max_attempts, route.timeout_s, route.target_s) == (attempts, timeout, target)


@then("route 2 is split {first:d} to {second:d} and is not repeatable")
def second_route(context, first, second):
    route = _table(context).routes[1]
    assert [share.weight for share in route.shares] == [first, second]
    assert not route.repeatable


@then("the limits are {head:d} and {body:d} bytes, {header:g} and {idle:g} seconds")
def has_limits(context, head, body, header, idle):
    limits = _table(context).limits
    assert (limits.max_header_bytes, limits.max_body_bytes) == (head, body)
    assert (limits.header_timeout_s, limits.idle_timeout_s) == (header, idle)


@when("the configuration comes {spoiled}")
def spoil(context, spoiled):
    document = context.document
    first, second = document["routes"]
    match spoiled:
        case "cut short":
            context.content = context.content[:-10]
            return
        case "no table but a list":
            document = [document]
        case "naming an unknown service":
            first["service"] = "nobody"
        case "putting two routes in one place":
            second["pathPrefix"] = first["pathPrefix"]
        case "without any weight":
            for part in second["split"]:
                part["weight"] = 0
        case "with a time-out of 0":
            first["timeoutMs"] = 0
        case "without its routes":
            del document["routes"]
        case "with its services as a number":
            document["services"] = 2
        case "with a text as its version":
            document["version"] = "7"
        case "with a service without a name":
            del document["services"][1]["name"]
        case "with a weight that is no number":
            second["split"][1]["weight"] = "heavy"
        case "with a tenant's key as a number":
            document["tenants"] = [{"name": "t", "apiKeys": [12345]}]
        case _:
            raise AssertionError(spoiled)
    context.content = json.dumps(document).encode()


@then('it is refused and the fault names "{word}"')
def is_refused(context, word):
    read = read_table(context.content)
    assert read.is_error() and read.error.code == FaultCode.INVALID, read
    assert word in read.error.detail, read.error


@given("the platform's example configuration with {count:d} more routes")
def large_example(context, count):
    example(context)
    first = context.document["routes"][0]
    for number in range(1, count + 1):
        more = {"name": f"more-{number}", "host": f"h{number % 40}.example"}
        context.document["routes"].append({**first, **more, "pathPrefix": f"/more/{number}/"})
    context.content = json.dumps(context.document).encode()


@when("route {number:d} of it comes {spoiled}")
def spoil_route(context, number, spoiled):
    routes = context.document["routes"]
    match spoiled:
        case "without its host":
            del routes[number - 1]["host"]
        case "with a time-out of 0":
            routes[number - 1]["timeoutMs"] = 0
        case "as a bare text":
            routes[number - 1] = "more"
        case _:
            raise AssertionError(spoiled)
    context.content = json.dumps(context.document).encode()


@then("each of its routes is found by its own host and path")
def each_found(context):
    table = _table(context)
    for route in table.routes:
        assert table.match(route.host, f"{route.prefix}x") is route, route


@then("a path that none of them has is of no route")
def none_found(context):
    assert _table(context).match("h1.example", "/more/2000000/x") is None


# --- headers -------------------------------------------------------------------------------


@given("a client's request with the platform's headers")
def client_request(context):
    context.request = HttpRequest(b"POST", b"/x/y?z=1", HEADERS, b"body", 0.0)


@then(
    'its facts are id "{request}", host "{host}", path "{path}", {seconds:g} seconds '
    "and {parts:d} prompt parts"
)
def facts(context, request, host, path, seconds, parts):
    found = PlatformHeaders().describe(context.request)
    assert (found.request, found.host, found.path) == (request, host, path)
    assert (found.deadline_s, len(found.prompt)) == (seconds, parts)
    assert (found.prompt_tokens, found.answer_tokens) == (1460, 80)


@when(
    'the request is translated for runner "{runner}" with {seconds:g} seconds left '
    "behind event {event:d}"
)
def translate(context, runner, seconds, event):
    target = RunnerTarget(runner, "10.0.0.1:80")
    context.outgoing = PlatformHeaders().relayed(context.request, target, seconds, event, ANONYMOUS)


@then("the runner gets these fields")
def gets_fields(context):
    fields = [(n.decode(), v.decode()) for n, v in context.outgoing.headers]
    names = [name for name, _ in fields]
    assert len(names) == len(set(names)), names
    for row in context.table:
        value = dict(fields)[row["field"]]
        assert value.removesuffix(":80") == row["value"], row
    assert context.outgoing.target == b"/x/y?z=1"


@then('no field "{first}" and no field "{second}"')
def no_fields(context, first, second):
    names = {name.decode() for name, _ in context.outgoing.headers}
    assert not {first, second} & names, names


@given('an answer {status:d} with the fields "{text}"')
def answer_head(context, status, text):
    pairs = [each.partition(": ") for each in text.split("; ") if each]
    fields = tuple((name.encode(), value.encode()) for name, _, value in pairs)
    context.head = AnswerHead(status, fields)


@given('an answer {status:d} with the fields ""')
def answer_bare(context, status):
    context.head = AnswerHead(status, ())


@then('it is {verdict} for request "{request}"')
def judged(context, verdict, request):
    found = PlatformHeaders().judge(context.head, request)
    seen = (found.belongs, found.not_run, found.promises_not_run and not found.not_run)
    wanted = {
        "an answer": (True, False, False),
        "an answer to another": (False, False, False),
        "not run": (True, True, False),
        "an unkept promise": (True, False, True),
    }
    assert seen == wanted[verdict], found


# --- calls ---------------------------------------------------------------------------------


class _RecordingController:
    """Records the reports and deregistrations that a controller gets."""

    def __init__(self):
        self.reported = []
        self.gone = []
        self.versions = []
        self.reports = self

    def take_deregistration(self, runner, born=None):
        """Record a deregistration."""
        self.gone.append((runner, born))
        return succeed(Ok(None))

    def take(self, record, version):
        """Record a report and the version of the runner's software."""
        self.reported.append(record)
        self.versions.append(version)
        return succeed(Ok(None))


class _StandInJobs:
    """Replies in place of the ledger."""

    def __init__(self, answer):
        self.answer = answer
        self.handed_in = []
        self.intake = GatewayIntake(ClientBudget(lambda: 0.0))

    def submit(self, tenant, job, host, path, items, limit):
        """Record a job."""
        self.handed_in.append((job, items))
        self.limit = limit
        return succeed(self.answer)


class _StandInGateway:
    """Holds the handler that the adapter sets."""

    on_batch = None


def _exchange(target, body):
    request = HttpRequest(b"POST", target, HEADERS, body, 0.0)
    return StandInExchange(request, VirtualClock())


@when("a controller gets the heartbeat '{body}'")
def heartbeat(context, body):
    context.controller_calls = _RecordingController()
    context.exchange = _exchange(b"/api/Instances.Heartbeat/i-1", body.encode())
    control_handler(context.controller_calls)(context.exchange)


VALID_HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "stage": "both",
    "sequence": 4,
}


@when("a controller gets a runner's heartbeat in which {field} is {value}")
def heartbeat_with(context, field, value):
    fields = {name: json.dumps(each) for name, each in VALID_HEARTBEAT.items()}
    if value == "missing":
        del fields[field]
    else:
        fields[field] = value
    body = ",".join(f'"{name}":{text}' for name, text in fields.items())
    heartbeat(context, f"{{{body}}}")


@when("a controller gets a heartbeat of {kind}")
def heartbeat_of(context, kind):
    bodies = {
        "nothing": b"",
        "bytes that are no text": b"\xff\xfe\x00",
        "100000 opening brackets": b"[" * 100_000,
        "a number of 5000 digits": b"9" * 5000,
        "a text": b'"ready"',
    }
    context.controller_calls = _RecordingController()
    context.exchange = _exchange(b"/api/Instances.Heartbeat/i-1", bodies[kind])
    control_handler(context.controller_calls)(context.exchange)


@then("the report came with the runner's software version")
def report_with_version(context):
    (version,) = context.controller_calls.versions
    assert version == "v1", version


@then("the controller got a report of a runner born at {born:d}")
def got_born(context, born):
    (record,) = context.controller_calls.reported
    assert record.born == born, record


@when("that runner deregisters with its start time in the body")
def deregisters(context):
    _deregister(context, b'{"born":1796254995480}')


@when("that runner deregisters with an empty body")
def deregisters_with_empty_body(context):
    _deregister(context, b"")


@when('that runner deregisters with its start time written as the string "1796254995480"')
def deregisters_with_string(context):
    _deregister(context, b'{"born":"1796254995480"}')


def _deregister(context, body):
    context.exchange = _exchange(b"/api/Instances.Deregister/i-1", body)
    control_handler(context.controller_calls)(context.exchange)


@then("the controller got a deregistration of the incarnation born at {born:d}")
def got_gone(context, born):
    assert context.controller_calls.gone[-1] == ("i-1", born), context.controller_calls.gone


@then("the controller got a deregistration of the known incarnation")
def got_known_gone(context):
    assert context.controller_calls.gone[-1] == ("i-1", None), context.controller_calls.gone


@then("the call is answered {status:d}")
def answered(context, status):
    assert context.exchange.status == status, context.exchange


@then("the controller got no report")
def got_nothing(context):
    assert context.controller_calls.reported == []


def _hand_in(context, body, answer):
    gateway = _StandInGateway()
    context.jobs = _StandInJobs(answer)
    client_handler(gateway, context.jobs)
    context.exchange = _exchange(b"/jobs/1", body)
    shares = (ServiceShare("s", 1.0),)
    route = Route(
        "r", "h.example", "/jobs/", RouteKind.BATCH, shares, 30.0, 1.0, max_queued_tokens=500
    )
    facts = PlatformHeaders().describe(context.exchange.request)
    gateway.on_batch(context.exchange, route, facts, ANONYMOUS)


@when("a gateway gets the job '{body}'")
def gets_job(context, body):
    _hand_in(context, body.encode(), Ok(RelayedJobAccepted("9c41")))


@then('the answer\'s error has "{problem}"')
def error_has(context, problem):
    error = json.loads(context.exchange.body)["error"]
    assert problem in error, error


@then("no job was handed in")
def none_handed_in(context):
    assert context.jobs.handed_in == []


@when("a gateway gets a job, and the ledger's answer is {answer}")
def ledger_answers(context, answer):
    outcome = Outcome.UNKNOWN if answer == "unclear" else Outcome.NOT_RUN
    code = FaultCode.OVER_LIMIT if answer == "over the limit" else FaultCode.UNAVAILABLE
    fault = Fault(code, "test", "the leader's detail", outcome=outcome)
    result = Ok(RelayedJobAccepted("9c41")) if answer == "accepted" else Error(fault)
    body = (
        b'{"items":[{"id":"a","path":"/jobs/a","headers":{"Model":"m"},"body":"aGk=","tokens":3}]}'
    )
    _hand_in(context, body, result)
    (_, items) = context.jobs.handed_in[0]
    assert items[0].body == b"hi" and items[0].headers[0].value == "m"
    assert context.jobs.limit == QueueLimit("/jobs/", 500), context.jobs.limit


# --- settings ------------------------------------------------------------------------------

SETTINGS = """
[node]
name = "n-1"
role = "gateway"
ip = "10.0.0.1"
losses = 1

[peers]
first_port = 7000
last_port = 7009
seeds = ["10.0.0.2:80"]

[listen]
clients = "10.0.0.1:80"
"""


@given("a node's settings where {place} is {value}")
def node_settings(context, place, value):
    section, _, name = place.partition(".")
    values = tomllib.loads(SETTINGS)
    assert name in values[section]
    lines = SETTINGS.splitlines()
    context.settings_text = "\n".join(
        f"{name} = {value}" if line.startswith(f"{name} =") else line for line in lines
    )


@then('they are refused and the fault names "{place}"')
def settings_refused(context, place):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        path.write_text(SETTINGS)
        assert load_node_settings(path).is_ok(), load_node_settings(path)
        path.write_text(context.settings_text)
        loaded = load_node_settings(path)
    assert loaded.is_error() and loaded.error.code == FaultCode.INVALID, loaded
    assert place.split(".")[0] in loaded.error.detail, loaded.error
