"""Steps on engines' answers whose framing was damaged, over real sockets."""

from behave import given, then, when
from features.support.cutting_proxy import WAYS_TO_CLOSE, Cut, CuttingProxy
from features.support.damaged_framing import LAST_CHUNK, chunk
from features.support.engine import EngineRig

from rainsail.engine.interface import Chunk, EndReason, EngineAttemptEnd
from rainsail.engine.protocol import chunk_frame, end_frame

TEXTS = ("the ", "whole ", "text")
TOKENS = len(TEXTS)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n%s\r\n\r\n"
CHUNKED = HEAD % b"Transfer-Encoding: chunked"


def _frames(attempt):
    chunks = [
        chunk_frame(Chunk(attempt, number, number, text, tokens=1))
        for number, text in enumerate(TEXTS)
    ]
    return [*chunks, end_frame(EngineAttemptEnd(attempt, EndReason.LENGTH, TOKENS, 1, TOKENS))]


def _in_chunks(first, second, *rest):
    return CHUNKED + chunk(first) + second + b"".join(map(chunk, rest)) + LAST_CHUNK


def _with_length(frames, *differences):
    content = b"".join(frames)
    return [
        HEAD % (b"Content-Length: %d" % (len(content) + difference)) + content
        for difference in differences
    ]


def _damaged(damage, frames):
    """Return the answers of a class of damages."""
    first, second, *rest = frames
    end = len(frames[-1])
    return {
        "its second chunk has the size 00": [_in_chunks(first, chunk(second, b"00"), *rest)],
        "a last chunk stands in the place of a size": [
            _in_chunks(first, LAST_CHUNK + second + b"\r\n", *rest)
        ],
        "a last chunk and half of the content follow": [
            CHUNKED + chunk(first) + LAST_CHUNK + second[: len(second) // 2]
        ],
        "its second chunk has the size 4": [_in_chunks(first, chunk(second, b"4"), *rest)],
        "its length is too small": _with_length(frames, -end, -end - 1, -end + 20, -end - 150),
        "its length is too large": [
            answer[: -end - 20] for answer in _with_length(frames, 0, 1, 4000)
        ],
        "nothing is damaged": [
            _in_chunks(first, chunk(second), *rest),
            *_with_length(frames, 0),
        ],
    }[damage]


@given("an engine behind a proxy that answers in its place")
def serve_in_place(context):
    context.rig = EngineRig()
    context.add_cleanup(context.rig.close)
    context.proxy = CuttingProxy()
    context.add_cleanup(context.proxy.close)
    context.rig.address = context.proxy.address


@when("the engine client makes attempts, and of each answer {damage}")
def make_attempts(context, damage):
    context.attempts = []
    for answer in _damaged(damage, _frames("attempt")):
        for how in WAYS_TO_CLOSE:
            context.proxy.cut = Cut(answer, how)
            context.rig.generate(TOKENS)
            context.attempts.append((how, context.rig.wait_for_end()))


@then("every attempt is lost behind chunks of its answer")
def lost_behind_chunks(context):
    assert context.attempts
    for how, listener in context.attempts:
        texts = [each.text for each in listener.chunks]
        assert listener.reason == "lost", (how, listener.end)
        assert texts == list(TEXTS[: len(texts)]), (how, texts)


@then("every attempt has ended as its answer says")
def ended_as_said(context):
    for how, listener in context.attempts:
        assert listener.reason == "length", (how, listener.end)
        assert [each.text for each in listener.chunks] == list(TEXTS), how
