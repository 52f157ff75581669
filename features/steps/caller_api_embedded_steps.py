"""Steps of the OpenAI client against a fleet that ``rainsail up`` runs."""

import importlib
import json
import re
import urllib.error
import urllib.request

from behave import then, when
from features.support.embedded_fleet import OPERATOR_KEY, SERVICE, TENANT_KEYS

from rainsail.emulator.answers import expected_answer

KEY = TENANT_KEYS["exporter"]
QUESTION = "Where is container TRKU700100?"
BATCH_KEY = "live-batch"
ITEM_TOKENS = 16


def _openai():
    return importlib.import_module("openai")


def _client(context):
    if getattr(context, "live_client", None) is None:
        base = f"http://{context.live_fleet.caller}/v1"
        context.live_client = _openai().OpenAI(api_key=KEY, base_url=base, timeout=30.0)
        context.add_cleanup(context.live_client.close)
    return context.live_client


def _messages():
    return [{"role": "user", "content": QUESTION}]


def _chat_answer(tokens):
    return expected_answer(SERVICE, f"<|user|>\n{QUESTION}\n<|assistant|>\n", tokens, 0)


@then('the live OpenAI client lists the models "{names}"')
def live_models(context, names):
    found = [model.id for model in _client(context).models.list()]
    assert found == names.split(), found


@then('a live completion of {tokens:d} tokens is complete, with usage and the outcome "{outcome}"')
def live_completion(context, tokens, outcome):
    raw = _client(context).completions.with_raw_response.create(
        model=SERVICE, prompt=QUESTION, max_tokens=tokens
    )
    answer = raw.parse()
    assert answer.choices[0].text == expected_answer(SERVICE, QUESTION, tokens, 0), answer
    assert answer.usage.completion_tokens == tokens, answer.usage
    assert raw.headers["x-rainsail-outcome"] == outcome, raw.headers


@then("a live streamed completion of {tokens:d} tokens comes in parts and is complete")
def live_stream(context, tokens):
    stream = _client(context).completions.create(
        model=SERVICE, prompt=QUESTION, max_tokens=tokens, stream=True
    )
    parts = [chunk.choices[0].text for chunk in stream if chunk.choices]
    assert len([part for part in parts if part]) > 1, parts
    assert "".join(parts) == expected_answer(SERVICE, QUESTION, tokens, 0), parts


@then("a live chat of {tokens:d} tokens is complete")
def live_chat(context, tokens):
    answer = _client(context).chat.completions.create(
        model=SERVICE, messages=_messages(), max_tokens=tokens
    )
    assert answer.choices[0].message.content == _chat_answer(tokens), answer


@then("a live streamed chat of {tokens:d} tokens comes in parts and is complete")
def live_chat_stream(context, tokens):
    stream = _client(context).chat.completions.create(
        model=SERVICE, messages=_messages(), max_tokens=tokens, stream=True
    )
    parts = [chunk.choices[0].delta.content for chunk in stream if chunk.choices]
    parts = [part for part in parts if part]
    assert len(parts) > 1, parts
    assert "".join(parts) == _chat_answer(tokens), parts


# --- batches ------------------------------------------------------------------------------------


def _input_file(count):
    lines = [
        {
            "custom_id": f"seal-{index}",
            "method": "POST",
            "url": "/v1/completions",
            "body": {"model": SERVICE, "prompt": f"seal {index}", "max_tokens": ITEM_TOKENS},
        }
        for index in range(count)
    ]
    return "\n".join(json.dumps(line) for line in lines).encode()


def _create(context, count, job_key):
    client = _client(context)
    file = client.files.create(file=("items.jsonl", _input_file(count)), purpose="batch")
    return client.batches.create(
        input_file_id=file.id,
        endpoint="/v1/completions",
        completion_window="24h",
        extra_headers={"Idempotency-Key": job_key},
    )


@when("the live OpenAI client uploads a file of {count:d} completions and creates a batch of it")
def live_batch(context, count):
    context.live_items = count
    context.live_batch = _create(context, count, f"{BATCH_KEY}-{count}")


@then("the live batch completes with {completed:d} of {count:d} items")
def live_batch_completes(context, completed, count):
    def is_completed():
        context.live_batch = _client(context).batches.retrieve(context.live_batch.id)
        return context.live_batch.status == "completed"

    context.live_fleet.wait_until(is_completed, "the batch is completed")
    counts = context.live_batch.request_counts
    assert (counts.completed, counts.total, counts.failed) == (completed, count, 0), counts


