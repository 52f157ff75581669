"""Consistency checks on what users of a relayed fleet observe: results, tables and versions.

Each checker records observations and returns descriptions of the inconsistencies it finds, such as
a version that goes backwards.
"""

import re
from dataclasses import dataclass, field
from typing import Any

from rainsail.jobs.messages import ResultEntry, ResultPage

PIECE = re.compile(r"event (\d+) of run (\d+)")


@dataclass(frozen=True)
class ItemRunBegun:
    """A run of an item as requested from its runner: to resume after event ``after``."""

    item: str
    after: int


class RunBook:
    """All runs of items. Events carry the run's number, so a text shows which runs it is from."""

    def __init__(self, events: int) -> None:
        """Every item has ``events`` events, numbered from 1."""
        self.events = events
        self._runs: list[ItemRunBegun] = []

    def begin(self, item: str, after: int) -> int:
        """Record a run; return its number."""
        self._runs.append(ItemRunBegun(item, after))
        return len(self._runs) - 1

    @staticmethod
    def event(run: int, number: int) -> bytes:
        """Return the bytes of one event of a run."""
        return f"id: {number}\ndata: event {number} of run {run}\n\n".encode()

    def faults_of(self, item: str, text: str) -> list[str]:
        """Return the inconsistencies in the text of a completed item."""
        pieces = [PIECE.fullmatch(line) for line in text.split("\n")]
        spoken = [(int(piece[1]), int(piece[2])) for piece in pieces if piece]
        numbers = [number for number, _ in spoken]
        if numbers != list(range(1, self.events + 1)):
            return [f"{item}: the text has the events {numbers}"]
        faults: list[str] = []
        former = -1
        for number, run in spoken:
            wanted = ItemRunBegun(item, number - 1)
            if run != former and self._runs[run] != wanted:
                faults.append(f"{item}: event {number} is of {self._runs[run]}, not of {wanted}")
            former = run
        return faults

    def joined(self, text: str) -> bool:
        """Tell whether a text has parts of several runs."""
        return len({piece[2] for piece in PIECE.finditer(text)}) > 1


class ResultsChecker:
    """The results of one job as seen by all reads, at whichever node."""

    def __init__(self, job: str, items: int, runs: RunBook) -> None:
        self.job = job
        self._items = items
        self._runs = runs
        self.known: dict[int, ResultEntry] = {}

    def least(self, after: int) -> int:
        """Return how many results a read sent now must return from position ``after`` on."""
        return max(0, len(self.known) - after) if self._is_without_gap() else 0

    def _is_without_gap(self) -> bool:
        return len(self.known) == max(self.known, default=-1) + 1

    def is_whole(self) -> bool:
        """Tell whether the results of all items have been seen."""
        return len(self.known) == self._items

    def take(self, page: ResultPage, after: int, least: int) -> list[str]:
        """Check a page; ``least`` is the value of ``least()`` when the read was sent."""
        faults: list[str] = []
        if (page.total, page.after) != (self._items, after):
            faults.append(f"total {page.total}, from position {page.after}, asked for {after}")
        if len(page.results) < least:
            faults.append(f"{len(page.results)} results from {after} on, {least} were there")
        for position, entry in enumerate(page.results, after):
            faults += self._take_entry(position, entry)
        return [f"{self.job}: {fault}" for fault in faults]

    def _take_entry(self, position: int, entry: ResultEntry) -> list[str]:
        known = self.known.get(position)
        if known is not None:
            return [] if entry == known else [f"position {position} held {known}, then {entry}"]
        faults = [
            f"{entry.item} stands at {other} and at {position}"
            for other, each in self.known.items()
            if each.item == entry.item
        ]
        self.known[position] = entry
        return faults + (self._runs.faults_of(entry.item, entry.text) if entry.done else [])


@dataclass
class TableChecker:
    """The versions of the routing table that were acknowledged, read, and received by nodes."""

    newest: int = 0
    """The highest version that was acknowledged or read."""
    _contents: dict[int, bytes] = field(default_factory=dict)
    _at_nodes: dict[Any, int] = field(default_factory=dict)
    _drains_at_nodes: dict[tuple[Any, str], int] = field(default_factory=dict)

    def acknowledged(self, version: int) -> None:
        """Record an acknowledgement."""
        self.newest = max(self.newest, version)

    def read(self, version: int, content: bytes, least: int) -> list[str]:
        """Check the result of a read; ``least`` is the value of ``newest`` when it was sent."""
        self.newest = max(self.newest, version)
        faults = self._content_changed(version, content)
        if version < least:
            faults.append(f"a read gave table {version} after {least} was taken or read")
        return faults

    def received(self, node: Any, version: int, content: bytes) -> list[str]:
        """Check a table that a node has received."""
        return self._content_changed(version, content) + self.at_node(node, version)

    def at_node(self, node: Any, version: int) -> list[str]:
        """Check a node's current version; ``node`` identifies one incarnation of its process."""
        known = self._at_nodes.get(node, 0)
        self._at_nodes[node] = max(known, version)
        return [f"a node went back from table {known} to {version}"] if version < known else []

    def zone_order_at_node(self, node: Any, zone: str, revision: int) -> list[str]:
        """Check the newest drain order for a zone at a node."""
        known = self._drains_at_nodes.get((node, zone), 0)
        self._drains_at_nodes[node, zone] = max(known, revision)
        if revision >= known:
            return []
        return [f"a node went back from order {known} on {zone} to {revision}"]

    def _content_changed(self, version: int, content: bytes) -> list[str]:
        known = self._contents.setdefault(version, content)
        return [] if content == known else [f"table {version} was {known!r}, then {content!r}"]
