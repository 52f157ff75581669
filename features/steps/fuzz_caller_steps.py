"""Steps that fuzz the caller API, the client of engines and the client of a replay."""

import http.client
import itertools
import json
import warnings

from behave import given, then, when
from features.support.caller_api import API_KEY, ServedApi
from features.support.fuzz import JSON, altered, changed_tree, dumped, fuzz, json_documents
from hypothesis import strategies

from rainsail.engine.interface import Chunk, EndReason, EngineAttemptEnd
from rainsail.engine.protocol import chunk_frame, decode_frame, end_frame
from rainsail.engine.sse import SseError, SseParser
from rainsail.errors import FaultCode, Outcome
from rainsail.experiment.answer_stream import AnswerStream, StreamEnd, fault_of
from rainsail.gateway.openai.headers import MAX_DEADLINE_S

COMPLETION = {
    "model": "reports",
    "prompt": "Where is MSKU 123456?",
    "max_tokens": 16,
    "stream": False,
    "seed": 4,
    "stream_options": {"include_usage": True},
}
CHAT = {
    "model": "reports",
    "messages": [
        {"role": "system", "content": "Answer briefly."},
        {"role": "user", "content": [{"type": "text", "text": "Where?"}]},
    ],
    "max_completion_tokens": 5,
    "stream": True,
}
BATCH = {
    "input_file_id": "file-1",
    "endpoint": "/v1/completions",
    "completion_window": "24h",
    "metadata": {"job_key": "night"},
}
LINE = {"custom_id": "a", "method": "POST", "url": "/v1/completions", "body": COMPLETION}
BODIES = {"/v1/completions": COMPLETION, "/v1/chat/completions": CHAT, "/v1/batches": BATCH}
FRAME = {
    "sequence": 0,
    "offset": 0,
    "tokens": 1,
    "choices": [{"index": 0, "text": "ab", "finish_reason": None}],
}
END = {
    "choices": [{"index": 0, "text": "", "finish_reason": "stop"}],
    "usage": {"prompt_tokens": 3, "completion_tokens": 2, "total_tokens": 5},
    "end": {"reason": "stop", "chunk_count": 2, "detail": "", "retry_after_s": 0.0},
}
REGRESSION_BODIES = ({"model": "\x00", "stream": True}, {"model": "\x00"})
"""Inputs that failed in longer fuzzing runs; every run starts with them."""
REGRESSION_FRAMES = tuple(
    dumped({**END, "end": {**END["end"], "chunk_count": count}}) for count in (float("inf"), "x")
)
REGRESSION_HOSTS = ("a..b", ".", "x" * 64)
BODY_LIMIT_BYTES = 20_000
PARSER_LIMIT_BYTES = 2_000
TIMEOUT_S = 20
BOUNDARY = "edge"


@given("a caller API for fuzzing that limits bodies to {count:d} bytes")
def step_api(context, count):
    context.api = ServedApi(
        max_request_bytes=count, max_file_bytes=count, max_stored_file_bytes=10 * count
    )
    context.add_cleanup(context.api.close)
    context.fuzz_calls = []
    context.fuzz_connection = connect(context)
    catcher = warnings.catch_warnings(record=True)
    context.fuzz_warnings = catcher.__enter__()
    warnings.simplefilter("always")
    context.add_cleanup(catcher.__exit__, None, None, None)


def connect(context):
    """Return a persistent connection to the API."""
    connection = http.client.HTTPConnection("127.0.0.1", context.api.port, timeout=TIMEOUT_S)
    context.add_cleanup(connection.close)
    return connection


def call(context, method, path, body=b"", headers=None):
    """Call the API and check its answer; return status and body."""
    sent = {"Authorization": f"Bearer {API_KEY}", "Content-Type": "application/json"}
    try:
        context.fuzz_connection.request(method, path, body, {**sent, **(headers or {})})
    except ValueError:
        return None, b""  # not a header or path that HTTP allows
    response = context.fuzz_connection.getresponse()
    content = response.read()
    check_answer(response, content)
    context.fuzz_calls.append(response.status)
    return response.status, content


def check_answer(response, content):
    """Check what must hold for every answer."""
    if response.status == 200:
        assert content or response.getheader("content-type") is not None
        return
    assert 400 <= response.status < 500 or response.status == 503, (response.status, content)
    if response.status == 405 and not content.startswith(b"{"):
        return
    error = json.loads(content)["error"]["rainsail"]
    assert error["step"] and error["code"] in list(FaultCode), content
    assert error["outcome"] in list(Outcome) and error["code"] != "internal", content


@when("{count:d} fuzzed bodies are posted to {path}")
def step_bodies(context, count, path):
    if path == "/v1/batches":
        uploaded = upload(context, dumped(LINE))
        BODIES[path]["input_file_id"] = json.loads(uploaded[1])["id"]
    for found in REGRESSION_BODIES:
        call(context, "POST", path, dumped({**BODIES[path], **found}))
    documents = json_documents(BODIES[path])
    fuzz(count, lambda body: call(context, "POST", path, body), documents)


