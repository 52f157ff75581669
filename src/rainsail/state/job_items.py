"""The items of one job: bodies packed by range, one phase byte per item.

A range stores its bodies as one block of Avro records with one offset per item. The bodies of a
range are freed once all of its items have finished: results contain the callers' ids, so the
bodies are not needed any more.
"""

import re
from array import array
from bisect import bisect_right, insort
from collections.abc import Iterator
from dataclasses import dataclass

from rainsail.state.commands import ItemBody, ItemPhase
from rainsail.wire.codec import decode_body, encode_body, wire_record

ABSENT = 0
PENDING = 1
LEASED = 2
COMPLETED = 3
SET_ASIDE = 4
CANCELLED = 5

ITEM_PHASES: dict[int, ItemPhase] = {
    PENDING: ItemPhase.PENDING,
    LEASED: ItemPhase.LEASED,
    COMPLETED: ItemPhase.COMPLETED,
    SET_ASIDE: ItemPhase.SET_ASIDE,
    CANCELLED: ItemPhase.CANCELLED,
}

_FINISHED = re.compile(b"[\x03\x04\x05]")
_CANCEL_UNFINISHED = bytes.maketrans(bytes([PENDING, LEASED]), bytes([CANCELLED, CANCELLED]))


@wire_record("StoredRange")
@dataclass(frozen=True, slots=True)
class StoredRange:
    """One range of a job's items, in a snapshot; ``offsets`` holds 32-bit integers."""

    job_id: str
    first_index: int
    offsets: bytes
    bodies: bytes


class ItemRange:
    """Consecutive items. ``offsets`` holds the start of each body and the end of the last one."""

    __slots__ = ("bodies", "first_index", "offsets", "unfinished")

    def __init__(self, first_index: int, offsets: "array[int]", bodies: bytes) -> None:
        self.first_index = first_index
        self.offsets = offsets
        self.bodies = bodies
        self.unfinished = len(offsets) - 1

    def __lt__(self, other: "ItemRange") -> bool:
        return self.first_index < other.first_index

    def count(self) -> int:
        """Return the number of items."""
        return len(self.offsets) - 1

    def packed(self, index: int) -> bytes:
        """Return the encoded body of an item."""
        position = index - self.first_index
        return self.bodies[self.offsets[position] : self.offsets[position + 1]]


def pack_range(first_index: int, bodies: list[bytes]) -> ItemRange:
    """Pack encoded bodies into a range."""
    offsets = array("I", [0])
    end = 0
    for body in bodies:
        end += len(body)
        offsets.append(end)
    return ItemRange(first_index, offsets, b"".join(bodies))


class JobItems:
    """Bodies and phases of one job's items. ``Job`` keeps the counts by phase."""

    __slots__ = ("_cursor", "_ranges", "_starts", "phases")

    def __init__(self, item_count: int) -> None:
        self.phases = bytearray(item_count)
        self._ranges: list[ItemRange] = []
        self._starts: list[int] = []
        self._cursor = 0

    def add(self, first_index: int, items: tuple[ItemBody, ...]) -> int | None:
        """Add the items that do not exist yet and return their number.

        Returns None and adds nothing when an existing item has a different body.
        """
        packed = [encode_body(item) for item in items]
        if not self._matches_existing(first_index, packed):
            return None
        added = 0
        for start, bodies in self._missing_runs(first_index, packed):
            self._insert(pack_range(start, bodies))
            self.phases[start : start + len(bodies)] = bytes([PENDING]) * len(bodies)
            added += len(bodies)
        return added

    def _matches_existing(self, first_index: int, packed: list[bytes]) -> bool:
        return all(
            self.phases[first_index + position] == ABSENT
            or self._packed(first_index + position) == body
            for position, body in enumerate(packed)
        )

    def _missing_runs(
        self, first_index: int, packed: list[bytes]
    ) -> Iterator[tuple[int, list[bytes]]]:
        run: list[bytes] = []
        for position, body in enumerate(packed):
            if self.phases[first_index + position] == ABSENT:
                run.append(body)
            elif run:
                yield first_index + position - len(run), run
                run = []
        if run:
            yield first_index + len(packed) - len(run), run

    def _insert(self, item_range: ItemRange) -> None:
        insort(self._ranges, item_range)
        insort(self._starts, item_range.first_index)
        self._cursor = min(self._cursor, item_range.first_index)

    def _range_of(self, index: int) -> ItemRange:
        return self._ranges[bisect_right(self._starts, index) - 1]

    def _packed(self, index: int) -> bytes:
        return self._range_of(index).packed(index)

    def body(self, index: int) -> ItemBody:
        """Return the body of an item whose range still has unfinished items."""
        return decode_body(ItemBody, self._packed(index))

    def next_pending(self) -> int:
        """Return the lowest index of a pending item, or -1."""
        self._cursor = self.phases.find(PENDING, self._cursor)
        if self._cursor < 0:
            self._cursor = len(self.phases)
            return -1
        return self._cursor

    def set_phase(self, index: int, phase: int) -> None:
        """Set an item's phase; COMPLETED and SET_ASIDE are final."""
        self.phases[index] = phase
        if phase == PENDING:
            self._cursor = min(self._cursor, index)
        elif phase in (COMPLETED, SET_ASIDE):
            self._mark_finished(self._range_of(index))

    def _mark_finished(self, item_range: ItemRange) -> None:
        item_range.unfinished -= 1
        if item_range.unfinished == 0:
            item_range.bodies = b""
            item_range.offsets = array("I", [0])

    def cancel_unfinished(self) -> None:
        """Set every pending or leased item to CANCELLED."""
        self.phases[:] = self.phases.translate(_CANCEL_UNFINISHED)

    def finished_from(self, first_index: int) -> Iterator[int]:
        """Yield the indexes of finished items from ``first_index`` on."""
        for match in _FINISHED.finditer(self.phases, max(0, first_index)):
            yield match.start()

    def records(self, job_id: str) -> Iterator[StoredRange]:
        """Yield the ranges that still have bodies for a snapshot."""
        for each in self._ranges:
            if each.unfinished:
                yield StoredRange(job_id, each.first_index, each.offsets.tobytes(), each.bodies)

    def restore(self, record: StoredRange) -> None:
        """Restore one range of a snapshot; the phases must be set before."""
        restored = ItemRange(record.first_index, array("I", record.offsets), record.bodies)
        end = record.first_index + restored.count()
        phases = self.phases[record.first_index : end]
        restored.unfinished -= phases.count(COMPLETED) + phases.count(SET_ASIDE)
        self._insert(restored)
