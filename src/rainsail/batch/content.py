"""Digest of a job's content and the cutting of its items into ranges of bounded size."""

import hashlib
from collections.abc import Iterator

from rainsail.state.commands import ItemBody

ITEM_OVERHEAD_BYTES = 16
"""Bytes that an item adds to a command besides its texts."""


class ContentDigest:
    """The SHA-256 of what a job runs, built up from its items in order."""

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
        """Return the digest of everything added (hex)."""
        return self._digest.hexdigest()


def _add_text(digest: "hashlib._Hash", text: str) -> None:
    encoded = text.encode()
    digest.update(len(encoded).to_bytes(8, "big"))
    digest.update(encoded)


def item_bytes(item: ItemBody) -> int:
    """Return about how many bytes an item takes in a command."""
    return len(item.custom_id.encode()) + len(item.prompt.encode()) + ITEM_OVERHEAD_BYTES


def item_ranges(
    items: tuple[ItemBody, ...], range_bytes: int, range_items: int
) -> Iterator[tuple[int, tuple[ItemBody, ...]]]:
    """Yield (first index, items) ranges within both bounds; an item too large stands alone."""
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
