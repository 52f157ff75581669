"""The in-memory log of a group: the entries after the compaction base, and their memberships."""

from rainsail.consensus.membership import EMPTY_MEMBERSHIP, Membership, membership_of_payload
from rainsail.storage.interface import LogEntry


class LogWindow:
    """Entries ``base_index + 1 .. last_index``; entries up to the base are committed."""

    def __init__(
        self, base_index: int = 0, base_term: int = 0, membership: Membership = EMPTY_MEMBERSHIP
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[LogEntry] = []
        self._memberships: list[tuple[int, Membership]] = [(base_index, membership)]

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or of the base if there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or of the base if there is none."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> Membership:
        """Return the latest membership in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Return the index of the latest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> Membership:
        """Return the membership in effect at an index of the window."""
        found = self._memberships[0][1]
        for at, membership in self._memberships:
            if at <= index:
                found = membership
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None when the index is outside the window."""
        if index == self.base_index:
            return self.base_term
        position = index - self.base_index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def entry(self, index: int) -> LogEntry:
        """Return the entry at an index of the window."""
        return self._entries[index - self.base_index - 1]

    def append(self, entry: LogEntry) -> None:
        """Append the entry that follows the last one."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
        self._entries.append(entry)
        membership = membership_of_payload(entry.payload)
        if membership is not None:
            self._memberships.append((entry.index, membership))

    def truncate_from(self, index: int) -> None:
        """Drop the entries from ``index`` on, and the memberships among them."""
        if index <= self.base_index:
            raise ValueError(f"cannot truncate from {index} at base {self.base_index}")
        del self._entries[index - self.base_index - 1 :]
        while len(self._memberships) > 1 and self._memberships[-1][0] >= index:
            self._memberships.pop()

    def slice(self, first: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on, up to ``max_bytes`` but at least one if any exists."""
        position = first - self.base_index - 1
        taken = 0
        end = position
        while end < len(self._entries):
            taken += len(self._entries[end].payload)
            if taken > max_bytes and end > position:
                break
            end += 1
        return tuple(self._entries[position:end])

    def retained_from(self, index: int, max_entries: int, max_bytes: int) -> int:
        """Return the index to compact to when a snapshot covers everything up to ``index``.

        Some of the newest entries that the snapshot covers are retained, within both limits, so
        that followers slightly behind need no snapshot.
        """
        keep_after = index
        kept_bytes = 0
        while keep_after > self.base_index and index - keep_after < max_entries:
            kept_bytes += len(self.entry(keep_after).payload)
            if kept_bytes > max_bytes:
                break
            keep_after -= 1
        return keep_after

    def compact(self, index: int) -> None:
        """Advance the base to ``index`` and drop the entries up to it."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        if term is None:
            raise ValueError(f"cannot compact to {index}: not in the window")
        membership = self.membership_at(index)
        del self._entries[: index - self.base_index]
        later = [each for each in self._memberships if each[0] > index]
        self._memberships = [(index, membership), *later]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int, membership: Membership) -> None:
        """Drop all entries and restart the log after a received snapshot."""
        self._entries.clear()
        self.base_index = index
        self.base_term = term
        self._memberships = [(index, membership)]
