"""Steps of the caller API's online requests."""

import http.client
import json
import socket

from behave import given, then, when
from features.support.caller_api import (
    API_KEY,
    make_client,
    openai,
    raw_post,
    serve,
)
from features.support.reactor_thread import in_reactor, wait_until
from hypothesis import given as any_of
from hypothesis import settings, strategies

from rainsail.errors import Fault, FaultCode, Outcome

SERVICE = "reports"
PART = "lorem " * 2000
FUZZ_EXAMPLES = 60


def open_stream(context):
    """Start a streamed completion on a plain socket with a small receive buffer."""
    body = json.dumps({"model": SERVICE, "prompt": "x", "stream": True}).encode()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.settimeout(20)
    sock.connect(("127.0.0.1", context.api.port))
    head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {API_KEY}\r\n"
    sock.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    wait_until(lambda: len(context.api.gateway.runs) == 1, "the request reached the gateway")
    return sock


@given("a caller API over a gateway double")
def serve_default(context):
    serve(context)


@given("a caller API that takes bodies of at most {size:d} bytes")
def serve_bounded(context, size):
    serve(context, max_request_bytes=size, max_file_bytes=size)


@given("the caller API has read no configuration yet")
def config_not_ready(context):
    context.api.config.is_ready = False


@given("the gateway double answers with a fault {code} of outcome {outcome} and retry after 1.5 s")
def script_fault(context, code, outcome):
    fault = Fault(FaultCode(code), "gateway.test", "on purpose", "", Outcome(outcome), 1.5)
    context.api.gateway.script = lambda run: run.sink.on_fault(fault)


@given('the gateway double sends "{text}" and then a fault unknown')
def script_late_fault(context, text):
    fault = Fault(FaultCode.UNAVAILABLE, "gateway.test", "engine died", "", Outcome.UNKNOWN)

    def script(run):
        run.sink.on_part(text, 1)
        run.sink.on_fault(fault)

    context.api.gateway.script = script


@given("the gateway double leaves requests open")
def script_nothing(context):
    context.api.gateway.script = lambda run: None


@when("the OpenAI client lists the models")
def list_models(context):
    context.models = [model.id for model in context.client.models.list()]


@then('the caller API listed the models "{names}"')
def models_listed(context, names):
    assert context.models == names.split(","), context.models
    assert context.client.models.retrieve(names).id == names


@when('the OpenAI client asks for a completion of "{prompt}"')
def ask_completion(context, prompt):
    raw = context.client.completions.with_raw_response.create(model=SERVICE, prompt=prompt)
    context.outcome = raw.headers["x-rainsail-outcome"]
    context.completion = raw.parse()


@then('the completion reads "{text}"')
def completion_reads(context, text):
    assert context.completion.choices[0].text == text
    assert context.completion.choices[0].finish_reason == "stop"


@then("the completion reports {prompt:d} prompt tokens and {answer:d} completion tokens")
def completion_usage(context, prompt, answer):
    usage = context.completion.usage
    assert (usage.prompt_tokens, usage.completion_tokens) == (prompt, answer), usage


@then('the caller API reported the outcome "{outcome}"')
def reported_outcome(context, outcome):
    assert context.outcome == outcome


@then('the gateway double saw the prompt "{prompt}" of tenant "{tenant}"')
def saw_prompt(context, prompt, tenant):
    request = context.api.gateway.runs[-1].request
    assert (request.prompt, request.tenant) == (prompt, tenant), request


@when('the OpenAI client streams a completion of "{prompt}"')
def stream_completion(context, prompt):
    stream = context.client.completions.create(
        model=SERVICE, prompt=prompt, stream=True, stream_options={"include_usage": True}
    )
    chunks = list(stream)
    context.parts = [c.choices[0].text for c in chunks if c.choices and c.choices[0].text]
    context.finish = [c.choices[0].finish_reason for c in chunks if c.choices][-1]
    context.total_tokens = chunks[-1].usage.total_tokens


@then('the streamed parts were "{parts}"')
def streamed_parts(context, parts):
    assert context.parts == parts.split("|"), context.parts


@then('the stream ended with finish reason "{reason}" and {tokens:d} total tokens')
def stream_end(context, reason, tokens):
    assert (context.finish, context.total_tokens) == (reason, tokens)


