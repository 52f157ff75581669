"""The account of the memory that clients, and answers of runners, hold, by kind."""

from collections.abc import Callable
from enum import StrEnum


class HeldKind(StrEnum):
    """What the memory is held for."""

    CONNECTION = "connection"
    """A connection itself."""
    HEAD = "head"
    """The received part of a request's head."""
    BODY = "body"
    """A body that is arriving; its whole length if that is known."""
    REQUEST = "request"
    """The body of a request that is being answered, kept for a retry."""
    AHEAD = "ahead"
    """Bytes that a client has sent before its answer ended."""
    ANSWER = "answer"
    """The part of an answer that a client has not taken."""
    UNREAD = "unread"
    """Bytes in the kernel that are not read for now."""
    JOB = "job"
    """Copies of a job that is being taken in."""
    RUNNER = "runner"
    """The part of runners' answers that can't be passed on yet."""


LARGE_SHARE = 0.75
"""Share of the limit that large holdings may use; the rest is left to small requests."""


class MemoryAccount:
    """Counts held bytes against a limit.

    ``reclaim`` is asked to make room, by the bytes that are missing, before a holding is refused.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.by_kind: dict[HeldKind, int] = dict.fromkeys(HeldKind, 0)
        self.reclaim: Callable[[int], None] = lambda missing_bytes: None

    def limit_for(self, large: bool) -> int:
        """Return the bytes that may be held once a holding was added, by the holding's size."""
        return int(self.limit_bytes * LARGE_SHARE) if large else self.limit_bytes

    def fits(self, amount: int, large: bool) -> bool:
        """Tell whether ``amount`` more bytes may be held, after those in the way gave way."""
        missing = self.held_bytes + amount - self.limit_for(large)
        if missing > 0:
            self.reclaim(missing)
        return self.held_bytes + amount <= self.limit_for(large)

    def add(self, kind: HeldKind, amount: int) -> None:
        """Count held bytes; a negative amount gives them back."""
        self.held_bytes += amount
        self.by_kind[kind] += amount


class Holding:
    """What one client holds; ``close`` gives all of it back."""

    __slots__ = ("_account", "_amounts", "held_bytes")

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._amounts: dict[HeldKind, int] = {}
        self.held_bytes = 0

    def of(self, kind: HeldKind) -> int:
        """Return the bytes held for a kind."""
        return self._amounts.get(kind, 0)

    def grow_to(self, kind: HeldKind, amount: int, large: bool = False) -> bool:
        """Hold at least ``amount`` bytes for a kind; False if they do not fit."""
        more = amount - self.of(kind)
        if more <= 0:
            return True
        if not self._account.fits(more, large):
            return False
        self.set(kind, amount)
        return True

    def set(self, kind: HeldKind, amount: int) -> None:
        """Hold ``amount`` bytes for a kind, whether they fit or not."""
        change = amount - self.of(kind)
        if not change:
            return
        self._account.add(kind, change)
        self.held_bytes += change
        if amount:
            self._amounts[kind] = amount
        else:
            self._amounts.pop(kind, None)

    def move(self, source: HeldKind, target: HeldKind) -> None:
        """Count what is held for one kind for another."""
        amount = self.of(source)
        self.set(source, 0)
        self.set(target, self.of(target) + amount)

    def close(self) -> None:
        """Give everything back."""
        for kind in list(self._amounts):
            self.set(kind, 0)
