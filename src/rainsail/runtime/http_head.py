"""Validates the head of an HTTP request: decoded parts must be UTF-8, the host a valid name."""

from typing import Any
from urllib.parse import unquote_to_bytes


def head_problem(request: Any) -> str:
    """Return what is wrong with the head of a Twisted request; empty if it is valid."""
    place = _not_utf8(request)
    if place:
        return f"{place}: expected UTF-8"
    if not _is_host(request.getRequestHostname().decode()):
        return "host: expected a host name or an address"
    return ""


def _not_utf8(request: Any) -> str:
    parts = [("method", request.method), ("path", unquote_to_bytes(request.path))]
    for name, values in request.requestHeaders.getAllRawHeaders():
        parts += [(name.decode("latin-1"), value) for value in values]
    return next((name for name, value in parts if not _is_utf8(value)), "")


def _is_utf8(value: bytes) -> bool:
    try:
        value.decode()
    except UnicodeDecodeError:
        return False
    return True


def _is_host(text: str) -> bool:
    """Tell whether a host name can be encoded in ASCII (IDNA), as routing requires."""
    try:
        text.lower().encode("idna")
    except UnicodeError:
        return False
    return True
