"""Answers whose framing was damaged in transit, and answers that end in odd but sound ways.

A damage is a function from a route's kind and a request to the bytes that the gateway gets in the
place of the whole answer. Each chunk holds one event of a stream, or a third of another body.
"""

import itertools
from collections.abc import Callable

from features.support.cut_answers import EVENTS, LINE_END, content_of
from features.support.relaying import event

Damage = Callable[[str, str], bytes]

LAST_CHUNK = b"0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked"
LENGTH = b"Content-Length: %d"


def pieces_of(kind: str) -> list[bytes]:
    """Return the pieces of the content of an answer, as a runner sends them."""
    if kind in ("stream", "item"):
        return [event(number) for number in range(1, EVENTS + 1)]
    content = content_of(kind)
    size = len(content) // EVENTS + 1
    return [content[begin : begin + size] for begin in range(0, len(content), size)]


def head_of(kind: str, request: str, *fields: bytes) -> bytes:
    """Return the head of a 200 with these framing fields."""
    content_type = b"text/event-stream" if kind in ("stream", "item") else b"text/plain"
    lines = [
        b"HTTP/1.1 200 OK",
        *fields,
        b"Content-Type: " + content_type,
        b"Request-Id: " + request.encode(),
        b"Response-Stamp: 3e1b.07",
    ]
    return LINE_END.join(lines) + 2 * LINE_END


def chunk(data: bytes, size: bytes | None = None) -> bytes:
    """Return a chunk; ``size`` is what stands in the place of its size."""
    stated = b"%x" % len(data) if size is None else size
    return stated + LINE_END + data + LINE_END


def in_chunks(kind: str, request: str, *fields: bytes, end: bytes = LAST_CHUNK) -> bytes:
    """Return a whole answer in chunks, with further fields and another last chunk."""
    body = b"".join(chunk(piece) for piece in pieces_of(kind))
    return head_of(kind, request, CHUNKED, *fields) + body + end


def with_length(kind: str, request: str, *fields: bytes) -> bytes:
    """Return a whole answer behind the framing fields given."""
    return head_of(kind, request, *fields) + content_of(kind)


def _second_chunk(damaged: Callable[[bytes], bytes]) -> Damage:
    def make(kind: str, request: str) -> bytes:
        first, second, *rest = pieces_of(kind)
        body = chunk(first) + damaged(second) + b"".join(map(chunk, rest)) + LAST_CHUNK
        return head_of(kind, request, CHUNKED) + body

    return make


def _swallowing(number: int, extra: int, parts: int = 1) -> Damage:
    """Return a damage by which a chunk takes the bytes up to ``extra`` behind its own end.

    Each piece of the content is sent in a number of parts, which are chunks.
    """

    def make(kind: str, request: str) -> bytes:
        body = b""
        chunks = [part for piece in pieces_of(kind) for part in _in_parts(piece, parts)]
        for index, piece in enumerate(chunks):
            size = b"%x" % (len(piece) + extra) if index == number else None
            body += chunk(piece, size)
        return head_of(kind, request, CHUNKED) + body + LAST_CHUNK

    return make


