"""Runs one member of a group: messages, timers, storage, the state machine."""

import random as random_module
from collections import deque
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.consensus import repair
from rainsail.consensus.applier import Applier, ProposalResult, leadership_lost
from rainsail.consensus.core import ConsensusCore
from rainsail.consensus.core_state import Role
from rainsail.consensus.effects import Effects, Outgoing
from rainsail.consensus.group_status import GroupStatusReply
from rainsail.consensus.leadership import Leadership
from rainsail.consensus.member_log import (
    log_acknowledged_lost,
    log_snapshot_refused,
    log_stranger,
)
from rainsail.consensus.membership import Membership, MemberSpec
from rainsail.consensus.messages import GroupMessage
from rainsail.consensus.proposal_queue import ProposalQueue
from rainsail.consensus.read_barriers import ReadBarriers
from rainsail.consensus.recovery import recover_log
from rainsail.consensus.router import GroupRouter
from rainsail.consensus.settings import ConsensusSettings
from rainsail.consensus.snapshot_worker import SnapshotWorker
from rainsail.consensus.status import status_reply
from rainsail.consensus.sync_queue import SyncQueue
from rainsail.consensus.sync_watch import SyncWatch
from rainsail.consensus.wake_timer import WakeTimer
from rainsail.errors import Fault, FaultCode
from rainsail.runtime.clock import Clock
from rainsail.state.command_basics import GroupId
from rainsail.state.state_machine import StateMachine
from rainsail.storage.identity import ReplicaIdentity
from rainsail.storage.interface import GroupStorage
from rainsail.wire.codec import CodecError
from rainsail.wire.messenger import Messenger


