"""Helpers shared by the routes: read request bodies, write JSON objects."""

from typing import Any

from expression import Error, Ok, Result

from rainsail.errors import Fault, FaultCode
from rainsail.gateway.openai.responses import encode_json
from rainsail.gateway.openai.sinks import write_json

_OK = 200


def read_body(request: Any, max_bytes: int, step: str) -> Result[bytes, Fault]:
    """Return the body, or a TOO_LARGE fault when it is longer than ``max_bytes``."""
    data = request.content.read(max_bytes + 1)
    if len(data) > max_bytes:
        return Error(Fault(FaultCode.TOO_LARGE, step, f"the body is longer than {max_bytes} bytes"))
    return Ok(data)


def write_object(request: Any, value: dict[str, Any]) -> None:
    """Answer with a JSON object."""
    write_json(request, _OK, encode_json(value), {})


def write_list(request: Any, objects: list[dict[str, Any]]) -> None:
    """Answer with an OpenAI list object that has a single page."""
    listed: dict[str, Any] = {"object": "list", "data": objects, "has_more": False}
    if objects:
        listed["first_id"] = objects[0]["id"]
        listed["last_id"] = objects[-1]["id"]
    write_object(request, listed)
