"""Commands of the root group of a relaying fleet.

They replace the routing table, bootstrap the ledger group, decommission storage nodes, drain zones
and quarantine requests that crash runners.
"""

from dataclasses import dataclass

from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_type("ReplaceTable")
@dataclass(frozen=True, slots=True)
class ReplaceTable:
    """Replace the routing table, if the version is higher than the current one.

    ``content`` holds the bytes of the table as the operator sent them.
    """

    version: int
    content: bytes


@wire_type("FoundLedger")
@dataclass(frozen=True, slots=True)
class FoundLedger:
    """Set the initial members of the ledger group; only the first such command has an effect."""

    founders: tuple[str, ...]


@wire_type("ReleaseNode")
@dataclass(frozen=True, slots=True)
class ReleaseNode:
    """Mark a storage node as being decommissioned."""

    address: str


@wire_type("ZoneDrain")
@dataclass(frozen=True, slots=True)
class ZoneDrain:
    """Drain state of one zone: the runners of a draining zone get no new work.

    ``revision`` counts the effective changes of the zone's drain state. The highest one wins, so
    that nodes can merge updates in any order.
    """

    zone: str
    revision: int
    draining: bool


@wire_type("SetZoneDrain")
@dataclass(frozen=True, slots=True)
class SetZoneDrain:
    """Begin or end the drain of a zone, if the zone is still at the expected revision.

    ``expected_revision`` is the latest revision known to the proposer (0: none). A delayed command
    can therefore never override a newer one.
    """

    zone: str
    draining: bool
    expected_revision: int


@wire_type("QuarantinedRequest")
@dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request that crashed runners, by its fingerprint.

    ``held`` says whether it is quarantined now, ``times`` how often it has been. A released request
    is quarantined again the next time it crashes a runner.
    """

    fingerprint: bytes
    times: int
    held: bool


@wire_type("Quarantine")
@dataclass(frozen=True, slots=True)
class Quarantine:
    """All requests that are or were quarantined.

    ``revision`` counts the changes. The highest one wins, so that nodes can merge updates in any
    order.
    """

    revision: int
    requests: tuple[QuarantinedRequest, ...]


NO_QUARANTINE = Quarantine(0, ())


@wire_type("HoldRequest")
@dataclass(frozen=True, slots=True)
class HoldRequest:
    """Quarantine a request: no runner gets it."""

    fingerprint: bytes


@wire_type("ReleaseRequest")
@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Release a request from quarantine, if its count of quarantines still is ``times``.

    ``forget`` also deletes its record, so that a single crash does not quarantine it again.
    """

    fingerprint: bytes
    times: int
    forget: bool


@wire_record("FleetSnapshot")
@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """Snapshot of the root group's state."""

    version: int
    content: bytes
    founders: tuple[str, ...]
    released: tuple[str, ...]
    zone_drains: tuple[ZoneDrain, ...]
    quarantine: Quarantine
