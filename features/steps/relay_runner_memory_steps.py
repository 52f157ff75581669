"""Steps on what a gateway holds of the answers of runners, in virtual time."""

import tracemalloc

from behave import step, then

from rainsail.http.client import AnswerHead


@step("the runner sends {size:d} bytes of an answer in pieces of {piece:d}")
def send_pieces(context, size, piece):
    listener = context.relay.last_call.listener
    listener.answer_begun(AnswerHead(200, ()))
    data = b"x" * size
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for start in range(0, size, piece):
            listener.answer_data(data[start : start + piece])
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    context.answer_bytes, context.answer_held = size, after - before


@then("at most {factor:d} bytes are held for each byte of it")
def held(context, factor):
    assert context.answer_held <= factor * context.answer_bytes, context.answer_held
