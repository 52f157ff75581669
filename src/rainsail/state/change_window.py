"""Answers to recent changes by change id, which make changes idempotent."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from rainsail.state.commands import (
    CancelJob,
    Command,
    CommandOutcome,
    CommandRecord,
    DeleteResource,
    PutResource,
)
from rainsail.state.faults import conflict
from rainsail.wire.codec import encode_body, wire_record

IdentifiedChange = PutResource | DeleteResource | CancelJob


@wire_record("AnsweredChange")
@dataclass(frozen=True, slots=True)
class AnsweredChange:
    """A change id, the fingerprint of its command and the first answer to it."""

    change_id: str
    fingerprint: int
    outcome: CommandOutcome


def fingerprint(command: Command) -> int:
    """Return a 63-bit hash of a command's encoding."""
    return xxhash.xxh3_64_intdigest(encode_body(CommandRecord(command))) >> 1


class ChangeWindow:
    """The latest ``capacity`` answered changes, in the order of their answers."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._answered: OrderedDict[str, AnsweredChange] = OrderedDict()

    def first_answer(self, command: IdentifiedChange) -> CommandOutcome | None:
        """Return the first answer to this change, or None when the change is new.

        Returns a conflict when the change id was used for a different command.
        """
        known = self._answered.get(command.change_id)
        if known is None:
            return None
        if known.fingerprint != fingerprint(command):
            return conflict("change_id", f"{command.change_id!r} was used for another change")
        return known.outcome

    def remember(self, command: IdentifiedChange, outcome: CommandOutcome) -> None:
        """Store the first answer to a change and evict the oldest one beyond the window."""
        if not command.change_id:
            return
        self._add(AnsweredChange(command.change_id, fingerprint(command), outcome))

    def _add(self, change: AnsweredChange) -> None:
        self._answered[change.change_id] = change
        if len(self._answered) > self._capacity:
            self._answered.popitem(last=False)

    def records(self) -> Iterator[AnsweredChange]:
        """Yield the window for a snapshot, oldest first."""
        yield from self._answered.values()

    def restore(self, change: AnsweredChange) -> None:
        """Restore one record of a snapshot."""
        self._add(change)
