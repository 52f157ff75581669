"""Answers of runners, and the places at which their heads are cut."""

from dataclasses import dataclass

from features.support.relaying import event

LINE_END = b"\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
EVENTS = 3
TEXT = b"the whole body of a runner's answer"
FRAMINGS = {
    "chunks": b"Transfer-Encoding: chunked",
    "a length": b"Content-Length: %d",
    "neither": b"X-Framing: none",
}


@dataclass(frozen=True)
class RunnerAnswer:
    """One answer of a runner, as it would be sent if nothing went wrong."""

    head: bytes
    body: bytes

    @property
    def whole(self) -> bytes:
        """All bytes of the answer."""
        return self.head + self.body


def content_of(kind: str) -> bytes:
    """Return the content of the body that runners answer on a kind of route."""
    if kind in ("stream", "item"):
        return b"".join(event(number) for number in range(1, EVENTS + 1))
    return TEXT


def runner_answer(
    kind: str, request: str, framing: str, version: str = "1.1", status: str = "200 OK"
) -> RunnerAnswer:
    """Return the answer to a request; ``framing`` is a key of ``FRAMINGS``.

    The field that tells the framing comes first, so that nearly every cut is behind it.
    """
    content = content_of(kind)
    content_type = b"text/event-stream" if kind in ("stream", "item") else b"text/plain"
    field = FRAMINGS[framing]
    lines = [
        f"HTTP/{version} {status}".encode(),
        field % len(content) if b"%" in field else field,
        b"Content-Type: " + content_type,
        b"Request-Id: " + request.encode(),
        b"Response-Stamp: 3e1b.07",
    ]
    head = LINE_END.join(lines) + 2 * LINE_END
    if framing == "chunks":
        content = b"%x\r\n%s\r\n0\r\n\r\n" % (len(content), content)
    return RunnerAnswer(head, content)


def places_in(head: bytes) -> dict[str, int]:
    """Return one place of each class at which a head may be cut, as numbers of bytes."""
    first = head.index(LINE_END)
    second = head.index(LINE_END, first + 1)
    return {
        "before the first byte": 0,
        "in the status line": first - 2,
        "inside the end of the status line": first + 1,
        "at the end of the status line": first + 2,
        "in the name of a field": first + 6,
        "in the value of a field": second - 1,
        "at the end of a field's line": second + 2,
        "in the last value": len(head) - 6,
        "before the blank line": len(head) - 2,
        "inside the blank line": len(head) - 1,
    }
