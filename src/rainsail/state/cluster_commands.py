"""Commands of the root group of a fleet that relays.

They replace the routing table, found the ledger, release storage nodes, drain zones and keep
requests that end runners away from them.
"""

from dataclasses import dataclass

from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_type("ReplaceTable")
@dataclass(frozen=True, slots=True)
class ReplaceTable:
    """Put a whole routing table in force, if its version is higher than the one held.

    ``content`` is the table as the operator sent it.
    """

    version: int
    content: bytes


@wire_type("FoundLedger")
@dataclass(frozen=True, slots=True)
class FoundLedger:
    """Decide once which storage nodes found the ledger group."""

    founders: tuple[str, ...]


@wire_type("ReleaseNode")
@dataclass(frozen=True, slots=True)
class ReleaseNode:
    """Decide that a storage node is to be emptied."""

    address: str


@wire_type("ZoneDrain")
@dataclass(frozen=True, slots=True)
class ZoneDrain:
    """The newest order on one zone: whether its runners are to get nothing new.

    ``revision`` counts the orders on the zone that took effect, so that what is heard of them can
    be merged in any order.
    """

    zone: str
    revision: int
    draining: bool


@wire_type("SetZoneDrain")
@dataclass(frozen=True, slots=True)
class SetZoneDrain:
    """Begin or end the drain of a zone, if no other order on it came in between.

    ``expected_revision`` is that of the order that the proposer knew (0: none). An order that was
    held up on its way can thus never take a newer one back.
    """

    zone: str
    draining: bool
    expected_revision: int


@wire_type("QuarantinedRequest")
@dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request that ended runners, by its fingerprint.

    ``times`` is how often it was held, ``held`` whether it is now; one that is not held any more
    is held again at its next offence.
    """

    fingerprint: bytes
    times: int
    held: bool


@wire_type("Quarantine")
@dataclass(frozen=True, slots=True)
class Quarantine:
    """All requests that are or were held; ``revision`` counts the changes, and the highest counts.

    What is heard of it can thus be merged in any order.
    """

    revision: int
    requests: tuple[QuarantinedRequest, ...]


NO_QUARANTINE = Quarantine(0, ())


@wire_type("HoldRequest")
@dataclass(frozen=True, slots=True)
class HoldRequest:
    """Keep a request away from runners."""

    fingerprint: bytes


@wire_type("ReleaseRequest")
@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Let a request go, if it is held for the time that the proposer knew (``times``).

    ``forget``: nothing is held against it any more.
    """

    fingerprint: bytes
    times: int
    forget: bool


@wire_record("FleetSnapshot")
@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """The whole state of the root group."""

    version: int
    content: bytes
    founders: tuple[str, ...]
    released: tuple[str, ...]
    zone_drains: tuple[ZoneDrain, ...]
    quarantine: Quarantine
