"""A controller: what runners, operators and nodes are told, over the root group.

Durable: the routing table, the ledger's founders and the nodes to be emptied (``FleetState``, in
the root group's log). Soft: the registry of runners and the directory of nodes, rebuilt from their
own words within one beat.
"""

from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.cluster.beat_answers import NumberedView, RunnerPages
from rainsail.cluster.directory import NodeDirectory
from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.followed import MOST_FOLLOWED_WHOLE, in_turn
from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.founders import choose_founders, voters_for
from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.cluster.messages import (
    EmptyingStatus,
    EmptyNode,
    FetchTable,
    FleetView,
    LedgerLeader,
    NodeBeat,
    NodeBeatReply,
    NodeRecord,
    NodeRole,
    ReadEmptying,
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
)
from rainsail.cluster.push_queue import PushQueue
from rainsail.cluster.quorum_wait import QuorumWait
from rainsail.cluster.registry import matters
from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.state.cluster_commands import FoundLedger, ReleaseNode, ReplaceTable
from rainsail.wire.messenger import Messenger

PLAN_PERIOD_S = 0.25
GATEWAYS_ROUNDED_TO = 32
MOST_TOLD_OF_READING = 64
"""So many gateways are told of a prompt that a runner reads: in a larger fleet each of them sends
that runner so little that the word is worth less than it costs."""
FOUND_WITH_FEWER_AFTER_S = 6.0
"""A leader waits this long for enough storage nodes before it founds the ledger with fewer."""


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """What a controller is told.

    ``losses`` is how many machines with a disk may be lost at one time; the others are seconds
    that a call may take before its caller hears that it is unclear.
    """

    losses: int = 1
    order_within_s: float = 0.9
    share_within_s: float = 0.8


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
    ) -> None:
        self._node = node
        self._group = group
        self._state = state
        self._follower = follower
        self._registry = follower.registry
        self._messenger = messenger
        self._clock = clock
        self._settings = settings
        self._directory = NodeDirectory()
        self._calls = LeaderCaller(messenger, clock, group, self._other_controllers)
        self._epoch = node.incarnation
        self._pushed_revision = 0
        self._pushes = PushQueue(clock, self._count_followers, self._push_batch)
        self._views = NumberedView(self._view)
        self._pages = RunnerPages(follower.registry)
        self._unshared: set[str] = set()
        self._readings = 0
        self._noticed_version = 0
        self._ledger_term = 0
        self._leads_since_s: float | None = None
        self._founding = False
        self._stopped = False
        follower.on_runners = self._push_runners
        group.on_applied(self._applied)
        serve = messenger.serve
        serve(NodeBeat, self._take_beat)
        serve(RunnerReads, self._hand_on_reading)
        serve(FetchTable, lambda source, message: self._document())
        serve(ShareRunner, self._take_shared)
        serve(SubmitTable, lambda source, message: self._submit_as_leader(message))
        serve(ReadTable, lambda source, message: self._read_as_leader(message))
        serve(EmptyNode, lambda source, message: self._empty_as_leader(message))
        serve(ReadEmptying, lambda source, message: self._emptying_as_leader(message))

    def start(self) -> None:
        """Begin to plan and to follow the other controllers."""
        self._plan()

    def stop(self) -> None:
        """Plan no more."""
        self._stopped = True

    # --- runners -------------------------------------------------------------------------

    def runner_word(self, record: RunnerRecord) -> "Deferred[Result[None, Fault]]":
        """Take a runner's word; one that leaves is known to a quorum when this fires.

        Nodes follow the voters, so what another controller hears first is known to a quorum too.
        """
        known = self._registry.get(record.runner)
        self._take_word(record)
        now_known = self._registry.get(record.runner)
        if now_known is None:
            return succeed(Ok(None))
        if now_known.state == RunnerState.READY:
            return self._share_ready(now_known, known)
        if known is not None and known.state == now_known.state and known.state != record.state:
            return succeed(Ok(None))
        return self._share(now_known)

    def runner_gone(self, runner: str) -> "Deferred[Result[None, Fault]]":
        """Take a runner's word that it is gone."""
        return self.runner_word(self._registry.end(runner))

    def _take_word(self, record: RunnerRecord) -> None:
        changed = self._registry.take((record,))
        if changed:
            self._push_runners(changed)
            for each in changed:
                log = logger.bind(runner=each.runner, service=each.service, state=each.state.value)
                log.bind(address=each.address, sequence=each.sequence).info("runner_changed")

    def _share_ready(
        self, record: RunnerRecord, known: RunnerRecord | None
    ) -> "Deferred[Result[None, Fault]]":
        changed = known is None or matters(known, record)
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
        needed = quorum - (1 if self._node.address in voters else 0)
        wait = QuorumWait(needed, len(others), "cluster.share_runner")
        for name in others:
            call = self._messenger.call(name, ShareRunner((record,)), self._settings.share_within_s)
            call.addCallback(wait.take)
        return wait.done

    def _take_shared(self, source: str, message: ShareRunner) -> RunnerShared:
        for record in message.records:
            self._take_word(record)
        return RunnerShared()

    def _push_runners(self, changed: list[RunnerRecord]) -> None:
        self._pushes.add(changed)

    def _count_followers(self) -> int:
        return len(self._directory.followers(self._clock.seconds()))

    def _push_batch(self, changed: tuple[RunnerRecord, ...]) -> None:
        previous, self._pushed_revision = self._pushed_revision, self._registry.revision
        update = RunnerUpdate(self._epoch, previous, self._registry.revision, changed)
        self._messenger.send_all(self._directory.followers(self._clock.seconds()), update)

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
            self._state.version,
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
        )

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
            return succeed(self._not_leader("cluster.replace_table"))
        if message.version <= self._state.version:
            return self._confirmed(lambda: TableAccepted(self._state.version))
        proposed = self._group.propose(ReplaceTable(message.version, message.content))
        return proposed.addCallback(_reply, TableAccepted(message.version))

    def _read_as_leader(self, message: ReadTable) -> "Deferred[Any]":
        if not self._group.is_leader():
            return succeed(self._not_leader("cluster.read_table"))
        return self._confirmed(self._document)

    def _confirmed(self, answer: Any) -> "Deferred[Any]":
        barrier = self._group.read_barrier()
        return barrier.addCallback(
            lambda result: Error(result.error) if result.is_error() else answer()
        )

    def _document(self) -> TableDocument:
        return TableDocument(self._state.version, self._state.content)

    def _not_leader(self, step: str) -> Fault:
        detail = "another controller leads"
        return Fault(FaultCode.NOT_LEADER, step, detail, self._group.leader(), Outcome.NOT_RUN)

    def _applied(self, index: int) -> None:
        if self._state.version <= self._noticed_version:
            return
        self._noticed_version = self._state.version
        self._follower.table_version = self._state.version
        logger.bind(version=self._state.version, index=index).info("table_applied")
        followers = self._directory.followers(self._clock.seconds())
        self._messenger.send_all(followers, TableNotice(self._state.version))

    # --- emptying a storage node ---------------------------------------------------------

    def empty_node(self, name: str) -> "Deferred[Result[Any, Fault]]":
        """Have a storage node emptied; NOT_FOUND when unknown, CONFLICT if too few would stay."""
        message = EmptyNode(name)
        return self._calls.call(message, self._empty_as_leader, self._settings.order_within_s)

    def emptying(self, name: str) -> "Deferred[Result[Any, Fault]]":
        """Return how far a node's emptying is; NOT_FOUND when none was asked for."""
        message = ReadEmptying(name)
        return self._calls.call(message, self._emptying_as_leader, self._settings.order_within_s)

    def _empty_as_leader(self, message: EmptyNode) -> Any:
        step = "cluster.empty_node"
        if not self._group.is_leader():
            return self._not_leader(step)
        node = self._directory.named(message.name, NodeRole.STORAGE)
        if node is None:
            return Fault(FaultCode.NOT_FOUND, step, f"no storage node {message.name}")
        if node.address in self._state.released:
            return EmptyingStatus(message.name, False)
        now = self._clock.seconds()
        staying = [
            each
            for each in self._directory.live(NodeRole.STORAGE, now)
            if each.address != node.address and each.address not in self._state.released
        ]
        if len(staying) < voters_for(self._settings.losses):
            return Fault(FaultCode.CONFLICT, step, f"only {len(staying)} storage nodes would stay")
        proposed = self._group.propose(ReleaseNode(node.address))
        return proposed.addCallback(_reply, EmptyingStatus(message.name, False))

    def _emptying_as_leader(self, message: ReadEmptying) -> Any:
        step = "cluster.emptying"
        if not self._group.is_leader():
            return self._not_leader(step)
        node = self._directory.named(message.name, NodeRole.STORAGE)
        if node is None or node.address not in self._state.released:
            return Fault(FaultCode.NOT_FOUND, step, f"{message.name} is not being emptied")
        return EmptyingStatus(message.name, self._is_emptied(node.address))

    def _is_emptied(self, address: str) -> bool:
        leading = self._directory.ledger_status(self._clock.seconds())
        if leading is None:
            return False
        status = leading[1]
        enough = len(status.voters) >= voters_for(self._settings.losses)
        return status.settled and enough and address not in status.voters

    # --- what the leader plans -----------------------------------------------------------

    def _plan(self) -> None:
        if self._stopped:
            return
        now = self._clock.seconds()
        # Before the first beats arrive a controller knows the others from its seeds alone.
        view = self._views.current(now)
        known = {*view.controllers, *self._follower.view().controllers}
        self._group.open_to(self._contacts(known), voters_for(self._settings.losses))
        if self._group.is_leader():
            if self._leads_since_s is None:
                self._leads_since_s = now
            self._found_ledger(now)
        else:
            self._leads_since_s = None
        self._clock.callLater(PLAN_PERIOD_S, self._plan)

    def _contacts(self, known: set[str]) -> tuple[str, ...]:
        """Return the controllers that may join, or whom this one asks to let it join."""
        members = {member.replica for member in self._group.members().members}
        asked = members or set(self._follower.view().voters)
        if self._node.address in members or len(known) <= MOST_FOLLOWED_WHOLE or not asked:
            return tuple(sorted(known))
        return tuple(sorted(asked))

    def _found_ledger(self, now: float) -> None:
        if self._state.founders or self._founding or self._leads_since_s is None:
            return
        nodes = self._directory.live(NodeRole.STORAGE, now)
        wanted = voters_for(self._settings.losses)
        waited_s = now - self._leads_since_s
        if not nodes or (len(nodes) < wanted and waited_s < FOUND_WITH_FEWER_AFTER_S):
            return
        founders = choose_founders(nodes, wanted)
        self._founding = True
        logger.bind(founders=",".join(founders)).info("ledger_founders_chosen")
        self._group.propose(FoundLedger(founders)).addCallback(self._founded)

    def _founded(self, result: object) -> None:
        self._founding = False


def _reply(result: Any, answer: Any) -> Any:
    """Return ``answer`` for a command that took effect, the fault otherwise."""
    if result.is_error():
        return result.error
    outcome = result.ok[1]
    return outcome if isinstance(outcome, Fault) else answer