@then("each fuzzed call was answered completely, or refused with a step and an outcome")
def step_answered(context):
    refused = [status for status in context.fuzz_calls if status != 200]
    assert len(refused) > 20, len(refused)
    assert len(refused) < len(context.fuzz_calls), "no call was accepted"
    for run in context.api.gateway.runs:
        request = run.request
        assert 0.0 <= request.deadline_s <= MAX_DEADLINE_S, request
        assert 0 < request.max_tokens <= 8192 and len(request.prompt) <= BODY_LIMIT_BYTES
        assert len(request.request_id + request.session + request.adapter) <= 3 * 253, request


@then("the fuzzed caller API still answers")
def step_alive(context):
    context.fuzz_connection = connect(context)
    status, body = call(context, "POST", "/v1/completions", dumped(COMPLETION))
    twice = [str(each.message) for each in context.fuzz_warnings if "twice" in str(each.message)]
    assert not twice, twice
    assert status == 200 and b"Reefer fine." in body, (status, body)


HEADER_VALUES = strategies.one_of(
    strategies.text(
        alphabet=strategies.characters(
            max_codepoint=255, exclude_categories=("Cc",), exclude_characters="\x85"
        ),
        max_size=20,
    ),
    strategies.sampled_from(
        ("", "online", "batch", "1e308", "-1", "nan", "inf", "0", "9" * 400, "x" * 300, "ü", "1_0")
    ),
)
HEADER_NAMES = (
    "X-Rainsail-Class",
    "X-Rainsail-Session",
    "X-Rainsail-Adapter",
    "X-Rainsail-Deadline",
    "Idempotency-Key",
    "Authorization",
    "Content-Type",
    "Host",
)


@when("{count:d} fuzzed sets of headers come with a completion")
def step_headers(context, count):
    sets = strategies.dictionaries(strategies.sampled_from(HEADER_NAMES), HEADER_VALUES, max_size=3)
    body = dumped(COMPLETION)
    for host in REGRESSION_HOSTS:
        call(context, "POST", "/v1/completions", body, {"Host": host})
    fuzz(count, lambda headers: call(context, "POST", "/v1/completions", body, headers), sets)