@when('the OpenAI client chats "{text}"')
def chat(context, text):
    context.chat = context.client.chat.completions.create(
        model=SERVICE, messages=[{"role": "user", "content": text}], max_completion_tokens=9
    )


@then('the chat answer reads "{text}"')
def chat_reads(context, text):
    assert context.chat.choices[0].message.content == text
    assert context.chat.choices[0].message.role == "assistant"


@then('the gateway double saw the prompt of a chat with "{text}"')
def saw_chat_prompt(context, text):
    request = context.api.gateway.runs[-1].request
    assert request.prompt == f"<|user|>\n{text}\n<|assistant|>\n", request.prompt
    assert request.max_tokens == 9


@when('the OpenAI client streams a chat "{text}"')
def stream_chat(context, text):
    stream = context.client.chat.completions.create(
        model=SERVICE, messages=[{"role": "user", "content": text}], stream=True
    )
    deltas = [chunk.choices[0].delta for chunk in stream]
    assert deltas[0].role == "assistant"
    context.parts = [delta.content for delta in deltas if delta.content]


@when(
    'the OpenAI client asks with class "{class_}", session "{session}", deadline "{deadline}" '
    'and idempotency key "{key}"'
)
def ask_with_headers(context, class_, session, deadline, key):
    headers = {
        "X-Rainsail-Class": class_,
        "X-Rainsail-Session": session,
        "X-Rainsail-Deadline": deadline,
        "Idempotency-Key": key,
    }
    context.client.completions.create(model=SERVICE, prompt="x", extra_headers=headers)


@then(
    'the gateway double saw class "{class_}", session "{session}", deadline {deadline:g} '
    'and request id "{key}"'
)
def saw_headers(context, class_, session, deadline, key):
    request = context.api.gateway.runs[-1].request
    seen = (request.class_, request.session, request.deadline_s, request.request_id)
    assert seen == (class_, session, deadline, key), seen


@when("the OpenAI client asks for a completion that fails")
def ask_failing(context):
    try:
        context.client.completions.create(model=SERVICE, prompt="x")
    except openai.APIStatusError as error:
        context.error = error
    else:
        raise AssertionError("the completion did not fail")


@then("the caller API answered status {status:d} with outcome {outcome} and should-retry {retry:w}")
def answered_status(context, status, outcome, retry):
    headers = context.error.response.headers
    seen = (context.error.status_code, headers["x-rainsail-outcome"], headers["x-should-retry"])
    assert seen == (status, outcome, retry), seen
    assert context.error.body["rainsail"]["outcome"] == outcome, context.error.body


@then("the caller API answered with retry-after {seconds}")
def answered_retry_after(context, seconds):
    assert context.error.response.headers["retry-after"] == seconds


@when("the OpenAI client streams a completion that fails")
def stream_failing(context):
    context.parts = []
    context.error = None
    try:
        for chunk in context.client.completions.create(model=SERVICE, prompt="x", stream=True):
            context.parts.append(chunk.choices[0].text)
    except openai.APIError as error:
        context.error = error


@then('the OpenAI client raised an error after "{text}"')
def raised_after(context, text):
    assert context.parts == [text], context.parts
    assert context.error is not None and "engine died" in str(context.error), context.error


@when('the OpenAI client asks with the key "{key}"')
def ask_with_key(context, key):
    try:
        make_client(context, key).completions.create(model=SERVICE, prompt="x")
    except openai.AuthenticationError as error:
        context.error = error
    else:
        raise AssertionError("the key was accepted")


@then("the OpenAI client got an authentication error")
def got_authentication_error(context):
    assert context.error.status_code == 401


@when("a raw caller posts {body} to {path}")
def post_raw(context, body, path):
    raw_post(context, path, body.encode())


@then('the raw caller gets status {status:d} at step "{step}" naming "{detail}"')
def raw_refused(context, status, step, detail):
    error = context.raw_body["error"]
    assert context.raw_status == status, (context.raw_status, error)
    assert error["rainsail"]["step"] == step, error
    assert detail in error["message"], error
    assert error["rainsail"]["outcome"] == "not_run", error


@then("the gateway double saw no request")
def saw_nothing(context):
    assert context.api.gateway.runs == []


