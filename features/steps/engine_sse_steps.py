"""Steps for the parser of server-sent events and for chunk decoding."""

import json

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings, strategies

from rainsail.engine.interface import Chunk, EngineAttemptEnd
from rainsail.engine.protocol import chunk_frame, decode_frame, end_frame
from rainsail.engine.sse import SseError, SseParser

fuzz = settings(max_examples=150, derandomize=True, deadline=None, database=None)

TEXTS = strategies.text(max_size=20)
COUNTS = strategies.integers(min_value=0, max_value=1 << 40)
CHUNKS = strategies.builds(Chunk, strategies.just("a"), COUNTS, COUNTS, TEXTS, COUNTS)
JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | TEXTS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ["sequence", "offset", "tokens", "choices", "text", "end", "usage", "reason"]
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=12,
)


@when("the SSE parser is fed {text}")
def feed(context, text):
    data = text.replace("\\n", "\n").replace("\\r", "\r").encode()
    context.events = SseParser().feed(data)
    context.data = SseParser().feed_data(data)


@then("the SSE parser yields {expected}")
def yields(context, expected):
    seen = [f"{event.name}={event.data.decode()}".replace("\n", "/") for event in context.events]
    assert seen == ([] if expected == "nothing" else expected.split()), seen
    assert context.data == [event.data for event in context.events]


@then("any events cut into any pieces come out of the SSE parser unchanged")
def any_pieces(context):
    line_ends = strategies.sampled_from(["\n", "\r\n", "\r"])
    cuts = strategies.lists(strategies.integers(min_value=0, max_value=400), max_size=8)

    @fuzz
    @any_of(strategies.lists(CHUNKS, min_size=1, max_size=5), cuts, line_ends)
    def check(chunks, places, line_end):
        data = b"".join(chunk_frame(chunk) for chunk in chunks)
        data = data.replace(b"\n", line_end.encode())
        parser = SseParser()
        frames = []
        before = 0
        for place in [*sorted(places), len(data)]:
            frames += parser.feed_data(data[before:place])
            before = max(before, place)
        if line_end == "\r":
            frames += parser.feed_data(b"\n")
        assert [decode_frame("a", frame) for frame in frames] == chunks

    check()


@then("any bytes fed to the SSE parser give events or a typed error")
def any_bytes(context):
    pieces = strategies.binary(max_size=60) | strategies.sampled_from(
        [b"data: ", b"\n\n", b"\r", b"\r\n\r\n", b":", b"event: x\n", b"data: {}\n\n"]
    )

    @fuzz
    @any_of(strategies.lists(pieces, max_size=12))
    def check(fed):
        parser = SseParser(max_frame_bytes=100)
        whole = SseParser(max_frame_bytes=10_000)
        try:
            for piece in fed:
                for event in parser.feed(piece):
                    assert isinstance(event.data, bytes)
            assert parser.pending_bytes <= 100
        except SseError:
            assert len(b"".join(fed)) > 100
        whole.feed(b"".join(fed))

    check()


@then("any JSON decoded as a chunk gives a record or a value error")
def any_json(context):
    @fuzz
    @any_of(JSON_VALUES | strategies.binary(max_size=40))
    def check(value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        try:
            record = decode_frame("a", data)
        except ValueError:
            return
        if isinstance(record, Chunk):
            assert isinstance(record.text, str) and record.sequence >= 0
        else:
            assert isinstance(record, EngineAttemptEnd)
            end_frame(record)

    check()


@when("the SSE parser with a bound of {bound:d} bytes is fed {size:d} bytes without an end")
def feed_endless(context, bound, size):
    context.refused = False
    parser = SseParser(bound)
    try:
        for _ in range(size):
            parser.feed(b"x")
    except SseError:
        context.refused = True


@then("the SSE parser has refused the frame")
def refused(context):
    assert context.refused


LINE = b"data: " + b"x" * 25
ENDS = {"LF": b"\n", "CRLF": b"\r\n", "CR": b"\r"}


@given("an engine's stream of events whose lines end with {ends}")
def make_stream(context, ends):
    context.line = LINE + ENDS[ends]
    context.stream = SseParser()


def _events(pieces):
    parser = SseParser()
    return [event for piece in pieces for event in parser.feed(piece)]


@then("the SSE parser has the same events in one piece, byte by byte, and in random pieces")
def same_events(context):
    sent, source = context.sent + b"\n\n", context.random
    whole = _events([sent])
    assert len(whole) > 50, len(whole)
    assert _events([sent[at : at + 1] for at in range(len(sent))]) == whole
    for _ in range(20):
        cuts = sorted(source.sample(range(1, len(sent)), 40))
        pieces = [sent[a:b] for a, b in zip([0, *cuts], [*cuts, len(sent)], strict=True)]
        assert _events(pieces) == whole
