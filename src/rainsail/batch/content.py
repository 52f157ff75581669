"""Computes the digest of a job's content, and splits its items into ranges of bounded size."""

import hashlib
from collections.abc import Iterator

from rainsail.state.commands import ItemBody

ITEM_OVERHEAD_BYTES = 16
"""Encoding overhead of an item in a command, in addition to its texts."""


class ContentDigest:
    """Incremental SHA-256 of a job's service, adapter and items, in order."""

    def __init__(self, service: str, adapter: str) -> None:
        self._digest = hashlib.sha256()
        for text in (service, adapter):
            _add_text(self._digest, text)

    def add(self, items: tuple[ItemBody, ...]) -> None:
        """Add the next items."""
        for item in items:
            _add_text(self._digest, item.custom_id)
            _add_text(self._digest, item.prompt)
            self._digest.update(item.max_tokens.to_bytes(8, "big"))

    def hexdigest(self) -> str:
        """Return the digest of everything added so far, in hex."""
        return self._digest.hexdigest()


def _add_text(digest: "hashlib._Hash", text: str) -> None:
    encoded = text.encode()
    digest.update(len(encoded).to_bytes(8, "big"))
    digest.update(encoded)


def item_bytes(item: ItemBody) -> int:
    """Return the approximate size of an item in a command, in bytes."""
    return len(item.custom_id.encode()) + len(item.prompt.encode()) + ITEM_OVERHEAD_BYTES


def item_ranges(
    items: tuple[ItemBody, ...], range_bytes: int, range_items: int
) -> Iterator[tuple[int, tuple[ItemBody, ...]]]:
    """Yield (first index, items) ranges within both limits; an oversized item is a range itself."""
    start = 0
    size = 0
    for index, item in enumerate(items):
        added = item_bytes(item)
        full = size + added > range_bytes or index - start >= range_items
        if full and index > start:
            yield start, items[start:index]
            start = index
            size = 0
        size += added
    if start < len(items):
        yield start, items[start:]
