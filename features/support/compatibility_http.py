"""Calls over HTTP and the shape of their answers: status, header names, field paths and types."""

import http.client
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

LIMIT_S = 20.0
VALUED_FIELDS = ("code", "type", "object", "outcome", "state")
"""Fields of a few fixed values, which programs compare; their values are part of a shape."""
UNNAMED_HEADERS = ("date",)
STREAM_LINE = "data: "


@dataclass(frozen=True)
class Answer:
    """One answer over HTTP; status 0 stands for none."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return a header's value, empty when it is not there."""
        return next((value for each, value in self.headers if each.lower() == name), "")

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    lines: int = 0,
) -> Answer:
    """Make one call on a new connection; ``lines`` above 0 reads so many lines, then leaves.

    ``body`` is sent as it is when it is bytes, else as JSON.
    """
    connection = http.client.HTTPConnection(address, timeout=LIMIT_S)
    named = dict(headers or {})
    content = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    if content is not None:
        named.setdefault("Content-Type", "application/json")
    try:
        connection.request(method, path, content, named)
        response = connection.getresponse()
        read = b"".join(response.readline() for _ in range(lines)) if lines else response.read()
        return Answer(response.status, tuple(response.getheaders()), read)
    except (OSError, http.client.HTTPException):
        return Answer(0, (), b"")
    finally:
        connection.close()


def shape_of(answer: Answer, ignored: tuple[str, ...] = ()) -> dict[str, Any]:
    """Return what clients rely on in an answer, without the fields under the ``ignored`` paths."""
    names = {name.lower() for name, _ in answer.headers} - set(UNNAMED_HEADERS)
    return {
        "status": answer.status,
        "headers": sorted(names),
        "content type": answer.header("content-type"),
        "body": _without(_body_shape(answer), ignored),
    }


def _without(body: list[str] | str, ignored: tuple[str, ...]) -> list[str] | str:
    if isinstance(body, str):
        return body
    return [field for field in body if not field.startswith(ignored)]


def _body_shape(answer: Answer) -> list[str] | str:
    kind = answer.header("content-type")
    if not answer.body:
        return "empty"
    if "jsonl" in kind or "ndjson" in kind:
        return _fields_of(map(json.loads, answer.body.splitlines()))
    if "json" in kind:
        return _fields_of([answer.json()])
    if "event-stream" in kind:
        return _stream_shape(answer.body.decode())
    return "text or bytes"


def _stream_shape(text: str) -> list[str]:
    events = [line.removeprefix(STREAM_LINE) for line in text.splitlines() if line]
    parts = [json.loads(event) for event in events if event.startswith("{")]
    plain = sorted({event for event in events if not event.startswith("{")})
    return [*_fields_of(parts), *plain]


def _fields_of(values: Any) -> list[str]:
    return sorted({field for value in values for field in _fields("", value)})


def _fields(path: str, value: Any) -> Iterator[str]:
    if isinstance(value, dict):
        if not value:
            yield f"{path}: empty object"
        for name, part in value.items():
            yield from _fields(f"{path}.{name}" if path else name, part)
    elif isinstance(value, list):
        if not value:
            yield f"{path}[]: empty"
        for part in value:
            yield from _fields(f"{path}[]", part)
    else:
        yield f"{path}: {_value(path, value)}"


def _value(path: str, value: Any) -> str:
    if value is None:
        return "null"
    if isinstance(value, str) and path.rpartition(".")[2] in VALUED_FIELDS:
        return json.dumps(value)
    names = {bool: "true or false", int: "integer", float: "number", str: "text"}
    return names[type(value)]
