"""The engine's prefix cache: a bounded set of block hashes, least recently used out first."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Blocks that came in and blocks that had to go for them."""

    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class PrefixCache:
    """Remembers which prompt blocks need no prefill."""

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def blocks(self) -> tuple[int, ...]:
        """Return all cached blocks, least recently used first."""
        return tuple(self._blocks)

    def match(self, blocks: Iterable[int]) -> int:
        """Return how many leading blocks are cached, and count them as used."""
        matched = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return matched

    def store(self, blocks: Iterable[int]) -> CacheChange:
        """Add blocks; the least recently used go when there is no room."""
        stored = []
        evicted = []
        for block in blocks:
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            if self._capacity == 0:
                break
            if len(self._blocks) >= self._capacity:
                evicted.append(self._blocks.popitem(last=False)[0])
            self._blocks[block] = None
            stored.append(block)
        return CacheChange(tuple(stored), tuple(evicted))

    def clear(self) -> None:
        """Forget everything."""
        self._blocks.clear()
