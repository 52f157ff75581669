"""The size of an item's text: as its result is served, and as it is held until then."""

from json.encoder import encode_basestring_ascii

MAX_TEXT_BYTES = 999_000
"""The largest text of an item, in bytes of JSON.

Clients read results in pages of at most 1 MB, and a page has one result at least.
"""
EVENT_BYTES = 120
"""What an event's text and number take in memory beside the text itself."""


def served_bytes(data: str) -> int:
    """Return what an event's data takes in a result, with the separator behind it."""
    return len(encode_basestring_ascii(data))


def held_bytes(texts: int, served: int) -> int:
    """Return what ``texts`` events, served as so many bytes, take in memory."""
    return served + texts * EVENT_BYTES
