"""What a client sends ahead while the answer to its earlier request is in progress."""

from collections import deque

from rainsail.budget.memory import HeldKind, Holding

MAX_PIPELINED_BYTES = 256 * 1024
"""Bytes that a client may send ahead while it is being answered; with more it is reset."""
UNCOUNTED_BYTES = 4 * 1024
"""Bytes sent ahead, up to this size, are covered by the connection."""


class SentAhead:
    """Collects the bytes until the next request may be read."""

    __slots__ = ("_holding", "_pieces", "_size")

    def __init__(self, holding: Holding) -> None:
        self._holding = holding
        self._pieces: deque[bytes] = deque()
        self._size = 0

    def __bool__(self) -> bool:
        return bool(self._pieces)

    def add(self, data: bytes) -> bool:
        """Keep received bytes; return False if they are too many, or there is no room for them."""
        self._pieces.append(data)
        return self.count(len(data))

    def count(self, size: int) -> bool:
        """Count bytes that are kept elsewhere; returns as ``add`` does."""
        self._size += size
        if self._size <= UNCOUNTED_BYTES:
            return True
        if self._size > MAX_PIPELINED_BYTES:
            return False
        return self._holding.grow_to(HeldKind.AHEAD, self._size)

    def take(self) -> bytes:
        """Return all that is kept, which is from now on read as the next request."""
        data, self._pieces = b"".join(self._pieces), deque()
        self._size = 0
        self._holding.set(HeldKind.AHEAD, 0)
        return data

    def clear(self) -> None:
        """Drop what is kept: the connection has ended."""
        self._pieces.clear()
