"""The engine's prefix cache: a bounded set of block hashes with LRU eviction."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Blocks that were stored, and blocks that were evicted to make room for them."""

    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class PrefixCache:
    """Tracks the prompt blocks that need no prefill."""

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def blocks(self) -> tuple[int, ...]:
        """Return all cached blocks, least recently used first."""
        return tuple(self._blocks)

    def match(self, blocks: Iterable[int]) -> int:
        """Return how many leading blocks are cached, and mark them as recently used."""
        matched = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return matched

    def store(self, blocks: Iterable[int]) -> CacheChange:
        """Add blocks, evicting the least recently used ones when the cache is full."""
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
        """Drop all blocks."""
        self._blocks.clear()
