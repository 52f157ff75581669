"""Steps of the caller API's files and batches."""

import json

from behave import given, then, when
from features.support.caller_api import OTHER_KEY, make_client, openai, raw_post, serve


def line(index):
    """Return a line of an input file."""
    body = {"model": "reports", "prompt": f"seal {index}", "max_tokens": 20}
    request = {"custom_id": f"item-{index}", "method": "POST", "url": "/v1/completions"}
    return json.dumps({**request, "body": body})


def upload(context, content):
    """Upload a file with the OpenAI client."""
    context.content = content
    context.file = context.client.files.create(file=("input.jsonl", content), purpose="batch")


def create(context, **extra):
    """Create a batch of the uploaded file."""
    return context.client.batches.create(
        input_file_id=context.file.id,
        endpoint="/v1/completions",
        completion_window="24h",
        **extra,
    )


def is_missing(call):
    """Return whether a call fails as not found."""
    try:
        call()
    except openai.NotFoundError:
        return True
    return False


@when("the OpenAI client uploads a batch file of {count:d} completions")
def upload_lines(context, count):
    upload(context, "\n".join(line(index) for index in range(count)).encode())


@when("the OpenAI client uploads a batch file with the second line {text}")
def upload_wrong(context, text):
    upload(context, f"{line(0)}\n{text}\n".encode())


@when("the OpenAI client creates a batch of the file")
def create_batch(context):
    context.batch = create(context)


@when("the OpenAI client creates a batch of the file again")
def create_again(context):
    context.second = create(context)


@then("both creations name the same batch")
def same_batch(context):
    assert context.batch.id == context.second.id
    assert len(context.api.intake.jobs_by_id) == 1


@when("the OpenAI client creates a batch of the file under the first one's job key")
def create_conflicting(context):
    key = context.batch.metadata["job_key"]
    try:
        create(context, metadata={"job_key": key})
    except openai.ConflictError as error:
        context.error = error
    else:
        raise AssertionError("other content was accepted under the same key")


@then("the OpenAI client got a conflict")
def got_conflict(context):
    assert context.error.body["code"] == "conflict"


@then("the batch is completed with {total:d} items, {completed:d} completed and {failed:d} failed")
def batch_counts(context, total, completed, failed):
    batch = context.client.batches.retrieve(context.batch.id)
    counts = batch.request_counts
    assert batch.status == "completed", batch
    assert (counts.total, counts.completed, counts.failed) == (total, completed, failed), counts


@then("the batch's output file has {count:d} lines in order with the right answers")
def output_lines(context, count):
    text = context.client.files.content(context.batch.output_file_id).text
    lines = [json.loads(each) for each in text.splitlines()]
    indexes = [index for index in range(count + 1) if index != 1]
    assert [each["custom_id"] for each in lines] == [f"item-{index}" for index in indexes]
    for index, each in zip(indexes, lines, strict=True):
        choice = each["response"]["body"]["choices"][0]
        assert choice["text"] == choice["message"]["content"] == f"did seal {index}"


@then('the batch\'s error file names the item "{name}"')
def error_lines(context, name):
    text = context.client.files.content(context.batch.error_file_id).text
    lines = [json.loads(each) for each in text.splitlines()]
    assert [each["custom_id"] for each in lines] == [name], lines
    assert lines[0]["error"]["message"] == "poison"


@then("the results were read in {count:d} pages or more a file")
def pages_read(context, count):
    assert context.api.intake.pages >= 2 * count, context.api.intake.pages


@then("the OpenAI client finds the batch in its list")
def finds_batch(context):
    assert [batch.id for batch in context.client.batches.list()] == [context.batch.id]


@then("another tenant's OpenAI client does not find the batch")
def other_misses_batch(context):
    other = make_client(context, OTHER_KEY)
    assert list(other.batches.list()) == []
    assert is_missing(lambda: other.batches.retrieve(context.batch.id))
    assert is_missing(lambda: other.files.content(context.batch.output_file_id))


@when("the OpenAI client cancels the batch")
def cancel_batch(context):
    context.batch = context.client.batches.cancel(context.batch.id)


@then('the batch\'s status is "{status}"')
def batch_status(context, status):
    assert context.batch.status == status
    assert context.client.batches.retrieve(context.batch.id).status == status


@then("the uploaded file reads back as it was sent")
def reads_back(context):
    assert context.client.files.content(context.file.id).content == context.content
    assert context.client.files.retrieve(context.file.id).bytes == len(context.content)
    assert [file.id for file in context.client.files.list()] == [context.file.id]


@then("another tenant's OpenAI client does not find the file")
def other_misses_file(context):
    other = make_client(context, OTHER_KEY)
    assert is_missing(lambda: other.files.content(context.file.id))


@when("the OpenAI client deletes the file")
def delete_file(context):
    assert context.client.files.delete(context.file.id).deleted


@then("the OpenAI client does not find the file")
def misses_file(context):
    assert is_missing(lambda: context.client.files.retrieve(context.file.id))


@when("the OpenAI client creates a batch of the file that is refused")
def create_refused(context):
    try:
        create(context)
    except openai.BadRequestError as error:
        context.error = error
    else:
        raise AssertionError("the batch was accepted")


@then('the refusal names "{detail}"')
def refusal_names(context, detail):
    assert detail in str(context.error), context.error
    assert context.error.response.headers["x-rainsail-outcome"] == "not_run"


@then("the intake double has no jobs")
def no_jobs(context):
    assert context.api.intake.jobs_by_id == {}


@when("a raw caller posts a form without a file")
def form_without_file(context):
    body = b'--b\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n--b--\r\n'
    raw_post(context, "/v1/files", body, {"Content-Type": "multipart/form-data; boundary=b"})


@when("a raw caller posts a broken form")
def broken_form(context):
    body = b'--b\r\nContent-Disposition: form-data; name="file"\r\n\r\nno end'
    raw_post(context, "/v1/files", body, {"Content-Type": "multipart/form-data; boundary=b"})


@given("a caller API that keeps at most {size:d} bytes of files")
def serve_small_store(context, size):
    serve(context, max_stored_file_bytes=size)


@when("the OpenAI client uploads files of 400, 400 and 400 bytes")
def upload_three(context):
    context.file_ids = []
    for _ in range(3):
        upload(context, b"x" * 400)
        context.file_ids.append(context.file.id)


@then("only the last {count:d} files are kept")
def last_kept(context, count):
    kept = [file.id for file in context.client.files.list()]
    assert kept == context.file_ids[-count:]


@then("a file of {size:d} bytes is refused as too large")
def refused_too_large(context, size):
    try:
        upload(context, b"x" * size)
    except openai.APIStatusError as error:
        assert error.status_code == 413
    else:
        raise AssertionError("the file was accepted")
