"""The size of an item's text: as its result is served, and as it is held until then."""

from collections.abc import Iterable
from json.encoder import encode_basestring_ascii

MAX_TEXT_BYTES = 999_000
"""The largest text of an item, in bytes of JSON.

Clients read results in pages of at most 1 MB, and a page has one result at least.
"""
EVENT_BYTES = 120
"""What an event's text and number take in memory beside the text itself."""
MAX_ITEM_NOTE_BYTES = 256 * 1024
"""Progress of one item that is committed, in memory of each replica; a new leader resumes there.

So the texts of a few runners that never end one leave room for the progress of other items.
"""
NOTES_SHARE = 0.25
"""Share of what clients may hold that the committed progress of all items may take."""


def served_bytes(data: str) -> int:
    """Return what an event's data takes in a result, with the separator behind it."""
    return len(encode_basestring_ascii(data))


def note_bytes(texts: Iterable[str]) -> int:
    """Return what committed texts take in memory."""
    return sum(len(text) + EVENT_BYTES for text in texts)


def held_bytes(texts: int, served: int) -> int:
    """Return what ``texts`` events, served as so many bytes, take in memory."""
    return served + texts * EVENT_BYTES