def _in_parts(data: bytes, count: int) -> list[bytes]:
    size = -(-len(data) // count)
    return [data[begin : begin + size] for begin in range(0, len(data), size)]


def _length_off_by(difference: int) -> Damage:
    def make(kind: str, request: str) -> bytes:
        return with_length(kind, request, LENGTH % (len(content_of(kind)) + difference))

    return make


def _framed_by(*fields: bytes) -> Damage:
    return lambda kind, request: with_length(kind, request, *fields)


def _coded(coding: bytes) -> Damage:
    def make(kind: str, request: str) -> bytes:
        body = b"".join(map(chunk, pieces_of(kind))) + LAST_CHUNK
        return head_of(kind, request, b"Transfer-Encoding: " + coding) + body

    return make


def _short_length_beside_chunks(kind: str, request: str) -> bytes:
    length = LENGTH % (len(content_of(kind)) + 1)
    body = b"".join(map(chunk, pieces_of(kind)[:-1])) + LAST_CHUNK
    return head_of(kind, request, CHUNKED, length) + body


def _half(data: bytes) -> bytes:
    return data[: len(data) // 2]


TAKES_NEXT = "a chunk takes the begin of the next one"
CUTS_EVENT = "its length ends inside an event"
READ_BYTES = {
    CUTS_EVENT: 1,
    TAKES_NEXT: 16,
    "its second chunk has the size 00": 1,
    "its second chunk has the size 4": 1,
}
"""The size of small reads in which damages show too; others leave bytes behind an end."""

DAMAGES: dict[str, dict[str, Damage]] = {
    "its second chunk has the size 00": {
        "one size": _second_chunk(lambda data: chunk(data, b"00")),
    },
    "a last chunk stands in the place of a size": {
        "one place": _second_chunk(lambda data: LAST_CHUNK + data + LINE_END),
    },
    "a last chunk and half of the content follow": {
        "one place": _second_chunk(lambda data: LAST_CHUNK + _half(data)),
    },
    "its second chunk has the size 4": {
        "one size": _second_chunk(lambda data: chunk(data, b"4")),
    },
    TAKES_NEXT: {
        f"chunk {number + 1} takes {extra} more bytes": _swallowing(number, extra)
        for number, extra in itertools.product(range(EVENTS), (1, 2, 3, 6, 14, 29, 34, 60))
    }
    | {
        f"half {number + 1} takes {extra} more bytes": _swallowing(number, extra, parts=2)
        for number, extra in itertools.product(range(2 * EVENTS), (1, 3, 9, 16, 19, 24, 31, 38, 46))
    },
    "its length is too small": {
        f"{count} less": _length_off_by(-count)
        for count in (1, 2, 3, 9, len(event(3)), len(event(3)) + 1)
    },
    CUTS_EVENT: {f"{count} less": _length_off_by(-count) for count in (1, 2, 7, 13, 19, 21)},
    "its length is too large": {f"{count} more": _length_off_by(count) for count in (1, 40, 4000)},
    "its lengths differ": {
        "two fields": _framed_by(LENGTH % 5, LENGTH % 21),
        "one field": _framed_by(b"Content-Length: 5, 21"),
    },
    "its length is no number": {
        text: _framed_by(b"Content-Length: " + text.encode())
        for text in ("", "-1", "+5", "0x15", "2 1", "2.0", "9" * 30)
    },
    "its length and its chunks differ": {"a chunk less": _short_length_beside_chunks},
    "its transfer coding is another one": {
        text: _coded(text.encode()) for text in ("gzip, chunked", "identity", "chunked, gzip", "")
    },
    "a size is no hexadecimal number": {
        text: _second_chunk(lambda data, text=text: chunk(data, text.encode()))
        for text in ("+15", "-15", " 15", "0x15", "1 5", "", "15" * 11, "g", "\t0", "0 0", "00x")
    },
}
"""Damaged answers by class and variant: none of them holds all of its content by its framing."""

SOUND: dict[str, Damage] = {
    "a last chunk with an extension": lambda kind, request: in_chunks(
        kind, request, end=b"0;checked=yes\r\n\r\n"
    ),
    "a last chunk of several zeros": lambda kind, request: in_chunks(
        kind, request, end=b"000\r\n\r\n"
    ),
    "trailers that its head announces": lambda kind, request: in_chunks(
        kind,
        request,
        b"Trailer: X-Checksum, x-took",
        end=b"0\r\nx-checksum: 1f\r\nX-Took: 3\r\n\r\n",
    ),
    "a length that its chunks hold": lambda kind, request: in_chunks(
        kind, request, LENGTH % len(content_of(kind))
    ),
    "the same length twice": lambda kind, request: with_length(
        kind, request, *2 * (LENGTH % len(content_of(kind)),)
    ),
    "another answer behind it in chunks": lambda kind, request: 2 * in_chunks(kind, request),
    "another answer behind its length": lambda kind, request: (
        2 * with_length(kind, request, LENGTH % len(content_of(kind)))
    ),
    "the begin of another answer behind it": lambda kind, request: (
        in_chunks(kind, request) + b"HTTP/1."
    ),
}
"""Answers that are whole, whatever stands behind them."""