def _read_output(context):
    text = _client(context).files.content(context.live_batch.output_file_id).text
    return [json.loads(line) for line in text.splitlines()]


@then("the live batch's output has each of the {count:d} items once with its complete answer")
def live_output(context, count):
    context.live_output = _read_output(context)
    answers = [
        (line["custom_id"], line["response"]["body"]["choices"][0]["text"])
        for line in context.live_output
    ]
    expected = [
        (f"seal-{index}", expected_answer(SERVICE, f"seal {index}", ITEM_TOKENS, 0))
        for index in range(count)
    ]
    assert sorted(answers) == sorted(expected), answers


@then("the live batch's output reads the same a second time")
def live_output_again(context):
    assert _read_output(context) == context.live_output


@then("creating the live batch again under its key gives the same batch")
def live_batch_again(context):
    again = _create(context, context.live_items, f"{BATCH_KEY}-{context.live_items}")
    assert again.id == context.live_batch.id, again


@then("another file under the live batch's key is a conflict")
def live_batch_conflict(context):
    try:
        _create(context, context.live_items + 1, f"{BATCH_KEY}-{context.live_items}")
    except _openai().ConflictError as error:
        assert error.body["rainsail"]["code"] == "conflict", error.body
        return
    raise AssertionError("the other file was accepted")


@when("the live OpenAI client cancels the batch")
def live_cancel(context):
    _client(context).batches.cancel(context.live_batch.id)


@then('the live batch\'s status is "{status}" and stays so')
def live_status(context, status):
    first = _client(context).batches.retrieve(context.live_batch.id)
    second = _client(context).batches.retrieve(context.live_batch.id)
    assert (first.status, second.status) == (status, status), (first, second)
    assert first.request_counts == second.request_counts, (first, second)


# --- at most once, refusals ---------------------------------------------------------------------


def _executions(context):
    text = context.live_fleet.get("/metrics")[1]
    found = re.findall(r"^rainsail_engine_executions\{.*\} (\S+)$", text, re.MULTILINE)
    assert found, text
    return sum(float(value) for value in found)


@when("the live OpenAI client sends a non-repeatable completion twice under one idempotency key")
def live_ping(context):
    context.executions_before = _executions(context)
    headers = {"X-Rainsail-Class": "non_repeatable", "Idempotency-Key": "ping-1"}
    context.live_answers = [
        _client(context).completions.create(
            model=SERVICE, prompt="Position of the box", max_tokens=4, extra_headers=headers
        )
        for _ in range(2)
    ]


@then("both sends of the live ping have the same answer")
def live_ping_answers(context):
    first, second = (answer.choices[0].text for answer in context.live_answers)
    assert first == second == expected_answer(SERVICE, "Position of the box", 4, 0)


@then('the fleet\'s engines began the ping "{request_id}" once')
def live_ping_once(context, request_id):
    assert _executions(context) - context.executions_before == 1


def _post(context, path, data):
    context.executions_before = _executions(context)
    context.jobs_before = context.live_fleet.get(
        "/v1/jobs", context.live_fleet.operator, OPERATOR_KEY
    )
    headers = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
    url = f"http://{context.live_fleet.caller}{path}"
    try:
        with urllib.request.urlopen(urllib.request.Request(url, data, headers)) as answer:
            context.live_refusal = answer.status, json.loads(answer.read())
    except urllib.error.HTTPError as error:
        context.live_refusal = error.code, json.loads(error.read())


@when("a live caller posts a completion with a prompt of {count:d} characters")
def live_long_prompt(context, count):
    _post(
        context, "/v1/completions", json.dumps({"model": SERVICE, "prompt": "x" * count}).encode()
    )


@when("a live caller posts {body} to {path}")
def live_post(context, body, path):
    _post(context, path, body.encode())


@then('the live caller gets status {status:d} at step "{step}" as not run')
def live_refused(context, status, step):
    got, body = context.live_refusal
    typed = body["error"]["rainsail"]
    assert (got, typed["step"], typed["outcome"]) == (status, step, "not_run"), (got, body)
    assert typed["detail"], body


@then("the fleet has no further job and no further execution")
def nothing_queued(context):
    fleet = context.live_fleet
    assert _executions(context) == context.executions_before
    assert fleet.get("/v1/jobs", fleet.operator, OPERATOR_KEY) == context.jobs_before
