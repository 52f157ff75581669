"""What every replicated group knows of commands, whichever state machine it drives."""

from dataclasses import dataclass
from typing import Any

from rainsail.wire.codec import decode, wire_record
from rainsail.wire.names import wire_type

GroupId = int
ROOT_GROUP: GroupId = 0


@wire_record("NoOperation")
@dataclass(frozen=True, slots=True)
class NoOperation:
    """Appended by a new leader to commit entries of earlier terms."""


@wire_type("Done")
@dataclass(frozen=True, slots=True)
class Done:
    """The command took effect (or had taken effect before) and has nothing to report."""


def command_of(payload: bytes) -> Any:
    """Return the command of a log entry's payload.

    A payload is a record with a field ``command``, or a ``NoOperation`` by itself, which groups
    of every kind of command understand.
    """
    record = decode(payload)
    return record if isinstance(record, NoOperation) else record.command
