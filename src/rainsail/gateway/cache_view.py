"""View of a runner's prefix cache, built from cache events that may be late or missing."""

from rainsail.engine.interface import CacheEvent, CacheEventKind


class CacheView:
    """Known prefix blocks of one runner.

    A gap in the event sequence makes the view stale: routing then gives its matches less weight.
    It is complete again after a CLEARED event, with which a full listing begins. ``blocks`` are
    ordered by when they were last stored.
    """

    __slots__ = ("_incarnation", "_limit", "_next_sequence", "blocks", "stale")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.blocks: dict[int, None] = {}
        self._incarnation = ""
        self._next_sequence: int | None = None
        self.stale = True

    def __len__(self) -> int:
        return len(self.blocks)

    def subscription_lost(self) -> None:
        """Mark the view as stale, because events may be missing after a lost subscription."""
        self.stale = True
        self._next_sequence = None

    def restarted(self, incarnation: str) -> None:
        """Clear the view if ``incarnation`` is a new one of the engine."""
        if incarnation == self._incarnation:
            return
        self._incarnation = incarnation
        self.blocks.clear()
        self._next_sequence = None
        self.stale = True

    def apply(self, event: CacheEvent) -> None:
        """Apply an event; drop it when a later one has already been applied."""
        self.restarted(event.incarnation)
        expected = self._next_sequence
        if expected is not None and event.sequence < expected:
            return
        if expected is not None and event.sequence > expected:
            self.stale = True
        self._next_sequence = event.sequence + 1
        if event.kind == CacheEventKind.CLEARED:
            self.blocks.clear()
            self.stale = False
        elif event.kind == CacheEventKind.STORED:
            self._store(event.blocks)
        else:
            for block in event.blocks:
                self.blocks.pop(block, None)

    def _store(self, blocks: tuple[int, ...]) -> None:
        for block in blocks:
            self.blocks.pop(block, None)
            self.blocks[block] = None
        while len(self.blocks) > self._limit:
            self.blocks.pop(next(iter(self.blocks)))

    def matched_blocks(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading blocks of a prompt that are cached."""
        known = self.blocks
        for count, block in enumerate(blocks):
            if block not in known:
                return count
        return len(blocks)
