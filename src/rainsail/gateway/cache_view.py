"""What a runner has in its prefix cache, as told by events that come late and with gaps."""

from rainsail.engine.interface import CacheEvent, CacheEventKind


class CacheView:
    """Known prefix blocks of one runner.

    A hole in the event sequence makes the view stale: it stays a hint, worth less, until the
    engine clears its cache (a full listing begins with CLEARED) or restarts. ``blocks`` are in
    the order of their last storing.
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
        """Note that events may have been missed (the subscription broke)."""
        self.stale = True
        self._next_sequence = None

    def restarted(self, incarnation: str) -> None:
        """Forget everything when the engine's incarnation is a new one."""
        if incarnation == self._incarnation:
            return
        self._incarnation = incarnation
        self.blocks.clear()
        self._next_sequence = None
        self.stale = True

    def apply(self, event: CacheEvent) -> None:
        """Take an event; late ones (a sequence already passed) are dropped."""
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
        """Return how many leading blocks of a prompt are cached."""
        known = self.blocks
        for count, block in enumerate(blocks):
            if block not in known:
                return count
        return len(blocks)
