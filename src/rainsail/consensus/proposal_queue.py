"""Batching of one member's proposals: queued while a sync runs, then appended together."""

from collections.abc import Callable
from typing import Any

from expression import Error
from twisted.internet.defer import Deferred, succeed

from rainsail.consensus.applier import Applier, Proposal, ProposalResult
from rainsail.consensus.core import ConsensusCore
from rainsail.consensus.core_state import Role
from rainsail.consensus.effects import Effects
from rainsail.consensus.sync_queue import SyncQueue
from rainsail.errors import Fault, FaultCode
from rainsail.logs import logger
from rainsail.runtime.clock import Clock

STEP = "consensus.propose"


class ProposalQueue:
    """The proposals that are not appended yet."""

    def __init__(
        self,
        core: ConsensusCore,
        applier: Applier,
        sync_queue: SyncQueue,
        clock: Clock,
        take: Callable[[Effects], None],
        not_leader: Callable[[str], Fault],
        encode_command: Callable[[Any], bytes],
    ) -> None:
        self._core = core
        self._applier = applier
        self._sync_queue = sync_queue
        self._clock = clock
        self._take = take
        self._not_leader = not_leader
        self._encode_command = encode_command
        self._waiting: list[Proposal] = []
        self._flush_planned = False
        self._stopped = False

    def propose(self, command: Any) -> "Deferred[ProposalResult]":
        """Commit and apply a command; the Deferred fires with (index, outcome) or a fault."""
        fault = self._refusal()
        if fault is not None:
            return succeed(Error(fault))
        payload = self._encode_command(command)
        limit = self._core.state.settings.max_entry_bytes
        if len(payload) > limit:
            detail = f"{len(payload)} bytes are over the bound on an entry of {limit}"
            logger.bind(bytes=len(payload), limit=limit).warning("entry_too_large")
            return succeed(Error(Fault(FaultCode.TOO_LARGE, STEP, detail)))
        done: Deferred[ProposalResult] = Deferred()
        self._waiting.append(Proposal(command, payload, done))
        self._plan_flush()
        return done

    def synced(self) -> None:
        """Append the proposals that were queued during the sync that has just ended."""
        if self._waiting:
            self._plan_flush()

    def refuse_all(self) -> None:
        """Fail all proposals that are not appended yet as NOT_LEADER, outcome NOT_RUN."""
        waiting = self._waiting
        self._waiting = []
        self._refuse(waiting)

    def stop(self) -> None:
        """Refuse further proposals and fail the queued ones."""
        self._stopped = True
        self.refuse_all()

    def _refusal(self) -> Fault | None:
        if self._stopped or self._core.state.role != Role.LEADER:
            return self._not_leader(STEP)
        limit = self._core.state.settings.max_waiting_proposals
        if self._applier.waiting + len(self._waiting) >= limit:
            return Fault(FaultCode.OVERLOADED, STEP, "too many proposals under way")
        return None

    def _plan_flush(self) -> None:
        if not self._flush_planned:
            self._flush_planned = True
            self._clock.callLater(0, self._flush)

    def _flush(self) -> None:
        """Append the queued proposals; while a sync runs, they stay queued for the next batch."""
        self._flush_planned = False
        if self._stopped or not self._waiting or self._sync_queue.busy:
            return
        proposals = self._waiting
        self._waiting = []
        payloads = [proposal.payload for proposal in proposals]
        first, effects = self._core.propose(payloads, self._clock.seconds())
        if first == 0:
            self._refuse(proposals)
            return
        for offset, proposal in enumerate(proposals):
            self._applier.expect(first + offset, self._core.state.term, proposal)
        self._take(effects)

    def _refuse(self, proposals: list[Proposal]) -> None:
        fault = self._not_leader(STEP)
        for proposal in proposals:
            proposal.done.callback(Error(fault))
