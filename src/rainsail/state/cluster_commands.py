"""Commands of the root group of a fleet that relays.

They replace the routing table, found the ledger, release storage nodes and drain zones.
"""

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


@dataclass(frozen=True, slots=True)
class ZoneDrain:
    """The newest order on one zone: whether its runners are to get nothing new.

    ``revision`` counts the orders on the zone that took effect, so that what is heard of them can
    be merged in any order.
    """

    zone: str
    revision: int
    draining: bool


@dataclass(frozen=True, slots=True)
class SetZoneDrain:
    """Begin or end the drain of a zone, if no other order on it came in between.

    ``expected_revision`` is that of the order that the proposer knew (0: none). An order that was
    held up on its way can thus never take a newer one back.
    """

    zone: str
    draining: bool
    expected_revision: int


@wire_record
@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """The whole state of the root group."""

    version: int
    content: bytes
    founders: tuple[str, ...]
    released: tuple[str, ...]
    zone_drains: tuple[ZoneDrain, ...]
