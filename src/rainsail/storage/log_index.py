"""In-memory index of a group's log: terms, locations on disk and a cache of entries."""

from array import array
from bisect import bisect_right

from rainsail.storage.interface import LogEntry

_OFFSET_BITS = 32
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1
_EVICTION_SHARE = 8
"""Eviction starts once the cache exceeds its limit by this fraction (1/8) of the limit."""


class LogIndex:
    """Terms of all entries, their locations on disk, and a cache of the newest entries.

    ``base_index`` and ``base_term`` are those of the entry before the first one of the log. Terms
    are run-length encoded, so ``term_at`` takes O(log n) for n changes of the term.
    """

    def __init__(self, cache_bytes: int) -> None:
        self._bound_bytes = cache_bytes
        self._clear(0, 0)

    def _clear(self, base_index: int, base_term: int) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.last_index = base_index
        self._run_starts: list[int] = []
        self._run_terms: list[int] = []
        self._cache: list[LogEntry] = []
        self._cached_bytes = 0
        self._locations_start = base_index + 1
        self._locations: array[int] = array("Q")

    def reset(self, index: int, term: int) -> None:
        """Drop all entries; the next one follows ``index``."""
        self._clear(index, term)

    def append(self, entry: LogEntry) -> None:
        """Add the entry after ``last_index``; raises ``ValueError`` for any other."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
        if not self._run_terms or self._run_terms[-1] != entry.term:
            self._run_starts.append(entry.index)
            self._run_terms.append(entry.term)
        self._cache.append(entry)
        self._cached_bytes += len(entry.payload)
        self.last_index = entry.index

    def set_location(self, segment: int, offset: int) -> None:
        """Record the location of the first entry that has none yet."""
        self._locations.append(segment << _OFFSET_BITS | offset)

    def location_of(self, index: int) -> tuple[int, int]:
        """Return the segment and the offset of a written entry."""
        packed = self._locations[index - self._locations_start]
        return packed >> _OFFSET_BITS, packed & _OFFSET_MASK

    def truncate_from(self, index: int) -> None:
        """Drop the entries from ``index`` on; their locations stay until ``drop_locations``."""
        while self._run_starts and self._run_starts[-1] >= index:
            self._run_starts.pop()
            self._run_terms.pop()
        keep = max(0, index - self.cache_first)
        self._cached_bytes -= sum(len(entry.payload) for entry in self._cache[keep:])
        del self._cache[keep:]
        self.last_index = min(self.last_index, max(index - 1, self.base_index))

    def drop_locations(self, index: int) -> None:
        """Drop the locations from ``index`` on, once the truncation is written."""
        del self._locations[max(0, index - self._locations_start) :]

    def retain_after(self, snapshot_index: int, retained_entries: int) -> None:
        """Drop the entries covered by a snapshot, except for the newest ``retained_entries``."""
        self.drop_until(max(self.base_index, snapshot_index - retained_entries))

    def drop_until(self, index: int) -> None:
        """Drop the entries up to ``index``, which must be in the log."""
        self.base_term = self.term_at(index) or 0
        position = bisect_right(self._run_starts, index + 1) - 1
        if position >= 0:
            del self._run_starts[:position], self._run_terms[:position]
            self._run_starts[0] = max(self._run_starts[0], index + 1)
        cached = max(0, index + 1 - self.cache_first)
        self._evict(cached)
        del self._locations[: max(0, index + 1 - self._locations_start)]
        self._locations_start = max(self._locations_start, index + 1)
        self.base_index = index
        if index == self.last_index:
            self._run_starts.clear()
            self._run_terms.clear()

    @property
    def cache_first(self) -> int:
        """The index of the first cached entry (``last_index + 1`` if the cache is empty)."""
        return self.last_index + 1 - len(self._cache)

    @property
    def cached_entries(self) -> int:
        """The number of cached entries."""
        return len(self._cache)

    def cached(self, first: int, last: int) -> list[LogEntry]:
        """Return cached entries ``first..last``."""
        start = first - self.cache_first
        return self._cache[start : start + last - first + 1]

    def shrink(self, durable_index: int) -> None:
        """Evict the oldest entries down to the cache limit, but none after ``durable_index``."""
        if self._cached_bytes <= self._bound_bytes + self._bound_bytes // _EVICTION_SHARE:
            return
        limit = min(len(self._cache), durable_index + 1 - self.cache_first)
        excess = self._cached_bytes - self._bound_bytes
        count = 0
        while count < limit and excess > 0:
            excess -= len(self._cache[count].payload)
            count += 1
        self._evict(count)

    def _evict(self, count: int) -> None:
        self._cached_bytes -= sum(len(entry.payload) for entry in self._cache[:count])
        del self._cache[:count]

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry or of the one before the first; None for any other."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._run_terms[bisect_right(self._run_starts, index) - 1]
