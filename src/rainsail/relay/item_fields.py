"""Tells whether an item can be sent as an HTTP request (RFC 9110, RFC 9112). Pure."""

import re

from rainsail.state.job_commands import ItemHeader, RelayedItem

_NAME = re.compile(rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]+")
_VALUE = re.compile(rb"([^\x00\s]+([ \t]+[^\x00\s]+)*)?")
_TARGET = re.compile(r"[\x21-\x7e]+")
_SPACE = " \t"


def header_bytes(header: ItemHeader) -> tuple[bytes, bytes]:
    """Return a header as sent: Latin-1, without the white space around its value.

    Raises:
        UnicodeEncodeError: it can't be sent.
    """
    return header.name.encode("latin-1"), header.value.strip(_SPACE).encode("latin-1")


def is_sendable_header(header: ItemHeader) -> bool:
    """Tell whether a header can be sent."""
    try:
        name, value = header_bytes(header)
    except UnicodeEncodeError:
        return False
    return bool(_NAME.fullmatch(name) and _VALUE.fullmatch(value))


def is_sendable_id(item: str) -> bool:
    """Tell whether an item's id can be sent as the value of a header, in UTF-8."""
    try:
        return bool(_VALUE.fullmatch(item.encode()))
    except UnicodeEncodeError:
        return False


def is_sendable_path(path: str) -> bool:
    """Tell whether a path can be the target of a request."""
    return bool(_TARGET.fullmatch(path))


def is_sendable(item: RelayedItem) -> bool:
    """Tell whether an item can be sent."""
    return (
        is_sendable_id(item.item)
        and is_sendable_path(item.path)
        and all(map(is_sendable_header, item.headers))
    )
