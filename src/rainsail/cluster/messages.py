"""Messages between nodes: beats with what has changed since the last, pushes, forwarded calls."""

from dataclasses import dataclass
from enum import StrEnum

from rainsail.state.cluster_commands import NO_QUARANTINE, Quarantine, ZoneDrain
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


class NodeRole(StrEnum):
    """What a node does."""

    GATEWAY = "gateway"
    CONTROLLER = "controller"
    STORAGE = "storage"


class RunnerState(StrEnum):
    """A runner's report about itself; later members are final over earlier ones."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@wire_type("NodeRecord")
@dataclass(frozen=True, slots=True)
class NodeRecord:
    """One node. ``address`` is the IP:PORT of its transport, which is also its process name."""

    address: str
    name: str
    role: NodeRole
    zone: str
    incarnation: int


NOT_SUPERSEDED = -1


@wire_type("RunnerRecord")
@dataclass(frozen=True, slots=True)
class RunnerRecord:
    """One incarnation of a runner, as it last described itself.

    ``born`` is when it started, in milliseconds since 1970 (0: it doesn't say): a runner that
    starts again may keep its id, and is another one. ``sequence`` rises with each report of one
    incarnation, so that a late one is known. ``warm_up_left_s`` is how much longer it warms up, in
    seconds from when it said so. ``superseded_at`` is the sequence up to which another incarnation
    is known to hold its address (``NOT_SUPERSEDED``: none does).
    """

    runner: str
    service: str
    address: str
    zone: str
    slots: int
    state: RunnerState
    warm_up_left_s: float
    sequence: int
    superseded_at: int = NOT_SUPERSEDED
    born: int = 0

    @property
    def report_order(self) -> tuple[int, int]:
        """What orders its reports: first the incarnation that says it, then the count within it."""
        return self.born, self.sequence

    @property
    def is_superseded(self) -> bool:
        """Tell whether another incarnation took its address after its last report."""
        return self.superseded_at >= self.sequence

    @property
    def takes_work(self) -> bool:
        """Tell whether it may get new work, as far as it says itself."""
        return self.state == RunnerState.READY and not self.is_superseded


@wire_type("LedgerStatus")
@dataclass(frozen=True, slots=True)
class LedgerStatus:
    """What a storage node says of the ledger group: whether it leads, and the voters."""

    leads: bool
    term: int
    voters: tuple[str, ...]
    settled: bool
    """No learner and no replacement is under way."""


@wire_type("FleetView")
@dataclass(frozen=True, slots=True)
class FleetView:
    """What a controller knows of the fleet and tells every node.

    ``storage`` are the storage nodes heard of lately, ``founders`` those that found the ledger
    group (empty until that is decided), ``leaving`` the storage nodes that are to be emptied.
    ``voters`` and ``ledger_voters`` are the members of the root group and of the ledger that
    decide, ``ledger_term`` is the term of the ledger's leader; ``gateways`` is about how many there
    are, rounded up so that it seldom changes. ``zone_drains`` has the newest order on each zone,
    ``quarantine`` the requests that no runner may get.
    """

    controllers: tuple[str, ...]
    storage: tuple[str, ...]
    founders: tuple[str, ...]
    leaving: tuple[str, ...]
    ledger_leader: str
    voters: tuple[str, ...] = ()
    ledger_voters: tuple[str, ...] = ()
    ledger_term: int = 0
    gateways: int = 0
    zone_drains: tuple[ZoneDrain, ...] = ()
    quarantine: Quarantine = NO_QUARANTINE


@wire_record("NodeBeat")
@dataclass(frozen=True, slots=True)
class NodeHeartbeat:
    """Says that a node is there, and up to where it knows this controller's registry.

    ``epoch`` and ``revision`` are those of the last reply or update from this controller, ``view``
    the number of the last view that came from it in that epoch.
    """

    node: NodeRecord
    epoch: int
    revision: int
    view: int
    ledger: LedgerStatus | None


@wire_record("NodeBeatReply")
@dataclass(frozen=True, slots=True)
class NodeHeartbeatReply:
    """The fleet, and the runners that have changed since the revision that the node knows.

    ``view`` is None when the node knows the newest one, of number ``view_number``. ``runners`` is
    an encoded ``RunnerPage`` (empty: none has changed), since many nodes get the same.
    """

    view: FleetView | None
    view_number: int
    table_version: int
    epoch: int
    revision: int
    runners: bytes


@wire_record("RunnerPage")
@dataclass(frozen=True, slots=True)
class RunnerPage:
    """Runners that have changed, oldest change first."""

    runners: tuple[RunnerRecord, ...]


@wire_record("RunnerUpdate")
@dataclass(frozen=True, slots=True)
class RunnerUpdate:
    """Pushed to nodes as soon as runners change; a gap is made good by the next beat."""

    epoch: int
    previous_revision: int
    revision: int
    runners: tuple[RunnerRecord, ...]


@wire_record("TableNotice")
@dataclass(frozen=True, slots=True)
class TableNotice:
    """Pushed to nodes when a routing table of a higher version is committed."""

    version: int


@wire_record("ZoneDrainNotice")
@dataclass(frozen=True, slots=True)
class ZoneDrainNotice:
    """Pushed to nodes when an order on a zone is committed: the newest order on each zone."""

    zone_drains: tuple[ZoneDrain, ...]


@wire_record("OrderZoneDrain")
@dataclass(frozen=True, slots=True)
class OrderZoneDrain:
    """Asks the leader to begin or end a zone's drain, on top of the order that the caller knows."""

    zone: str
    draining: bool
    expected_revision: int


@wire_record("ZoneDrainAnswer")
@dataclass(frozen=True, slots=True)
class ZoneDrainAnswer:
    """The newest order on a zone, as a quorum confirms it; ``taken`` when it is what was asked."""

    drain: ZoneDrain
    taken: bool


@wire_record("ReadZoneDrains")
@dataclass(frozen=True, slots=True)
class ReadZoneDrains:
    """Asks the leader for the newest order on each zone, confirmed by a quorum."""


@wire_record("FetchTable")
@dataclass(frozen=True, slots=True)
class FetchTable:
    """Asks a controller for the routing table that it has applied."""


@wire_record("TableDocument")
@dataclass(frozen=True, slots=True)
class TableDocument:
    """A routing table as the operator sent it; version 0 stands for none."""

    version: int
    content: bytes


@wire_record("ShareRunner")
@dataclass(frozen=True, slots=True)
class ShareRunner:
    """Tells another controller runners' reports; the answer says that they are known there."""

    records: tuple[RunnerRecord, ...]


@wire_record("RunnerShared")
@dataclass(frozen=True, slots=True)
class RunnerShared:
    """The report is known and on its way to the nodes that follow this controller."""


@wire_record("SubmitTable")
@dataclass(frozen=True, slots=True)
class SubmitTable:
    """Asks the leader to replace the routing table."""

    version: int
    content: bytes


@wire_record("TableAccepted")
@dataclass(frozen=True, slots=True)
class TableAccepted:
    """The table in force has this version or a higher one."""

    version: int


@wire_record("ReadTable")
@dataclass(frozen=True, slots=True)
class ReadTable:
    """Asks the leader for the newest table, confirmed by a quorum."""


@wire_record("EmptyNode")
@dataclass(frozen=True, slots=True)
class EmptyNode:
    """Asks the leader to move the ledger off a storage node."""

    name: str


@wire_record("ReadEmptying")
@dataclass(frozen=True, slots=True)
class ReadEmptying:
    """Asks the leader how far a node's emptying is."""

    name: str


@wire_record("EmptyingStatus")
@dataclass(frozen=True, slots=True)
class EmptyingStatus:
    """``done`` once the ledger bears its losses without the node."""

    name: str
    done: bool


@wire_record("RunnerReads")
@dataclass(frozen=True, slots=True)
class RunnerPrefill:
    """A gateway's report that a runner reads a long prompt; a controller hands it to the others."""

    runner: str
    reading_s: float


@wire_record("LedgerLeader")
@dataclass(frozen=True, slots=True)
class LedgerLeader:
    """Pushed to nodes when another storage node leads the ledger."""

    address: str
    term: int
