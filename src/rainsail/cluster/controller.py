"""A controller: what runners, operators and nodes are told, over the root group.

Durable: the routing table, the ledger's founders and the nodes to be emptied (``FleetState``, in
the root group's log). Soft: the registry of runners and the directory of nodes, rebuilt from their
own words within one beat.
"""

from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.cluster.directory import NodeDirectory
from rainsail.cluster.fleet_state import FleetState
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
from rainsail.cluster.quorum_wait import QuorumWait
from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.state.cluster_commands import FoundLedger, ReleaseNode, ReplaceTable
from rainsail.wire.messenger import Messenger

PLAN_PERIOD_S = 0.25
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
        """Take a runner's word; one that leaves is known to a quorum when this fires."""
        known = self._registry.get(record.runner)
        self._take_word(record)
        now_known = self._registry.get(record.runner)
        if now_known is None or now_known.state == RunnerState.READY:
            return succeed(Ok(None))
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

    def _share(self, record: RunnerRecord) -> "Deferred[Result[None, Fault]]":
        """Tell the other controllers, and wait until a quorum of them knows."""
        members = self._group.members()
        voters = [member.replica for member in members.voters()]
        others = [name for name in voters if name != self._node.address]
        needed = members.quorum() - (1 if self._node.address in voters else 0)
        wait = QuorumWait(needed, len(others), "cluster.share_runner")
        for name in others:
            call = self._messenger.call(name, ShareRunner(record), self._settings.share_within_s)
            call.addCallback(wait.take)
        return wait.done

    def _take_shared(self, source: str, message: ShareRunner) -> RunnerShared:
        self._take_word(message.record)
        return RunnerShared()

    def _push_runners(self, changed: list[RunnerRecord]) -> None:
        previous, self._pushed_revision = self._pushed_revision, self._registry.revision
        update = RunnerUpdate(self._epoch, previous, self._registry.revision, tuple(changed))
        for address in self._directory.followers(self._clock.seconds()):
            self._messenger.send(address, update)

    def _hand_on_reading(self, source: str, message: RunnerReads) -> None:
        """Tell every other gateway that a runner is busy reading."""
        now = self._clock.seconds()
        for address in self._directory.addresses(NodeRole.GATEWAY, now):
            if address != source:
                self._messenger.send(address, message)

    # --- nodes ---------------------------------------------------------------------------

    def _take_beat(self, source: str, beat: NodeBeat) -> NodeBeatReply:
        now = self._clock.seconds()
        if self._directory.heard(beat.node, beat.ledger, now):
            node = beat.node
            log = logger.bind(node=node.name, address=node.address, role=node.role.value)
            log.info("node_heard")
        self._notice_ledger_leader(beat, now)
        known = beat.revision if beat.epoch == self._epoch else 0
        return NodeBeatReply(
            self._view(now),
            self._state.version,
            self._epoch,
            self._registry.revision,
            self._registry.changed_since(known),
        )

    def _notice_ledger_leader(self, beat: NodeBeat, now: float) -> None:
        """Push the ledger's new leader at once: gateways report to it what they have running."""
        status = beat.ledger
        if status is None or not status.leads or status.term <= self._ledger_term:
            return
        self._ledger_term = status.term
        for address in self._directory.followers(now):
            self._messenger.send(address, LedgerLeader(beat.node.address, status.term))

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
        )

    def _other_controllers(self) -> list[str]:
        now = self._clock.seconds()
        known = {*self._view(now).controllers, *self._follower.view().controllers}
        return sorted(name for name in known if name != self._node.address)

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
        for address in self._directory.followers(self._clock.seconds()):
            self._messenger.send(address, TableNotice(self._state.version))

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
        known = {*self._view(now).controllers, *self._follower.view().controllers}
        controllers = tuple(sorted(known))
        self._group.open_to(controllers, voters_for(self._settings.losses))
        if self._group.is_leader():
            if self._leads_since_s is None:
                self._leads_since_s = now
            self._found_ledger(now)
        else:
            self._leads_since_s = None
        self._clock.callLater(PLAN_PERIOD_S, self._plan)

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
