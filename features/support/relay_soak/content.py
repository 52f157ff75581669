"""What runners have to say: each answer follows from its request's name alone.

So every runner says the same, and a checker knows the whole answer without asking one.
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
    """Return all that a client lacks which has the events up to ``after_event``."""
    return events(request, (after_event or 0) + 1, last_event(request))


def whole_body(request: str) -> bytes:
    """Return an answer that is no stream."""
    size = random.Random(request).choice(BODY_BYTES)
    return f"{request} is answered ".encode() + b"." * size


def failure_body(request: str, status: int, size: int) -> bytes:
    """Return the body of a runner's failure."""
    return f"{request} ends in {status} ".encode() + b"!" * size
