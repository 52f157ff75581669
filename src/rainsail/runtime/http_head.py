"""Checks the head of an HTTP request: what becomes text must be UTF-8."""

from typing import Any
from urllib.parse import unquote_to_bytes


def not_utf8(request: Any) -> str:
    """Return the first part of a Twisted request's head that is no text; empty when all are."""
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
