"""Header fields as transmitted: pairs of bytes, in order, names in the sender's case."""

import re
from collections.abc import Iterable

HeaderFields = tuple[tuple[bytes, bytes], ...]
"""Name and value of each field, in the order of the message."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
"""Fields that concern one connection only and are never forwarded."""

STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}\b")


def holds_status_line(values: Iterable[bytes]) -> bool:
    """Tell whether a status line stands in a reason phrase or in the value of a field.

    A server that stops inside a head and answers again on the same connection leaves the new status
    line in the last value, and fields of the first head that may frame the second body.
    """
    return any(STATUS_LINE.search(value) is not None for value in values)


def header_value(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the value of the first field with a (lower-case) name."""
    for each, value in fields:
        if each.lower() == name:
            return value
    return None


def header_text(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> str:
    """Return a field's value as text; empty if it is absent."""
    value = header_value(fields, name)
    return "" if value is None else value.decode("latin-1").strip()


def header_number(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> float | None:
    """Return a field's value as a number; None if it is absent or not a number."""
    text = header_text(fields, name)
    try:
        return float(text) if text else None
    except ValueError:
        return None


def keep_alive_s(fields: Iterable[tuple[bytes, bytes]]) -> float | None:
    """Return for how many seconds the sender keeps an idle connection; None if it does not say."""
    for part in header_text(fields, b"keep-alive").split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout":
            return header_number(((b"t", number.encode()),), b"t")
    return None


def end_to_end(fields: Iterable[tuple[bytes, bytes]], without: frozenset[bytes]) -> HeaderFields:
    """Return the end-to-end fields except ``without``.

    Hop-by-hop fields and those that ``Connection`` lists are removed.
    """
    listed = listed_in(fields, b"connection")
    return tuple(
        (name, value)
        for name, value in fields
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in listed
        and name.lower() not in without
    )


def listed_in(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> frozenset[bytes]:
    """Return the lower-case names that the fields of a (lower-case) name list."""
    names: set[bytes] = set()
    for each, value in fields:
        if each.lower() == name:
            names.update(token.strip().lower() for token in value.split(b","))
    return frozenset(names)
