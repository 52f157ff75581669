"""Jobs as JSON: items with their requests, results by position."""

import base64
import binascii
import json
from typing import Any

from expression import Error, Ok, Result

from rainsail.errors import Fault, FaultCode
from rainsail.state.job_commands import ItemHeader, RelayedItem

STEP = "fleet_api.items"
MAX_ITEMS = 200


def read_items(content: bytes) -> Result[tuple[RelayedItem, ...], Fault]:
    """Read a job's items, each with ``id``, ``path``, ``headers``, base64 ``body``, ``tokens``."""
    try:
        entries = json.loads(content)["items"]
        if not entries or len(entries) > MAX_ITEMS:
            raise ValueError(f"{len(entries)} items")
        return Ok(tuple(_item(entry) for entry in entries))
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        RecursionError,
        binascii.Error,
    ) as error:
        return Error(Fault(FaultCode.INVALID, STEP, f"{type(error).__name__}: {error}"))


def _item(entry: Any) -> RelayedItem:
    headers = tuple(
        ItemHeader(str(name), str(value)) for name, value in (entry.get("headers") or {}).items()
    )
    if not isinstance(entry["id"], str) or not isinstance(entry["path"], str):
        raise TypeError("an item's id or path is no text")
    body = base64.b64decode(entry.get("body") or "", validate=True)
    return RelayedItem(entry["id"], entry["path"], headers, body, int(entry.get("tokens") or 0))


def whole_number(text: str) -> int:
    """Return a number of a query, 0 when it is none."""
    return int(text) if text.isascii() and text.isdigit() else 0
