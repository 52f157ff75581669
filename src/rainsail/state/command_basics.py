"""Parts of commands that are common to all replicated groups, whatever their state machine."""

from dataclasses import dataclass
from typing import Any

from rainsail.wire.codec import decode, wire_record
from rainsail.wire.names import wire_type

GroupId = int
ROOT_GROUP: GroupId = 0


@wire_record("NoOperation")
@dataclass(frozen=True, slots=True)
class NoOperation:
    """Entry that a new leader appends to commit the entries of earlier terms."""


@wire_type("Done")
@dataclass(frozen=True, slots=True)
class Done:
    """The command took effect, now or when it was sent before, and returns no value."""


def command_of(payload: bytes) -> Any:
    """Return the command in the payload of a log entry.

    A payload is a record with a field ``command``, or a bare ``NoOperation``, which is common to
    all groups.
    """
    record = decode(payload)
    return record if isinstance(record, NoOperation) else record.command