@when('a raw caller posts a completion with header "{name}: {value}"')
def post_with_header(context, name, value):
    body = json.dumps({"model": SERVICE, "prompt": "x"}).encode()
    raw_post(context, "/v1/completions", body, {name: value})


@when("a raw caller posts a completion with a prompt of {length:d} characters")
def post_long(context, length):
    body = json.dumps({"model": SERVICE, "prompt": "x" * length}).encode()
    raw_post(context, "/v1/completions", body)


@when("a raw caller announces a body of {length:d} bytes")
def announce_long(context, length):
    exchange_raw(context, f"Content-Length: {length}\r\n\r\n".encode())


@when("a raw caller sends chunks without an end")
def send_endless_chunks(context):
    chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
    exchange_raw(context, b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 2)


def exchange_raw(context, rest):
    """Send a request that never ends and read the answer until the server closes."""
    with socket.create_connection(("127.0.0.1", context.api.port), timeout=20) as sock:
        head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {API_KEY}\r\n"
        sock.sendall(head.encode() + rest)
        response = http.client.HTTPResponse(sock, method="POST")
        response.begin()
        context.raw_status = response.status
        context.raw_body = json.loads(response.read())


@when("a raw caller starts a streamed completion and leaves")
def start_and_leave(context):
    open_stream(context).close()


@then('the gateway double\'s request got the call "{what}"')
def got_call(context, what):
    run = context.api.gateway.runs[0]
    wait_until(lambda: what in run.calls, f"the call {what}")


@when("a raw caller starts a streamed completion and stops reading")
def start_and_stop_reading(context):
    context.sock = open_stream(context)
    context.add_cleanup(context.sock.close)


@when("the gateway double sends parts until it is paused")
def send_until_paused(context):
    run = context.api.gateway.runs[0]
    context.sent_parts = 0

    def send_next():
        run.sink.on_part(f"{context.sent_parts:06d}{PART}", 1)
        context.sent_parts += 1

    def paused():
        if "pause" not in run.calls:
            in_reactor(send_next)
        return "pause" in run.calls

    wait_until(paused, "the request is paused")
    assert "unpause" not in run.calls


@then("the raw caller reads on and the gateway double is unpaused")
def read_on(context):
    run = context.api.gateway.runs[0]
    context.received = b""

    def unpaused():
        context.received += context.sock.recv(65536)
        return "unpause" in run.calls

    wait_until(unpaused, "the request is unpaused")


@then("the raw caller gets every part in order")
def every_part(context):
    run = context.api.gateway.runs[0]
    in_reactor(run.answer, ())

    def done():
        context.received += context.sock.recv(65536)
        return b"data: [DONE]" in context.received

    wait_until(done, "the stream ends")
    frames = [f for f in context.received.split(b"data: ") if f.startswith(b'{"id"')]
    numbers = [f.split(b'"text":"')[1][:6] for f in frames[:-1]]
    assert numbers == [f"{i:06d}".encode() for i in range(context.sent_parts)], numbers


@then(
    "whatever JSON is posted to the completions, the caller API answers without an internal error"
)
def fuzz_bodies(context):
    scalars = strategies.one_of(
        strategies.none(), strategies.booleans(), strategies.integers(), strategies.text()
    )
    values = strategies.recursive(
        scalars | strategies.floats(allow_nan=False),
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3)
        ),
        max_leaves=8,
    )
    names = ["model", "prompt", "messages", "max_tokens", "stream", "seed", "stop", "n"]
    bodies = strategies.dictionaries(strategies.sampled_from(names), values) | values
    paths = strategies.sampled_from(["/v1/completions", "/v1/chat/completions", "/v1/batches"])

    @settings(max_examples=FUZZ_EXAMPLES, derandomize=True, deadline=None, database=None)
    @any_of(bodies, paths)
    def check(body, path):
        before = len(context.api.gateway.runs)
        try:
            raw_post(context, path, json.dumps(body).encode())
        except json.JSONDecodeError:
            assert body["stream"] is True
        submitted = len(context.api.gateway.runs) - before
        assert context.raw_status in (200, 400), (context.raw_status, context.raw_body)
        assert submitted == (1 if context.raw_status == 200 else 0)

    check()
