"""The content of answers, which depends on the request's name alone.

So all runners give the same answer, and a check can compute the complete answer.
"""

import random

MAX_EVENTS = 12
EVENT_TEXT_BYTES = (1, 300)
BODY_BYTES = (0, 500, 6000, 40000)


def last_event(request: str) -> int:
    """Return the number of the last event of a request's stream; the first one is 1."""
    return random.Random(request).randint(1, MAX_EVENTS)


def event(request: str, number: int) -> bytes:
    """Return the bytes of one event."""
    size = random.Random(f"{request} {number}").randint(*EVENT_TEXT_BYTES)
    return f"id: {number}\ndata: {request} says {number} {'.' * size}\n\n".encode()


def events(request: str, first: int, last: int) -> bytes:
    """Return the bytes of some events in order."""
    return b"".join(event(request, number) for number in range(first, last + 1))


def whole_stream(request: str, after_event: int | None) -> bytes:
    """Return the rest of the stream for a client that has the events up to ``after_event``."""
    return events(request, (after_event or 0) + 1, last_event(request))


def whole_body(request: str) -> bytes:
    """Return an answer that is not a stream."""
    size = random.Random(request).choice(BODY_BYTES)
    return f"{request} is answered ".encode() + b"." * size


def failure_body(request: str, status: int, size: int) -> bytes:
    """Return the body of a runner's failure."""
    return f"{request} ends in {status} ".encode() + b"!" * size
