"""Runs one member of a group: carries out the effects that the consensus core returns.

The driver owns the order of effects, the member's timer, and the replies to proposals and reads.
``core`` makes every decision, ``sync_queue`` writes, ``apply_loop`` runs the state machine, and
``snapshot_worker`` handles snapshots.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.consensus import open_group, repair
from rainsail.consensus.applier import Applier, ProposalResult, leadership_lost
from rainsail.consensus.apply_loop import ApplyLoop
from rainsail.consensus.core import ConsensusCore
from rainsail.consensus.core_state import Role
from rainsail.consensus.effects import Effects, Outgoing
from rainsail.consensus.group_status import GroupStatusReply
from rainsail.consensus.leadership import Leadership
from rainsail.consensus.log_window import LogWindow
from rainsail.consensus.member_dependencies import GroupMember, MemberDependencies
from rainsail.consensus.member_log import (
    log_acknowledged_lost,
    log_snapshot_refused,
    log_unknown_sender,
)
from rainsail.consensus.membership import Membership
from rainsail.consensus.messages import GroupMessage
from rainsail.consensus.proposal_queue import ProposalQueue
from rainsail.consensus.read_barriers import ReadBarriers
from rainsail.consensus.recovery import recover_log
from rainsail.consensus.settings import ConsensusSettings
from rainsail.consensus.snapshot_worker import SnapshotWorker
from rainsail.consensus.status import status_reply
from rainsail.consensus.sync_queue import SyncQueue
from rainsail.consensus.sync_stall_detector import SyncStallDetector
from rainsail.consensus.wake_timer import WakeTimer
from rainsail.errors import Fault, FaultCode


class GroupDriver:
    """One member of a replicated group; implements ``rainsail.consensus.interface.Group``."""

    def __init__(
        self, member: GroupMember, dependencies: MemberDependencies, settings: ConsensusSettings
    ) -> None:
        self.group = member.group
        self.settings = settings
        self._founders = frozenset(member.founders)
        self._clock = dependencies.clock
        self._router = dependencies.router
        self._state_machine = dependencies.state_machine
        log = recover_log(dependencies.storage, dependencies.state_machine)
        self.core = _new_core(member, dependencies, settings, log)
        self._effects: deque[Effects] = deque()
        self._taking = False
        self._stopped = False
        self._fatal_listeners: list[Callable[[Fault], None]] = []
        self._timer = WakeTimer(self._clock, self._wake)
        self._leadership = Leadership()
        self._applier = Applier(log, dependencies.state_machine, log.base_index)
        self._reads = ReadBarriers(self._applier)
        self._sync_queue = SyncQueue(dependencies.storage, self._send, self._synced, self._fatal)
        self._sync_stall_detector = SyncStallDetector(settings.sync_stall_s)
        self._snapshots = SnapshotWorker(
            dependencies.storage,
            dependencies.state_machine,
            self._applier,
            self.core,
            self._clock,
            self._send,
            self._take,
            self._fatal,
            self._router.takes_snapshot_parts,
        )
        self._apply_loop = ApplyLoop(
            self.core.state,
            self._applier,
            self._snapshots,
            self._leadership,
            self._clock,
            self._fatal,
        )
        self._proposals = ProposalQueue(
            self.core,
            self._applier,
            self._sync_queue,
            self._clock,
            self._take,
            self._not_leader,
            dependencies.encode_command,
        )

    # --- life cycle ----------------------------------------------------------------------

    def start(self) -> None:
        """Start to receive messages and run timers."""
        self._router.add(self.group, self._receive)
        self._arm()

    def stop(self) -> None:
        """Stop timers and refuse further calls; durable state stays as synced."""
        if self._stopped:
            return
        self._stopped = True
        self._router.remove(self.group)
        self._sync_queue.stop()
        self._snapshots.stop()
        self._apply_loop.stop()
        self._timer.cancel()
        self._end_leadership()
        self._proposals.stop()
        self._reads.fail_all(self._not_leader("consensus.read_barrier"))

    def on_fatal(self, listener: Callable[[Fault], None]) -> None:
        """Call ``listener`` when a fault stops this member, as when its storage is unreliable."""
        self._fatal_listeners.append(listener)

    def _fatal(self, fault: Fault) -> None:
        if self._stopped:
            return
        self.stop()
        for listener in self._fatal_listeners:
            listener(fault)

    def stalled_transfers(self) -> int:
        """Return how many members that need a snapshot make no progress with it."""
        return self._snapshots.stalled_transfers()

    # --- the Group interface -------------------------------------------------------------

    def is_leader(self) -> bool:
        """Return whether this replica leads, has applied its first entry and holds the lease."""
        if self._stopped or not self._leadership.announced:
            return False
        return self.core.holds_lease(self._clock.seconds())

    def leader(self) -> str:
        """Return the name of the last known leader, or an empty string."""
        return self.core.state.leader_replica

    def term(self) -> int:
        """Return the current term."""
        return self.core.state.term

    def on_applied(self, listener: Callable[[int], None]) -> None:
        """Call ``listener(applied_index)`` after each batch of entries is applied."""
        self._applier.on_applied.append(listener)

    def on_leadership(self, listener: Callable[[bool], None]) -> None:
        """Call ``listener(True)`` when leadership begins, ``listener(False)`` when it ends."""
        self._leadership.listen(listener)

    def propose(self, command: Any) -> "Deferred[ProposalResult]":
        """Commit and apply a command; the Deferred fires with (index, outcome) or a fault."""
        return self._proposals.propose(command)

    def _not_leader(self, step: str) -> Fault:
        detail = "stopped" if self._stopped else "not the leader"
        return Fault(FaultCode.NOT_LEADER, step, detail, self.core.state.leader_replica)

    def read_barrier(self) -> "Deferred[Result[int, Fault]]":
        """Fire with an applied index that covers everything committed when it was called."""
        if self._stopped:
            return succeed(Error(self._not_leader("consensus.read_barrier")))
        request, done = self._reads.open()
        self._take(self.core.read(request, self._clock.seconds()))
        return done

    def status(self) -> GroupStatusReply:
        """Return this replica's view of the group; only the leader can report its health."""
        revision = int(getattr(self._state_machine, "revision", 0))
        now = self._clock.seconds()
        return status_reply(self.core.state, self._applier.applied_index, revision, now)

    def transfer_leadership(self) -> "Deferred[Result[None, Fault]]":
        """Transfer leadership to the most advanced voter; fires when this replica stops leading."""
        step = "consensus.transfer_leadership"
        if self._stopped or self.core.state.role != Role.LEADER:
            return succeed(Error(self._not_leader(step)))
        begun, effects = self.core.transfer_leadership(self._clock.seconds())
        if not begun:
            return succeed(Error(Fault(FaultCode.UNAVAILABLE, step, "no other voter is there")))
        done: Deferred[Result[None, Fault]] = Deferred()
        self._leadership.call_when_ended(lambda: done.callback(Ok(None)))
        self._take(effects)
        return done

    def change_membership(self, membership: Membership) -> Fault | None:
        """Propose a single-step membership change, or return why it is refused now."""
        fault, effects = self.core.change_membership(membership, self._clock.seconds())
        self._take(effects)
        return fault

    # --- open groups ---------------------------------------------------------------------

    def open_membership(self, contacts: tuple[str, ...], target_voters: int) -> None:
        """Let replicas other than the founders join; ``contacts`` are the known replicas."""
        open_group.open_membership(self.core.state, contacts, target_voters)

    def set_leaving_replicas(self, replicas: frozenset[str]) -> None:
        """Move the group off these replicas; a leader among them transfers its leadership."""
        self.core.state.leaving = replicas

    def members(self) -> Membership:
        """Return the latest membership in this member's log."""
        return self.core.state.membership

    def was_founded_in_this_run(self) -> bool:
        """Return whether the group was founded, with this replica, since this process started."""
        return self.core.state.founded_in_this_run

    # --- inputs --------------------------------------------------------------------------

    def _receive(self, source: str, message: GroupMessage) -> None:
        if self._stopped:
            return
        if source not in self._founders and not open_group.accepts_messages_from(
            self.core.state, source
        ):
            log_unknown_sender(source, message)
            return
        self._take(self.core.receive(source, message, self._clock.seconds()))

    def _synced(self, sequence: int) -> None:
        self._take(self.core.synced(sequence, self._clock.seconds()))
        self._proposals.synced()

    # --- timers --------------------------------------------------------------------------

    def _arm(self) -> None:
        if not self._stopped:
            self._timer.arm(self.core.next_wakeup_s())

    def _wake(self) -> None:
        if self._stopped:
            return
        now = self._clock.seconds()
        self._take(self.core.tick(now))
        if self._leads_on_stalled_disk(now):
            self._begin_transfer(now)
        if open_group.should_transfer_leadership(self.core.state):
            self._begin_transfer(now)
        membership = repair.next_membership(self.core.state, now)
        if membership is not None and not self._stopped:
            self.change_membership(membership)

    def _leads_on_stalled_disk(self, now: float) -> bool:
        """Return whether this member leads while a sync of its disk is stalled.

        New proposals wait for that sync, so nothing new commits until another replica leads.
        """
        stalled = self._sync_stall_detector.is_stalled(self._sync_queue.running_sequence, now)
        return stalled and self.core.state.role == Role.LEADER

    def _begin_transfer(self, now: float) -> None:
        _, effects = self.core.transfer_leadership(now)
        self._take(effects)

    # --- effects -------------------------------------------------------------------------

    def _take(self, effects: Effects) -> None:
        """Carry effects out in order, including those that arise while others are carried out."""
        self._effects.append(effects)
        if self._taking:
            return
        self._taking = True
        try:
            while self._effects and not self._stopped:
                self._carry_out(self._effects.popleft())
        finally:
            self._taking = False
        self._arm()

    def _carry_out(self, effects: Effects) -> None:
        if effects.leadership_lost:
            self._end_leadership()
        self._sync_queue.submit(effects)
        if self._stopped:
            return
        self._send(effects.messages)
        for order in effects.snapshot_orders:
            self._snapshots.send_chunk(order)
        if effects.install is not None:
            self._snapshots.install(effects.install)
        if effects.commit_index:
            self._apply_loop.commit_to(effects.commit_index)
        self._reads.answer(effects, self._not_leader)
        for lost in effects.acknowledged_lost:
            log_acknowledged_lost(lost)
        if effects.snapshot_refused is not None:
            log_snapshot_refused(effects.snapshot_refused)

    def _send(self, messages: list[Outgoing]) -> None:
        for outgoing in messages:
            self._router.send(outgoing.replica, outgoing.message)

    def _end_leadership(self) -> None:
        fault = leadership_lost(self.core.state.leader_replica)
        self._applier.fail_waiting(fault)
        self._proposals.refuse_all()
        self._leadership.end()


def _new_core(
    member: GroupMember,
    dependencies: MemberDependencies,
    settings: ConsensusSettings,
    log: LogWindow,
) -> ConsensusCore:
    return ConsensusCore(
        member.group,
        member.replica,
        member.identity.identity,
        member.founders,
        settings,
        dependencies.random,
        dependencies.storage.hard_state,
        log,
        dependencies.clock.seconds(),
        dependencies.process_started_s,
    )
