"""Parsing of jobs from JSON: the items with their requests."""

import base64
import json
from collections.abc import Callable

from expression import Error, Ok, Result

from rainsail.errors import Fault, FaultCode
from rainsail.fleet_api.json_fields import UNREADABLE, FieldError, Fields, explain, json_type
from rainsail.relay.item_fields import is_sendable_header, is_sendable_id, is_sendable_path
from rainsail.state.job_commands import ItemHeader, RelayedItem

STEP = "fleet_api.items"
MAX_ITEMS = 200
"""Maximum items of one job, so that the replicated command that holds the job stays small."""


def read_items(content: bytes) -> Result[tuple[RelayedItem, ...], Fault]:
    """Parse a job's items, each with ``id``, ``path``, ``headers``, base64 ``body``, ``tokens``.

    The INVALID fault names the first invalid field and what was expected there. An item that can't
    be sent as an HTTP request is invalid.
    """
    try:
        entries = Fields(json.loads(content)).entries("items")
        if not 1 <= len(entries) <= MAX_ITEMS:
            raise FieldError("items", f"1 to {MAX_ITEMS} items", str(len(entries)))
        items = [_item(Fields(entry, f"items[{n}]")) for n, entry in enumerate(entries)]
        return Ok(tuple(items))
    except UNREADABLE as error:
        return Error(Fault(FaultCode.INVALID, STEP, explain(error)))


def _item(fields: Fields) -> RelayedItem:
    return RelayedItem(
        _sendable(fields, "id", is_sendable_id, "text that a header can hold"),
        _sendable(fields, "path", is_sendable_path, "a path of printable ASCII characters"),
        _headers(fields),
        _body(fields),
        fields.whole_or("tokens", 0),
    )


def _sendable(fields: Fields, name: str, check: Callable[[str], bool], expected: str) -> str:
    text = fields.text(name)
    if not check(text):
        raise FieldError(fields.path_of(name), expected, repr(text))
    return text


def _headers(fields: Fields) -> tuple[ItemHeader, ...]:
    headers = fields.get("headers") or {}
    if not isinstance(headers, dict):
        raise FieldError(fields.path_of("headers"), "an object", json_type(headers))
    made = tuple(ItemHeader(str(name), str(value)) for name, value in headers.items())
    for header in made:
        if not is_sendable_header(header):
            path = f"{fields.path_of('headers')}.{header.name}"
            raise FieldError(path, "a header of Latin-1 text in one line", repr(header.value))
    return made


def _body(fields: Fields) -> bytes:
    body = fields.get("body") or ""
    try:
        return base64.b64decode(body, validate=True)
    except (TypeError, ValueError):
        raise FieldError(fields.path_of("body"), "base64 text", json_type(body)) from None


def whole_number(text: str) -> int:
    """Return a non-negative number from a query parameter, 0 if it is not a number."""
    return int(text) if text.isascii() and text.isdigit() else 0
