"""A controller: what runners, operators and nodes are told, over the root group.

Durable: the routing table, the ledger's founders, the nodes to be emptied, the zone drains and the
requests that are held (``FleetState``, in the root group's log). Soft: the registry of runners and
the directory of nodes, rebuilt from their own words within one beat.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from expression import Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.cluster.beat_answers import NumberedView, RunnerPages
from rainsail.cluster.committed_copy import CommittedCopies
from rainsail.cluster.directory import NodeDirectory
from rainsail.cluster.emptying import EmptyingOrders
from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.followed import MOST_FOLLOWED_WHOLE, in_turn
from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.founders import voters_for
from rainsail.cluster.leader_answers import confirmed, not_leading, reply_to_proposal
from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.cluster.ledger_founding import LedgerFounding
from rainsail.cluster.messages import (
    FetchTable,
    FleetView,
    LedgerLeader,
    NodeBeat,
    NodeBeatReply,
    NodeRecord,
    NodeRole,
    ReadTable,
    RunnerReads,
    RunnerRecord,
    RunnerShared,
    RunnerState,
    RunnerUpdate,
    ShareRunner,
    SubmitTable,
    TableAccepted,
    TableDocument,
    TableNotice,
    ZoneDrainNotice,
)
from rainsail.cluster.push_queue import PushQueue
from rainsail.cluster.quorum_wait import QuorumWait
from rainsail.cluster.runner_journal import RunnerJournal
from rainsail.cluster.zone_drain_orders import ZoneDrainOrders
from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault
from rainsail.logs import logger
from rainsail.quarantine.control import QuarantineControl
from rainsail.runtime.clock import Clock
from rainsail.state.cluster_commands import ReplaceTable, ZoneDrain
from rainsail.wire.messenger import Messenger

PLAN_PERIOD_S = 0.25
GATEWAYS_ROUNDED_TO = 32
MOST_TOLD_OF_READING = 64
"""So many gateways are told of a prompt that a runner reads: in a larger fleet each of them sends
that runner so little that the word is worth less than it costs."""


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """What a controller is told.

    ``losses`` is how many machines with a disk may be lost at one time, ``zones`` the zones of the
    fleet (empty: not told); the others are seconds that a call may take before its caller hears
    that it is unclear.
    """

    losses: int = 1
    zones: frozenset[str] = frozenset()
    order_within_s: float = 0.9
    share_within_s: float = 0.8


@dataclass(frozen=True, slots=True)
class ControllerStatus:
    """What one controller knows of the fleet, for its operator."""

    table_version: int
    runners_ready: int
    runners_warming: int


def _rounded_up(count: int) -> int:
    """Return a count rounded up, so that it seldom changes."""
    return -(-count // GATEWAYS_ROUNDED_TO) * GATEWAYS_ROUNDED_TO


class FleetController:
    """Serves nodes over the messenger, and runners and operators through its methods."""

    def __init__(
        self,
        node: NodeRecord,
        group: GroupDriver,
        state: FleetState,
        follower: FleetFollower,
        messenger: Messenger,
        clock: Clock,
        settings: ControllerSettings,
        journal: RunnerJournal,
        committed: CommittedCopies,
        services_of: Callable[[bytes], frozenset[str] | None] = lambda content: None,
    ) -> None:
        """``services_of`` names the services of a routing table, None when it can't be read."""
        self._node = node
        self._group = group
        self._state = state
        self._follower = follower
        self._registry = follower.registry
        self._messenger = messenger
        self._clock = clock
        self._settings = settings
        self._journal = journal
        self._committed = committed
        self._services_of = services_of
        self._named_version = 0
        self._directory = NodeDirectory()
        self._calls = LeaderCaller(messenger, clock, group, self._other_controllers)
        self.emptying = EmptyingOrders(
            group, state, self._directory, self._calls, clock, settings.losses
        )
        self._founding = LedgerFounding(group, state, self._directory, settings.losses)
        self.zone_drains = ZoneDrainOrders(group, state, self._calls, clock, self._zones)
        self.quarantine = QuarantineControl(
            messenger, clock, group, state, follower, self._calls, self._followers
        )
        self._epoch = node.incarnation
        self._pushed_revision = 0
        self._pushes = PushQueue(clock, self._count_followers, self._push_batch)
        self._views = NumberedView(self._view)
        self._pages = RunnerPages(follower.registry)
        self._unshared: set[str] = set()
        self._readings = 0
        self._noticed_version = 0
        self._noticed_drains: tuple[ZoneDrain, ...] = ()
        self._ledger_term = 0
        self._stopped = False
        follower.on_runners = self._push_runners
        follower.on_table = self._table_told
        self._name_services()
        group.on_applied(self._applied)
        serve = messenger.serve
        serve(NodeBeat, self._take_beat)
        serve(RunnerReads, self._hand_on_reading)
        serve(FetchTable, lambda source, message: self._committed_document())
        serve(ShareRunner, self._take_shared)
        serve(SubmitTable, lambda source, message: self._submit_as_leader(message))
        serve(ReadTable, lambda source, message: self._read_as_leader(message))
        self.emptying.serve(messenger)
        self.zone_drains.serve(messenger)

    def start(self) -> None:
        """Begin to plan and to follow the other controllers."""
        self._plan()

    def stop(self) -> None:
        """Plan no more."""
        self._stopped = True

    def status(self) -> ControllerStatus:
        """Return what this controller knows now; runners that warm up are among the ready ones."""
        runners = [each.runner for each in self._registry.records()]
        ready = [runner for runner in runners if self._registry.is_ready(runner)]
        warming = sum(map(self._registry.is_warming, ready))
        return ControllerStatus(self._state.version, len(ready), warming)

    # --- runners -------------------------------------------------------------------------

    def runner_word(self, record: RunnerRecord) -> "Deferred[Result[None, Fault]]":
        """Take a runner's word; one that leaves is known to a quorum when this fires.

        Nodes follow the voters, so what another controller hears first is known to a quorum too.
        """
        known = self._registry.get(record.runner)
        changed = self._take_word(record)
        now_known = self._registry.get(record.runner)
        if now_known is None:
            return succeed(Ok(None))
        if now_known.state == RunnerState.READY:
            return self._share_ready(now_known, now_known in changed)
        if known is not None and known.state == now_known.state and known.state != record.state:
            return succeed(Ok(None))
        return self._share(now_known)

    def runner_gone(self, runner: str, born: int | None = None) -> "Deferred[Result[None, Fault]]":
        """Take the word of a runner's life (None: the one that is known) that it is gone."""
        return self.runner_word(self._registry.end(runner, born))

    def _take_word(self, record: RunnerRecord) -> list[RunnerRecord]:
        """Take a word from anywhere; return the records that others must hear of."""
        changed = self._registry.take((record,))
        if changed:
            self._push_runners(changed)
            for each in changed:
                log = logger.bind(runner=each.runner, service=each.service, state=each.state.value)
                log.bind(address=each.address, sequence=each.sequence).info("runner_changed")
        return changed

    def _share_ready(self, record: RunnerRecord, changed: bool) -> "Deferred[Result[None, Fault]]":
        if self._is_followed() or not (changed or record.runner in self._unshared):
            return succeed(Ok(None))
        self._unshared.add(record.runner)
        return self._share(record).addCallback(self._ready_shared, record.runner)

    def _ready_shared(self, result: Result[None, Fault], runner: str) -> Result[None, Fault]:
        if result.is_ok():
            self._unshared.discard(runner)
        return result

    def _voters(self) -> tuple[str, ...]:
        """Return the root group's voters; a controller outside the group knows them by hearsay."""
        own = tuple(member.replica for member in self._group.members().voters())
        return own or self._follower.voters()

    def _is_followed(self) -> bool:
        """Tell whether nodes follow this controller, so that its pushes reach them."""
        known = {*self._views.view.controllers, *self._follower.view().controllers}
        return self._node.address in self._voters() or len(known) <= MOST_FOLLOWED_WHOLE

    def _share(self, record: RunnerRecord) -> "Deferred[Result[None, Fault]]":
        """Tell the other controllers, and wait until a quorum of them knows."""
        voters = self._voters()
        others = [name for name in voters if name != self._node.address]
        quorum = len(voters) // 2 + 1
        wait = QuorumWait(quorum, len(voters), "cluster.share_runner")
        if self._node.address in voters:
            self._keep((record,)).addCallback(wait.take)
        for name in others:
            call = self._messenger.call(name, ShareRunner((record,)), self._settings.share_within_s)
            call.addCallback(wait.take)
        return wait.done

    def _take_shared(self, source: str, message: ShareRunner) -> "Deferred[Any]":
        for record in message.records:
            self._take_word(record)
        kept = self._keep(message.records)
        return kept.addCallback(lambda result: result if result.is_error() else RunnerShared())

    def _keep(self, records: tuple[RunnerRecord, ...]) -> "Deferred[Result[None, Fault]]":
        """Fire once what must not be forgotten of some words is durable here."""
        if all(record.state == RunnerState.READY for record in records):
            return succeed(Ok(None))
        return self._journal.sync()

    def _push_runners(self, changed: list[RunnerRecord]) -> None:
        self._journal.note(changed)
        self._pushes.add(changed)

    def _followers(self) -> tuple[str, ...]:
        return tuple(self._directory.followers(self._clock.seconds()))

    def _count_followers(self) -> int:
        return len(self._followers())

    def _push_batch(self, changed: tuple[RunnerRecord, ...]) -> None:
        previous, self._pushed_revision = self._pushed_revision, self._registry.revision
        update = RunnerUpdate(self._epoch, previous, self._registry.revision, changed)
        self._messenger.send_all(self._followers(), update)

    def _hand_on_reading(self, source: str, message: RunnerReads) -> None:
        """Tell every other gateway that a runner is busy reading."""
        now = self._clock.seconds()
        gateways = [
            address
            for address in self._directory.addresses(NodeRole.GATEWAY, now)
            if address != source
        ]
        self._readings += 1
        self._messenger.send_all(in_turn(gateways, self._readings, MOST_TOLD_OF_READING), message)

    # --- nodes ---------------------------------------------------------------------------

    def _take_beat(self, source: str, beat: NodeBeat) -> NodeBeatReply:
        now = self._clock.seconds()
        if self._directory.heard(beat.node, beat.ledger, now):
            node = beat.node
            log = logger.bind(node=node.name, address=node.address, role=node.role.value)
            log.info("node_heard")
        self._notice_ledger_leader(beat, now)
        same_epoch = beat.epoch == self._epoch
        view = self._views.current(now)
        knows_view = same_epoch and beat.view == self._views.number
        return NodeBeatReply(
            None if knows_view else view,
            self._views.number,
            self._committed.version,
            self._epoch,
            self._registry.revision,
            self._pages.since(beat.revision if same_epoch else 0),
        )

    def _notice_ledger_leader(self, beat: NodeBeat, now: float) -> None:
        """Push the ledger's new leader at once: gateways report to it what they have running."""
        status = beat.ledger
        if status is None or not status.leads or status.term <= self._ledger_term:
            return
        self._ledger_term = status.term
        followers = self._directory.followers(now)
        self._messenger.send_all(followers, LedgerLeader(beat.node.address, status.term))

    def _view(self, now: float) -> FleetView:
        members = {member.replica for member in self._group.members().members}
        controllers = {self._node.address, *members}
        controllers.update(self._directory.addresses(NodeRole.CONTROLLER, now))
        leading = self._directory.ledger_status(now)
        return FleetView(
            tuple(sorted(controllers)),
            self._directory.addresses(NodeRole.STORAGE, now),
            self._state.founders,
            self._state.released,
            "" if leading is None else leading[0],
            tuple(member.replica for member in self._group.members().voters()),
            () if leading is None else leading[1].voters,
            0 if leading is None else leading[1].term,
            _rounded_up(len(self._directory.live(NodeRole.GATEWAY, now))),
            self._registry.zone_drains.orders(),
            self._follower.quarantine.current,
        )

    def _zones(self) -> frozenset[str]:
        """Return the fleet's zones: as the settings name them, else as nodes and runners do."""
        if self._settings.zones:
            return self._settings.zones
        return self._directory.zones() | self._registry.zones()

    def _other_controllers(self) -> list[str]:
        now = self._clock.seconds()
        known = {*self._view(now).controllers, *self._follower.view().controllers}
        named = self._voters() or known
        return sorted(name for name in named if name != self._node.address)

    # --- the routing table ---------------------------------------------------------------

    def replace_table(self, version: int, content: bytes) -> "Deferred[Result[Any, Fault]]":
        """Put a valid table in force; fires once a quorum has synced it."""
        message = SubmitTable(version, content)
        return self._calls.call(message, self._submit_as_leader, self._settings.order_within_s)

    def read_table(self) -> "Deferred[Result[Any, Fault]]":
        """Return the newest table, as a quorum confirms it."""
        return self._calls.call(ReadTable(), self._read_as_leader, self._settings.order_within_s)

    def _submit_as_leader(self, message: SubmitTable) -> "Deferred[Any]":
        if not self._group.is_leader():
            return succeed(not_leading(self._group, "cluster.replace_table"))
        if message.version <= self._state.version:
            return confirmed(self._group, lambda: TableAccepted(self._state.version))
        proposed = self._group.propose(ReplaceTable(message.version, message.content))
        return proposed.addCallback(reply_to_proposal, TableAccepted(message.version))

    def _read_as_leader(self, message: ReadTable) -> "Deferred[Any]":
        if not self._group.is_leader():
            return succeed(not_leading(self._group, "cluster.read_table"))
        return confirmed(self._group, self._document)

    def _committed_document(self) -> TableDocument:
        return TableDocument(self._committed.version, self._committed.content)

    def _document(self) -> TableDocument:
        return TableDocument(self._state.version, self._state.content)

    def _applied(self, index: int) -> None:
        self._notice_zone_drains()
        self.quarantine.applied()
        self._name_services()
        self._committed.changed()
        if self._state.version <= self._noticed_version:
            return
        self._noticed_version = self._state.version
        self._follower.table_version = self._state.version
        logger.bind(version=self._state.version, index=index).info("table_applied")
        self._messenger.send_all(self._followers(), TableNotice(self._state.version))

    def _name_services(self) -> None:
        """Have the registry know the services of the newest table: others hold no address."""
        if self._committed.version > self._named_version:
            self._named_version = self._committed.version
            self._registry.named_services = self._services_of(self._committed.content)

    def _notice_zone_drains(self) -> None:
        """Obey orders on zones that were committed, and tell the nodes of them."""
        drains = self._state.zone_drains()
        if drains == self._noticed_drains:
            return
        self._noticed_drains = drains
        self._follower.take_zone_drains(drains)
        self._messenger.send_all(self._followers(), ZoneDrainNotice(drains))

    def _table_told(self, document: TableDocument) -> None:
        self._committed.told(document)
        self._name_services()

    # --- what the leader plans -----------------------------------------------------------

    def _plan(self) -> None:
        if self._stopped:
            return
        now = self._clock.seconds()
        # Before the first beats arrive a controller knows the others from its seeds alone.
        view = self._views.current(now)
        known = {*view.controllers, *self._follower.view().controllers}
        self._group.open_to(self._contacts(known), voters_for(self._settings.losses))
        self._founding.look(now)
        self.quarantine.look()
        self._clock.callLater(PLAN_PERIOD_S, self._plan)

    def _contacts(self, known: set[str]) -> tuple[str, ...]:
        """Return the controllers that may join, or whom this one asks to let it join."""
        members = {member.replica for member in self._group.members().members}
        asked = members or set(self._follower.view().voters)
        if self._node.address in members or len(known) <= MOST_FOLLOWED_WHOLE or not asked:
            return tuple(sorted(known))
        return tuple(sorted(asked))
