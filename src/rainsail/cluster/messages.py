"""Messages between nodes: heartbeats with incremental updates, pushes and forwarded calls."""

from dataclasses import dataclass
from enum import StrEnum

from rainsail.state.cluster_commands import NO_QUARANTINE, Quarantine, ZoneDrain
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


class NodeRole(StrEnum):
    """The role of a node."""

    GATEWAY = "gateway"
    CONTROLLER = "controller"
    STORAGE = "storage"


class RunnerState(StrEnum):
    """A runner's own state; an incarnation never returns from a later member to an earlier one."""

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
    """One incarnation of a runner, from its latest report.

    ``born`` is its start time in milliseconds since 1970 (0: not given). A runner that restarts may
    keep its id and is a new incarnation. ``sequence`` increases with each report of an incarnation,
    so that late reports can be recognized. ``warm_up_left_s`` is the remaining warm-up time in
    seconds at the time of the report. ``superseded_at`` is the sequence up to which another
    incarnation is known to hold its address (``NOT_SUPERSEDED``: none does).
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
        """Sort key of its reports: the incarnation first, then the sequence within it."""
        return self.born, self.sequence

    @property
    def is_superseded(self) -> bool:
        """Whether another incarnation has taken its address since its last report."""
        return self.superseded_at >= self.sequence

    @property
    def takes_work(self) -> bool:
        """Whether it may get new work according to its own report."""
        return self.state == RunnerState.READY and not self.is_superseded


@wire_type("LedgerStatus")
@dataclass(frozen=True, slots=True)
class LedgerStatus:
    """A storage node's status in the ledger group: whether it leads, its term and the voters."""

    leads: bool
    term: int
    voters: tuple[str, ...]
    settled: bool
    """Whether there is no learner and no replacement of a member under way."""


@wire_type("FleetView")
@dataclass(frozen=True, slots=True)
class FleetView:
    """A controller's view of the fleet, sent to every node.

    ``storage`` lists the live storage nodes, ``founders`` the founders of the ledger group (empty
    until they are chosen), ``leaving`` the storage nodes to be emptied. ``voters`` and
    ``ledger_voters`` are the voting members of the root group and of the ledger group;
    ``ledger_term`` is the term of the ledger's leader. ``gateways`` is the number of gateways,
    rounded up so that it rarely changes. ``zone_drains`` holds the newest order on each zone,
    ``quarantine`` the requests that must not reach any runner.
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
    """A node's heartbeat, with the position up to which it knows this controller's registry.

    ``epoch`` and ``revision`` are those of the last reply or update from this controller, ``view``
    is the number of the last view received from it in that epoch.
    """

    node: NodeRecord
    epoch: int
    revision: int
    view: int
    ledger: LedgerStatus | None


@wire_record("NodeBeatReply")
@dataclass(frozen=True, slots=True)
class NodeHeartbeatReply:
    """The view of the fleet and the runners that changed after the revision that the node knows.

    ``view`` is None if the node already has view number ``view_number``. ``runners`` is an encoded
    ``RunnerPage`` (empty: no change); it is encoded once for the many nodes that get the same page.
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
    """Changed runners, oldest change first."""

    runners: tuple[RunnerRecord, ...]


@wire_record("RunnerUpdate")
@dataclass(frozen=True, slots=True)
class RunnerUpdate:
    """Pushed to nodes as soon as runners change; the next heartbeat covers a lost push."""

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
    """Pushed to nodes when a zone drain order is committed: the newest order on each zone."""

    zone_drains: tuple[ZoneDrain, ...]


@wire_record("OrderZoneDrain")
@dataclass(frozen=True, slots=True)
class OrderZoneDrain:
    """Asks the leader to begin or end a zone's drain if its newest order is the expected one."""

    zone: str
    draining: bool
    expected_revision: int


@wire_record("ZoneDrainAnswer")
@dataclass(frozen=True, slots=True)
class ZoneDrainAnswer:
    """The newest order on a zone, confirmed by a quorum; ``taken`` if it matches the request."""

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
    """A routing table as the operator sent it; version 0 means none."""

    version: int
    content: bytes


@wire_record("ShareRunner")
@dataclass(frozen=True, slots=True)
class ShareRunner:
    """Forwards runners' reports to another controller; the reply acknowledges them."""

    records: tuple[RunnerRecord, ...]


@wire_record("RunnerShared")
@dataclass(frozen=True, slots=True)
class RunnerShared:
    """The reports are registered and being pushed to the nodes that follow this controller."""


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
    """Asks the leader for the progress of a node's emptying."""

    name: str


@wire_record("EmptyingStatus")
@dataclass(frozen=True, slots=True)
class EmptyingStatus:
    """``done`` once the ledger tolerates the configured losses without the node."""

    name: str
    done: bool


@wire_record("RunnerReads")
@dataclass(frozen=True, slots=True)
class RunnerPrefill:
    """A gateway's notice that a runner processes a long prompt; a controller relays it.

    A negative time takes an earlier notice back: the runner has not run that request.
    """

    runner: str
    reading_s: float


@wire_record("LedgerLeader")
@dataclass(frozen=True, slots=True)
class LedgerLeader:
    """Pushed to nodes when another storage node becomes the ledger's leader."""

    address: str
    term: int
