"""Hypothesis models of the in-memory consensus log and of its write tracker."""

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rainsail.consensus.core_state import WriteTracker
from rainsail.consensus.log_window import LogWindow
from rainsail.consensus.membership import (
    EMPTY_MEMBERSHIP,
    Membership,
    MemberSpec,
    encode_membership,
)
from rainsail.storage.interface import LogEntry

INDEXES = strategies.integers(0, 60)


class LogWindowModel(RuleBasedStateMachine):
    """Compares a ``LogWindow`` with a plain list of its entries."""

    def __init__(self) -> None:
        super().__init__()
        self.log = LogWindow()
        self.base = (0, 0)
        self.base_membership = EMPTY_MEMBERSHIP
        self.entries: list[LogEntry] = []
        self.memberships: dict[int, Membership] = {}

    @rule(growth=strategies.integers(0, 2), size=strategies.integers(0, 9))
    def append(self, growth: int, size: int) -> None:
        """Append an entry of the same or a later term."""
        entry = LogEntry(self.log.last_index + 1, self._last_term() + growth, b"x" * size)
        self.entries.append(entry)
        self.log.append(entry)

    @rule(number=strategies.integers(1, 99))
    def append_membership(self, number: int) -> None:
        """Append a membership."""
        membership = Membership((MemberSpec("a", f"a.{number}"),))
        entry = LogEntry(self.log.last_index + 1, self._last_term(), encode_membership(membership))
        self.entries.append(entry)
        self.memberships[entry.index] = membership
        self.log.append(entry)

    @precondition(lambda self: self.entries)
    @rule(draw=INDEXES)
    def truncate(self, draw: int) -> None:
        """Drop the entries from some index on."""
        index = self.entries[draw % len(self.entries)].index
        self.entries = [entry for entry in self.entries if entry.index < index]
        self.memberships = {at: m for at, m in self.memberships.items() if at < index}
        self.log.truncate_from(index)

    @precondition(lambda self: self.entries)
    @rule(draw=INDEXES)
    def compact(self, draw: int) -> None:
        """Move the base up to some entry."""
        entry = self.entries[draw % len(self.entries)]
        self.base_membership = self._membership_at(entry.index)
        self.memberships = {at: m for at, m in self.memberships.items() if at > entry.index}
        self.base = (entry.index, entry.term)
        self.entries = [each for each in self.entries if each.index > entry.index]
        self.log.compact(entry.index)

    @rule(ahead=strategies.integers(1, 20), growth=strategies.integers(0, 3))
    def reset(self, ahead: int, growth: int) -> None:
        """Restart the log after a snapshot."""
        self.base = (self.log.last_index + ahead, self._last_term() + growth)
        self.entries, self.memberships = [], {}
        self.base_membership = Membership((MemberSpec("b", f"b.{ahead}"),))
        self.log.reset(*self.base, self.base_membership)

    @rule(draw=INDEXES, max_bytes=strategies.integers(1, 30))
    def slice(self, draw: int, max_bytes: int) -> None:
        """Read a batch from some entry on: one entry at least, more while they fit."""
        first = self.base[0] + 1 + draw % (len(self.entries) + 1)
        found = self.log.slice(first, max_bytes)
        rest = [entry for entry in self.entries if entry.index >= first]
        assert list(found) == rest[: len(found)]
        size = sum(len(entry.payload) for entry in found)
        assert size <= max_bytes or len(found) == 1
        if len(found) < len(rest):
            assert found and size + len(rest[len(found)].payload) > max_bytes

    def _last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base[1]

    def _membership_at(self, index: int) -> Membership:
        at = [each for each in self.memberships if each <= index]
        return self.memberships[max(at)] if at else self.base_membership

    @invariant()
    def agrees(self) -> None:
        """Check that bounds, terms, entries and memberships agree with the list."""
        last = self.entries[-1].index if self.entries else self.base[0]
        assert (self.log.last_index, self.log.last_term) == (last, self._last_term())
        assert self.log.term_at(self.base[0]) == self.base[1]
        assert self.log.term_at(last + 1) is None and self.log.term_at(self.base[0] - 1) is None
        assert all(self.log.term_at(entry.index) == entry.term for entry in self.entries)
        assert all(self.log.entry(entry.index) == entry for entry in self.entries)
        assert self.log.membership == self._membership_at(last)
        assert self.log.membership_index == max(self.memberships, default=self.base[0])


class WriteTrackerModel(RuleBasedStateMachine):
    """Compares a ``WriteTracker`` with a disk that syncs batches of writes in order."""

    def __init__(self) -> None:
        super().__init__()
        self.tracker = WriteTracker(0)
        self.written: list[int] = []
        self.disk: list[int] = []
        self.queue: list[tuple[int, int | None, list[int]]] = []
        self.stamp = 0

    @rule(cut=strategies.integers(0, 4), added=strategies.integers(0, 4))
    def write(self, cut: int, added: int) -> None:
        """Truncate up to four entries and append up to four, as one batch."""
        keep = max(0, len(self.written) - cut)
        truncated = keep if keep < len(self.written) else None
        if truncated is not None:
            self.tracker.truncated_from(truncated + 1)
        new = list(range(self.stamp + 1, self.stamp + 1 + added))
        self.stamp += added
        self.written = self.written[:keep] + new
        if truncated is None and not new:
            return
        self.queue.append((self.tracker.wrote(len(self.written)), truncated, new))

    @precondition(lambda self: self.queue)
    @rule(draw=strategies.integers(0, 9))
    def sync(self, draw: int) -> None:
        """Sync some of the batches, in order."""
        done = self.queue[: draw % len(self.queue) + 1]
        for _, truncated, new in done:
            self.disk = self.disk[:truncated] if truncated is not None else self.disk
            self.disk = self.disk + new
        self.queue = self.queue[len(done) :]
        self.tracker.synced(done[-1][0])

    @invariant()
    def counts_no_more_than_the_disk(self) -> None:
        """Check that entries that count as synced are on the disk and equal the current log's."""
        index = self.tracker.synced_index
        assert self.disk[:index] == self.written[:index]
        if not self.queue:
            assert index == len(self.written) and self.tracker.all_synced()
