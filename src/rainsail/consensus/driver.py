"""Runs one member of a group: messages, timers, storage, the state machine."""

import random as random_module
from collections import deque
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.consensus import repair
from rainsail.consensus.applier import Applier, Proposal, ProposalResult
from rainsail.consensus.core import ConsensusCore
from rainsail.consensus.core_state import Role
from rainsail.consensus.effects import Effects, Outgoing
from rainsail.consensus.membership import Membership, MemberSpec
from rainsail.consensus.messages import GroupMessage
from rainsail.consensus.recovery import recover_log
from rainsail.consensus.router import GroupRouter
from rainsail.consensus.settings import ConsensusSettings
from rainsail.consensus.snapshot_worker import SnapshotWorker
from rainsail.consensus.status import status_reply
from rainsail.consensus.sync_queue import SyncQueue
from rainsail.consensus.sync_watch import SyncWatch
from rainsail.control.messages import GroupStatusReply
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.state.commands import Command, CommandRecord, GroupId
from rainsail.state.interface import StateMachine
from rainsail.storage.identity import ReplicaIdentity
from rainsail.storage.interface import GroupStorage
from rainsail.wire.codec import encode
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
        router: GroupRouter | None = None,
    ) -> None:
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
        self._proposals: list[Proposal] = []
        self._flush_planned = False
        self._apply_planned = False
        self._timer: Any = None
        self._timer_due_s = float("inf")
        self._stopped = False
        self._announced = False
        self._leadership_listeners: list[Callable[[bool], None]] = []
        self._fatal_listeners: list[Callable[[Fault], None]] = []
        self._next_read = 0
        self._reads: dict[int, Deferred[Result[int, Fault]]] = {}

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
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._end_leadership()
        self._fail_queued()

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
        if self._stopped or not self._announced:
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
        self._leadership_listeners.append(listener)

    def propose(self, command: Command) -> "Deferred[ProposalResult]":
        """Commit and apply a command; fires with (index, outcome) or a fault."""
        fault = self._proposal_refusal()
        if fault is not None:
            return succeed(Error(fault))
        payload = encode(CommandRecord(command))
        done: Deferred[ProposalResult] = Deferred()
        self._proposals.append(Proposal(command, payload, done))
        self._plan_flush()
        return done

    def _proposal_refusal(self) -> Fault | None:
        if self._stopped or self.core.state.role != Role.LEADER:
            return self._not_leader("consensus.propose")
        if self._applier.waiting + len(self._proposals) >= self.settings.max_waiting_proposals:
            return Fault(FaultCode.OVERLOADED, "consensus.propose", "too many proposals under way")
        return None

    def _not_leader(self, step: str) -> Fault:
        detail = "stopped" if self._stopped else "not the leader"
        return Fault(FaultCode.NOT_LEADER, step, detail, self.core.state.leader_replica)

    def read_barrier(self) -> "Deferred[Result[int, Fault]]":
        """Fire with an applied index that covers everything committed when it was called."""
        if self._stopped:
            return succeed(Error(self._not_leader("consensus.read_barrier")))
        done: Deferred[Result[int, Fault]] = Deferred()
        self._next_read += 1
        self._reads[self._next_read] = done
        self._take(self.core.read(self._next_read, self._clock.seconds()))
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

        def ended(leads: bool) -> None:
            if not leads:
                self._leadership_listeners.remove(ended)
                done.callback(Ok(None))

        self._announced = True
        self._leadership_listeners.append(ended)
        self._take(effects)
        return done

    def change_membership(self, membership: Membership) -> Fault | None:
        """Propose a single-step membership change, or say why it can't be made now."""
        fault, effects = self.core.change_membership(membership, self._clock.seconds())
        self._take(effects)
        return fault

    # --- inputs --------------------------------------------------------------------------

    def _receive(self, source: str, message: GroupMessage) -> None:
        if self._stopped:
            return
        if source not in self._replicas:
            detail = f"{type(message).__name__} from a process that is no replica of the group"
            logger.warning(str(Fault(FaultCode.FORBIDDEN, "consensus.receive", detail, source)))
            return
        self._take(self.core.receive(source, message, self._clock.seconds()))

    def _synced(self, sequence: int) -> None:
        self._take(self.core.synced(sequence, self._clock.seconds()))
        if self._proposals:
            self._plan_flush()

    def _plan_flush(self) -> None:
        if not self._flush_planned:
            self._flush_planned = True
            self._clock.callLater(0, self._flush)

    def _flush(self) -> None:
        """Append what was proposed; while a sync runs the next batch gathers behind it."""
        self._flush_planned = False
        if self._stopped or not self._proposals or self._sync_queue.busy:
            return
        proposals = self._proposals
        self._proposals = []
        payloads = [proposal.payload for proposal in proposals]
        first, effects = self.core.propose(payloads, self._clock.seconds())
        if first == 0:
            self._refuse(proposals)
            return
        for offset, proposal in enumerate(proposals):
            self._applier.expect(first + offset, self.core.state.term, proposal)
        self._take(effects)

    def _refuse(self, proposals: list[Proposal]) -> None:
        fault = self._not_leader("consensus.propose")
        for proposal in proposals:
            proposal.done.callback(Error(fault))

    def _fail_queued(self) -> None:
        proposals = self._proposals
        self._proposals = []
        self._refuse(proposals)

    # --- timers --------------------------------------------------------------------------

    def _arm(self) -> None:
        if self._stopped:
            return
        due_s = self.core.next_wakeup_s()
        if self._timer is not None and self._timer.active():
            if self._timer_due_s <= due_s:
                return
            self._timer.cancel()
        self._timer_due_s = due_s
        delay_s = max(0.0, due_s - self._clock.seconds())
        self._timer = self._clock.callLater(delay_s, self._wake)

    def _wake(self) -> None:
        self._timer = None
        if self._stopped:
            return
        now = self._clock.seconds()
        self._take(self.core.tick(now))
        self._leave_stalled_disk(now)
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
        self._answer_reads(effects)
        for lost in effects.acknowledged_lost:
            logger.error(
                "{} lost entries that it had acknowledged as synced: it holds {} of {}; "
                "replace its disk",
                lost.replica,
                lost.holds_index,
                lost.acknowledged_index,
            )

    def _send(self, messages: list[Outgoing]) -> None:
        for outgoing in messages:
            self._router.send(outgoing.replica, outgoing.message)

    def _answer_reads(self, effects: Effects) -> None:
        for ready in effects.reads_ready:
            self._applier.wait_applied(ready.index, self._reads.pop(ready.request))
        for request in effects.reads_failed:
            fault = self._not_leader("consensus.read_barrier")
            self._reads.pop(request).callback(Error(fault))

    def _plan_apply(self) -> None:
        if not self._apply_planned:
            self._apply_planned = True
            self._clock.callLater(0, self._apply)

    def _apply(self) -> None:
        self._apply_planned = False
        if self._stopped or self._snapshots.installing:
            return
        more = self._applier.apply_batch(self.settings.max_apply_batch)
        if self._stopped:
            return
        self._announce_leadership()
        self._snapshots.take_when_due()
        if more:
            self._plan_apply()

    # --- leadership ----------------------------------------------------------------------

    def _announce_leadership(self) -> None:
        state = self.core.state
        if self._announced or state.role != Role.LEADER:
            return
        if self._applier.applied_index >= state.term_start_index:
            self._announced = True
            for listener in list(self._leadership_listeners):
                listener(True)

    def _end_leadership(self) -> None:
        fault = Fault(
            FaultCode.NOT_LEADER,
            "consensus.propose",
            "leadership was lost while the entry was under way",
            self.core.state.leader_replica,
            Outcome.UNKNOWN,
        )
        self._applier.fail_waiting(fault)
        self._fail_queued()
        if self._announced:
            self._announced = False
            for listener in list(self._leadership_listeners):
                listener(False)