def form(content, purpose="batch"):
    """Return a multipart form."""
    lines = [
        f"--{BOUNDARY}",
        'Content-Disposition: form-data; name="purpose"',
        "",
        purpose,
        f"--{BOUNDARY}",
        'Content-Disposition: form-data; name="file"; filename="in.jsonl"',
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + content + f"\r\n--{BOUNDARY}--\r\n".encode()


def upload(context, content):
    """Upload a file."""
    headers = {"Content-Type": f"multipart/form-data; boundary={BOUNDARY}"}
    return call(context, "POST", "/v1/files", form(content), headers)


@when("{count:d} fuzzed forms are uploaded")
def step_forms(context, count):
    types = strategies.one_of(
        strategies.just(f"multipart/form-data; boundary={BOUNDARY}"),
        strategies.sampled_from(
            (
                "",
                "multipart/form-data",
                "multipart/form-data; boundary=",
                "text/plain",
                'multipart/form-data; boundary="',
                "multipart/form-data; boundary=" + "b" * 500,
            )
        ),
    )
    valid = form(dumped(LINE))
    many = form(b"").replace(b"--\r\n", b"\r\n") * 50
    forms = strategies.one_of(
        strategies.just(valid),
        altered(valid),
        strategies.binary(max_size=100),
        strategies.sampled_from((b"", many, form(b"x" * (BODY_LIMIT_BYTES + 5)), valid[:-4])),
    )

    def check(body, content_type):
        call(context, "POST", "/v1/files", body, {"Content-Type": content_type})

    fuzz(count, check, forms, types)


@when("{count:d} fuzzed input files are uploaded and made into batches")
def step_inputs(context, count):
    lines = strategies.one_of(
        strategies.just(dumped(LINE)),
        changed_tree(LINE).map(dumped),
        altered(dumped(LINE)),
        strategies.sampled_from((b"", b"\xff", b"[" * 5000, b"\x00", b"{}", b"\r")),
    )
    files = strategies.lists(lines, max_size=4).map(b"\n".join)

    def check(content):
        status, body = upload(context, content)
        if status == 200:
            batch = {**BATCH, "input_file_id": json.loads(body)["id"]}
            call(context, "POST", "/v1/batches", dumped(batch))

    fuzz(count, check, files)


PATH_PARTS = strategies.one_of(
    strategies.sampled_from(
        (
            "v1",
            "models",
            "files",
            "batches",
            "completions",
            "content",
            "cancel",
            "reports",
            "..",
            "file-output-job-1",
            "file-errors-",
            "%00",
            "%ff%fe",
            "%F0%9F%9A%A2",
            "",
            "a" * 500,
        )
    ),
    strategies.text(alphabet="abc%./?&=;*", max_size=6),
)


@when("{count:d} fuzzed paths are called with any method")
def step_paths(context, count):
    methods = strategies.sampled_from(("GET", "POST", "DELETE", "PUT", "PATCH", "OPTIONS", "BREW"))
    known = strategies.lists(PATH_PARTS, max_size=5).map(lambda parts: "/v1/" + "/".join(parts))

    def check(method, path):
        call(context, method, path, b"" if method in ("GET", "DELETE") else b"{}")

    call(context, "GET", "/v1/models")
    fuzz(count, check, methods, known)


@when("{size:d} MB are posted to the fuzzed caller API's completions")
def step_long(context, size):
    context.long_status = 0
    try:
        context.long_status, _ = call(
            context, "POST", "/v1/completions", b'"' + b"x" * (size * 1024 * 1024)
        )
    except (ConnectionError, http.client.HTTPException):
        context.long_status = -1


@then("the fuzzed caller API refused it, or closed the connection, without buffering it")
def step_refused_long(context):
    assert context.long_status in (413, 400, -1), context.long_status


# --- answers that the clients of engines and gateways read ----------------------------------------

VALID_STREAM = chunk_frame(Chunk("a", 0, 0, "ab", 1)) + end_frame(
    EngineAttemptEnd("a", EndReason.STOP, 1, 1, 1)
)
STREAMS = strategies.one_of(
    altered(VALID_STREAM),
    strategies.lists(
        strategies.sampled_from(
            (
                b"data: {}\n\n",
                b"data:x\r\n",
                b"\r\n",
                b"\n",
                b"\r",
                b":c\n",
                b"event: load\n",
                b"data",
                b"\xff",
                b"id: 4\n",
                b"data: " + b"y" * 2500 + b"\n",
                b"\x00",
            )
        ),
        max_size=12,
    ).map(b"".join),
    strategies.binary(max_size=80),
)


def events_of(parser, pieces):
    """Return the events parsed from pieces of a stream, or "too long" for a parser error."""
    found = []
    try:
        for piece in pieces:
            found += parser.feed(piece)
    except SseError:
        return "too long"
    return found


@when("{count:d} fuzzed streams of events are parsed whole and in pieces")
def step_sse(context, count):
    context.sse = []
    context.sse_buffered = 0

    def check(data, cuts):
        places = sorted({0, len(data), *[cut for cut in cuts if cut < len(data)]})
        pieces = [data[a:b] for a, b in itertools.pairwise(places)]
        parser = SseParser(PARSER_LIMIT_BYTES)
        in_pieces = events_of(parser, pieces)
        context.sse_buffered = max(
            context.sse_buffered, parser.pending_bytes if in_pieces != "too long" else 0
        )
        context.sse.append((events_of(SseParser(PARSER_LIMIT_BYTES), [data]), in_pieces))

    fuzz(count, check, STREAMS, strategies.lists(strategies.integers(0, 120), max_size=5))


@then("each fuzzed stream gave the same events, or the same error, both ways")
def step_same_events(context):
    assert sum(1 for whole, _ in context.sse if whole and whole != "too long") > 50
    for whole, in_pieces in context.sse:
        assert whole == in_pieces, (whole, in_pieces)


@then("no fuzzed parser buffered more than its limit")
def step_sse_bound(context):
    assert 0 < context.sse_buffered <= PARSER_LIMIT_BYTES + 1, context.sse_buffered


@when("{count:d} fuzzed frames of an engine's stream are decoded")
def step_frames(context, count):
    context.frames = []

    def check(data):
        try:
            context.frames.append(type(decode_frame("a", data)).__name__)
        except ValueError:
            context.frames.append("error")

    for data in REGRESSION_FRAMES:
        check(data)
    fuzz(count, check, strategies.one_of(json_documents(FRAME), json_documents(END)))


@then("each fuzzed frame was a chunk, an end or a value error")
def step_frame_kinds(context):
    assert set(context.frames) == {"Chunk", "EngineAttemptEnd", "error"}, set(context.frames)


@when("{count:d} fuzzed streams and error bodies reach the replay's client")
def step_replay_client(context, count):
    context.answers = []
    part = {"choices": [{"text": "ab"}]}
    error = {
        "error": {
            "rainsail": {
                "code": "invalid",
                "step": "s",
                "detail": "d",
                "peer": "",
                "outcome": "not_run",
                "retry_after_s": None,
            }
        }
    }
    events = strategies.one_of(
        changed_tree(part).map(dumped), changed_tree(error).map(dumped), JSON.map(dumped)
    )

    def check(data):
        fault = fault_of(500, data)
        assert fault.step and fault.outcome in list(Outcome), fault
        assert fault.retry_after_s is None or 0 <= fault.retry_after_s <= 3600, fault
        stream = AnswerStream(StreamEnd(), lambda: 1.0)
        try:
            stream.feed(b"data: " + data + b"\n\n")
            context.answers.append("accepted")
        except ValueError:
            context.answers.append("refused")

    for found in ({"step": ""}, {"retry_after_s": -1}, {"retry_after_s": "x"}, {"outcome": 3}):
        typed = {**error["error"]["rainsail"], **found}
        check(dumped({"error": {"rainsail": typed}}))
    fuzz(count, check, events)


@then("each fuzzed answer was accepted or refused with a value error")
def step_taken(context):
    assert set(context.answers) == {"accepted", "refused"}, set(context.answers)
