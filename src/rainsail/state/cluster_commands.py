"""Commands of the root group of a fleet that relays: routing table, ledger's founders, leavers."""

from dataclasses import dataclass

from rainsail.wire.codec import wire_record


@dataclass(frozen=True, slots=True)
class ReplaceTable:
    """Put a whole routing table in force, if its version is higher than the one held.

    ``content`` is the table as the operator sent it.
    """

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class FoundLedger:
    """Decide once which storage nodes found the ledger group."""

    founders: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReleaseNode:
    """Decide that a storage node is to be emptied."""

    address: str


@wire_record
@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """The whole state of the root group."""

    version: int
    content: bytes
    founders: tuple[str, ...]
    released: tuple[str, ...]
