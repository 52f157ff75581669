"""Steps of the operator API over HTTP."""

import json

from behave import given, then, when
from features.support.control import WATCH_BUFFER_EVENTS, HttpConnection

from rainsail.state.commands import PutResource


@given("an operator's HTTP connection to replica {name} of the control fleet")
def step_connection(context, name):
    update = {"watch_buffer_events": WATCH_BUFFER_EVENTS, "max_body_bytes": 4000}
    context.fleet.settings = context.fleet.settings.model_copy(update=update)
    context.replica = name
    context.http = HttpConnection(context.fleet, name, "key")


def ask(context, method, path, body=None):
    """Send a request and store its response."""
    context.status, raw = context.http.request(method, path, body)
    context.raw = raw
    context.body = json.loads(raw) if raw.startswith(b"{") else None


@when("the operator {method:w}s {path} with {body}")
def step_ask_with(context, method, path, body):
    ask(context, method.removesuffix("e"), path, body.encode())


@when("the operator GETs {path}")
def step_get(context, path):
    ask(context, "GET", path)


@when('the operator\'s key is "{key}" and the operator GETs {path}')
def step_get_with_key(context, key, path):
    context.http = HttpConnection(context.fleet, context.replica, key)
    ask(context, "GET", path)


def pick(body, path):
    """Return the value under a dotted path."""
    for part in path.split("."):
        body = body[int(part)] if isinstance(body, list) else body[part]
    return body


@then("the operator API answers {status:d} with {path} = {value}")
def step_answers(context, status, path, value):
    assert context.status == status, (context.status, context.raw)
    assert pick(context.body, path) == json.loads(value), context.raw


@then('the operator API\'s error names "{detail}"')
def step_names(context, detail):
    assert detail in context.body["error"]["detail"], context.raw


@then('the operator API\'s answer contains "{text}"')
def step_contains(context, text):
    assert text.encode() in context.raw


@when("the operator PUTs a body over the size limit to the operator API")
def step_large(context):
    body = {"spec": {"active_version": "v" * 5000}}
    ask(context, "PUT", "/v1/resources/Service/assistant", body)


JOB = {
    "job_key": "night",
    "service": "assistant",
    "deadline_s": 600.0,
    "items": [{"custom_id": f"i{n}", "prompt": "p", "max_tokens": 5} for n in range(3)],
}


@when('a job of tenant "{tenant}" is posted to the operator API')
def step_post_job(context, tenant):
    ask(context, "POST", "/v1/jobs", {**JOB, "tenant": tenant})


@when('the operator\'s key is "{key}" and a job of tenant "{tenant}" is posted to the operator API')
def step_post_job_with_key(context, key, tenant):
    context.http = HttpConnection(context.fleet, context.replica, key)
    ask(context, "POST", "/v1/jobs", {**JOB, "tenant": tenant})


@when("the job is cancelled over the operator API")
def step_cancel(context):
    context.job_id = context.body["jobs"][0]["job_id"]
    ask(context, "POST", f"/v1/jobs/{context.job_id}/cancel", {"change_id": "stop"})


@when("the job's results are read from the operator API {limit:d} at a time")
def step_results(context, limit):
    context.rows = []
    first = 0
    while first >= 0:
        ask(context, "GET", f"/v1/jobs/{context.job_id}/results?first={first}&limit={limit}")
        assert len(context.body["rows"]) <= limit
        context.rows += context.body["rows"]
        first = context.body["next_index"]


@then("the operator API has given {count:d} rows in index order")
def step_rows(context, count):
    assert [row["index"] for row in context.rows] == list(range(count))


@when("the operator watches over the operator API")
def step_watch(context):
    context.since = context.fleet.groups[context.replica].state.revision
    context.http.send("GET", f"/v1/watch?revision={context.since}&kinds=Service")
    assert len(context.http.api.watches) == 1


def changes(context):
    """Return the revisions of the changes that the watch has sent."""
    lines = context.http.watch_lines()
    return [line["revision"] for line in lines if line["type"] in ("put", "deleted")]


@then("the operator API's watch has {count:d} changes in order")
def step_changes(context, count):
    context.fleet.clock.advance(0.1)
    assert changes(context) == list(range(context.since + 1, context.since + 1 + count))


@when("the operator's connection stops reading and {count:d} services are put in the control fleet")
def step_stop_reading(context, count):
    context.http.transport.producer.pauseProducing()
    for number in range(count):
        change = context.fleet.change(f"slow-{number}")
        assert isinstance(change, PutResource)
        context.fleet.finish(context.fleet.leader.propose(change))
    context.fleet.clock.advance(0.1)


@then('the operator API\'s watch ends with a "{kind}" line and the connection is closed')
def step_cut(context, kind):
    lines = context.http.watch_lines()
    assert lines[-1]["type"] == kind, lines[-1]
    assert len(context.http.api.watches) == 0
    context.fleet.clock.advance(5.0)
    assert not context.http.transport.connected


@when("the operator's connection is lost")
def step_lost(context):
    context.http.transport.loseConnection()


@then("the operator API has no watcher")
def step_no_watcher(context):
    assert len(context.http.api.watches) == 0


@when("every replica of the control fleet but {name} is cut off")
def step_cut_others(context, name):
    for other in context.fleet.groups:
        if other != name:
            context.fleet.cut_off(other)


@then("the operator API answers 503 or 504 with an unknown outcome")
def step_no_leader(context):
    assert context.status in (503, 504), context.raw
    assert context.body["error"]["outcome"] in ("unknown", "not_run")
    assert context.body["error"]["outcome"] == "unknown", "attempts were sent and lost"