class GroupDriver:
    """One member of a replicated group; implements ``rainsail.consensus.interface.Group``."""

    def __init__(
        self,
        group: GroupId,
        replica: str,
        identity: ReplicaIdentity,
        storage: GroupStorage,
        state_machine: StateMachine,
        messenger: Messenger,
        clock: Clock,
        random: random_module.Random,
        settings: ConsensusSettings,
        bootstrap: tuple[MemberSpec, ...],
        encode_command: Callable[[Any], bytes],
        router: GroupRouter | None = None,
        started_s: float | None = None,
    ) -> None:
        """``encode_command`` makes the payload of a log entry of one of this group's commands.

        ``started_s`` is when the process began, by ``clock``; None stands for now.
        """
        self.group = group
        self.settings = settings
        self._clock = clock
        self._state_machine = state_machine
        self._router = router if router is not None else GroupRouter(messenger, clock)
        log = recover_log(storage, state_machine)
        names = tuple(member.replica for member in bootstrap)
        self._replicas = frozenset(names)
        self.core = ConsensusCore(
            group,
            replica,
            identity.identity,
            names,
            settings,
            random,
            storage.hard_state,
            log,
            clock.seconds(),
            started_s,
        )
        self._applier = Applier(log, state_machine, log.base_index)
        self._sync_queue = SyncQueue(storage, self._send, self._synced, self._fatal)
        self._sync_watch = SyncWatch(settings.sync_stall_s)
        self._snapshots = SnapshotWorker(
            storage,
            state_machine,
            self._applier,
            self.core,
            clock,
            self._send,
            self._take,
            self._fatal,
        )
        self._effects: deque[Effects] = deque()
        self._taking = False
        self._apply_planned = False
        self._timer = WakeTimer(clock, self._wake)
        self._stopped = False
        self._leadership = Leadership()
        self._fatal_listeners: list[Callable[[Fault], None]] = []
        self._reads = ReadBarriers(self._applier)
        self._proposals = ProposalQueue(
            self.core,
            self._applier,
            self._sync_queue,
            clock,
            self._take,
            self._not_leader,
            encode_command,
        )

    # --- life cycle ----------------------------------------------------------------------

    def start(self) -> None:
        """Begin to take messages and run timers."""
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
        self._timer.cancel()
        self._end_leadership()
        self._proposals.stop()
        self._reads.fail_all(self._not_leader("consensus.read_barrier"))

    def on_fatal(self, listener: Callable[[Fault], None]) -> None:
        """Call ``listener`` when this member had to stop: its storage can't be trusted."""
        self._fatal_listeners.append(listener)

    def _fatal(self, fault: Fault) -> None:
        if self._stopped:
            return
        self.stop()
        for listener in self._fatal_listeners:
            listener(fault)

    # --- the Group interface -------------------------------------------------------------

    def is_leader(self) -> bool:
        """Tell whether this replica leads, has applied its first entry and holds the lease."""
        if self._stopped or not self._leadership.announced:
            return False
        return self.core.holds_lease(self._clock.seconds())

    def leader(self) -> str:
        """Return the name of the leader as last heard of, or an empty string."""
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
        """Commit and apply a command; fires with (index, outcome) or a fault."""
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
        """Return this replica's view of the group; only a leader's speaks of its health."""
        revision = int(getattr(self._state_machine, "revision", 0))
        now = self._clock.seconds()
        return status_reply(self.core.state, self._applier.applied_index, revision, now)

    def transfer_leadership(self) -> "Deferred[Result[None, Fault]]":
        """Hand leadership to the most advanced voter; fires when this replica leads no more."""
        step = "consensus.transfer_leadership"
        if self._stopped or self.core.state.role != Role.LEADER:
            return succeed(Error(self._not_leader(step)))
        begun, effects = self.core.transfer_leadership(self._clock.seconds())
        if not begun:
            return succeed(Error(Fault(FaultCode.UNAVAILABLE, step, "no other voter is there")))
        done: Deferred[Result[None, Fault]] = Deferred()
        self._leadership.when_over(lambda: done.callback(Ok(None)))
        self._take(effects)
        return done

    def change_membership(self, membership: Membership) -> Fault | None:
        """Propose a single-step membership change, or say why it can't be made now."""
        fault, effects = self.core.change_membership(membership, self._clock.seconds())
        self._take(effects)
        return fault

    # --- open groups ---------------------------------------------------------------------

    def open_to(self, contacts: tuple[str, ...], target_voters: int) -> None:
        """Let replicas that were not founders join; ``contacts`` are those known by now."""
        state = self.core.state
        state.target_voters = target_voters
        state.contacts = tuple(name for name in contacts if name != state.replica)

    def let_go(self, replicas: frozenset[str]) -> None:
        """Move the group off these replicas; a leader among them hands its leadership over."""
        self.core.state.leaving = replicas

    def members(self) -> Membership:
        """Return the latest membership in this member's log."""
        return self.core.state.membership

    def _is_contact(self, source: str) -> bool:
        state = self.core.state
        if not state.target_voters:
            return False
        return source in state.contacts or bool(state.membership.named(source))

    def _leave_when_asked(self, now: float) -> None:
        """Hand leadership over when this replica is to leave and others can do without it."""
        state = self.core.state
        if state.replica not in state.leaving or state.role != Role.LEADER:
            return
        if len(state.membership.voters()) > state.target_voters:
            _, effects = self.core.transfer_leadership(now)
            self._take(effects)

    # --- inputs --------------------------------------------------------------------------

    def _receive(self, source: str, message: GroupMessage) -> None:
        if self._stopped:
            return
        if source not in self._replicas and not self._is_contact(source):
            log_stranger(source, message)
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
        self._leave_stalled_disk(now)
        self._leave_when_asked(now)
        membership = repair.next_membership(self.core.state, now)
        if membership is not None and not self._stopped:
            self.change_membership(membership)

    def _leave_stalled_disk(self, now: float) -> None:
        """Hand leadership over when the own disk finishes no sync: nothing new is appended."""
        stalled = self._sync_watch.is_stalled(self._sync_queue.running_sequence, now)
        if stalled and self.core.state.role == Role.LEADER:
            _, effects = self.core.transfer_leadership(now)
            self._take(effects)

    # --- effects -------------------------------------------------------------------------

    def _take(self, effects: Effects) -> None:
        """Carry effects out in order, also those that arise while others are carried out."""
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
            self._applier.commit_index = max(self._applier.commit_index, effects.commit_index)
            self._plan_apply()
        self._reads.answer(effects, self._not_leader)
        for lost in effects.acknowledged_lost:
            log_acknowledged_lost(lost)
        if effects.snapshot_refused is not None:
            log_snapshot_refused(effects.snapshot_refused)

    def _send(self, messages: list[Outgoing]) -> None:
        for outgoing in messages:
            self._router.send(outgoing.replica, outgoing.message)

    def _plan_apply(self) -> None:
        if not self._apply_planned:
            self._apply_planned = True
            self._clock.callLater(0, self._apply)

    def _apply(self) -> None:
        self._apply_planned = False
        if self._stopped or self._snapshots.installing:
            return
        try:
            more = self._applier.apply_batch(self.settings.max_apply_batch)
        except CodecError as error:
            index = self._applier.applied_index + 1
            detail = f"group {self.group}: entry {index} can't be read: {error}"
            self._fatal(Fault(FaultCode.STORAGE, "consensus.apply", detail))
            return
        if self._stopped:
            return
        self._announce_leadership()
        self._snapshots.take_when_due()
        if more:
            self._plan_apply()

    # --- leadership ----------------------------------------------------------------------

    def _announce_leadership(self) -> None:
        state = self.core.state
        if self._leadership.announced or state.role != Role.LEADER:
            return
        if self._applier.applied_index >= state.term_start_index:
            self._leadership.begin()

    def _end_leadership(self) -> None:
        fault = leadership_lost(self.core.state.leader_replica)
        self._applier.fail_waiting(fault)
        self._proposals.refuse_all()
        self._leadership.end()
