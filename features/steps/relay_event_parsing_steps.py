"""Steps on the parser of event streams: what it allocates, and how it treats pieces."""

import random
import tracemalloc

from behave import given, then, when

from rainsail.http.client import Framing
from rainsail.relay.events import EventStream

ENDS = {"LF": b"\n", "CRLF": b"\r\n"}
LINE = b"data: " + b"x" * 25


@given("a stream of events whose lines end with {ends}")
def make_stream(context, ends):
    context.line = LINE + ENDS[ends]
    context.stream = EventStream(Framing.CHUNKED)


@when("an event of {size:d} bytes without end arrives in pieces of {piece:d} bytes")
def feed_pieces(context, size, piece):
    data = (context.line * (size // len(context.line) + 1))[:size]
    pieces = [data[start : start + piece] for start in range(0, size, piece)]
    context.event_bytes, context.event_pieces = size, len(pieces)
    context.allocated = 0
    tracemalloc.start()
    try:
        for each in pieces:
            tracemalloc.reset_peak()
            before, _ = tracemalloc.get_traced_memory()
            assert not context.stream.feed(each)
            _, peak = tracemalloc.get_traced_memory()
            context.allocated += peak - before
    finally:
        tracemalloc.stop()


@then("at most {factor:d} bytes were allocated for each byte of it, and {beside:d} for each piece")
def allocated(context, factor, beside):
    most = factor * context.event_bytes + beside * context.event_pieces
    assert context.allocated <= most, (context.allocated, most)


@given("a random stream of {count:d} events of seed {seed:d}")
def make_random(context, count, seed):
    context.random = random.Random(seed)
    context.sent = b"".join(_random_event(context.random) for _ in range(count))


def _random_event(source):
    lines = source.choices([b"data: a", b"id: 7", b"id:8", b": comment", b"x", b"data"], k=3)
    end = source.choice([b"\n", b"\r\n", b"\r"])
    blank = source.choice([end, end, b"\n", b"\r\n"])
    return b"".join(line + end for line in lines) + blank * source.randint(0, 2)


def _events(pieces):
    stream = EventStream(Framing.CHUNKED)
    return [event for each in pieces for event in stream.feed(each)] + stream.last_events()


@then("it has the same events in one piece, byte by byte, and in random pieces")
def same_events(context):
    sent, source = context.sent, context.random
    whole = _events([sent])
    assert len(whole) > 50, len(whole)
    assert b"".join(event.raw for event in whole) == sent
    assert _events([sent[at : at + 1] for at in range(len(sent))]) == whole
    for _ in range(20):
        cuts = sorted(source.sample(range(1, len(sent)), 40))
        pieces = [sent[a:b] for a, b in zip([0, *cuts], [*cuts, len(sent)], strict=True)]
        assert _events(pieces) == whole
