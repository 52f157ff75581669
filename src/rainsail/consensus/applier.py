"""Applies committed entries in order and answers the proposals that wait for them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from rainsail.consensus.listeners import notify_listeners
from rainsail.consensus.log_window import LogWindow
from rainsail.consensus.membership import membership_of_payload
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.logs import logger
from rainsail.state.command_basics import command_of
from rainsail.state.state_machine import StateMachine
from rainsail.storage.interface import LogEntry
from rainsail.wire.codec import CodecError

LOCAL_FAILURES = (MemoryError, OSError, RecursionError, CodecError)
"""Errors that can affect a single replica: out of memory, disk failure, unreadable log.

That replica stops before the entry; if it went on, its state would diverge from the others.
"""

ProposalResult = Result[tuple[int, Any], Fault]


@dataclass(frozen=True, slots=True)
class Proposal:
    """A proposed command, with the Deferred that answers its proposer."""

    command: Any
    payload: bytes
    done: "Deferred[ProposalResult]"


@dataclass(frozen=True, slots=True)
class _Waiting:
    term: int
    proposal: Proposal


@dataclass(slots=True)
class _ReadWait:
    index: int
    done: "Deferred[Result[int, Fault]]"


class Applier:
    """Applies log entries to the state machine, up to the commit index."""

    def __init__(self, log: LogWindow, state_machine: StateMachine, applied: int) -> None:
        self._log = log
        self._state_machine = state_machine
        self._waiting: dict[int, _Waiting] = {}
        self._reads: list[_ReadWait] = []
        self.applied_index = applied
        self.commit_index = applied
        self.bytes_since_snapshot = 0
        self.on_applied: list[Callable[[int], None]] = []

    @property
    def waiting(self) -> int:
        """Return how many proposals are appended and not yet applied."""
        return len(self._waiting)

    def expect(self, index: int, term: int, proposal: Proposal) -> None:
        """Answer ``proposal`` when the entry at ``index`` is applied."""
        self._waiting[index] = _Waiting(term, proposal)

    def wait_applied(self, index: int, done: "Deferred[Result[int, Fault]]") -> None:
        """Fire ``done`` with the applied index once it reaches ``index``."""
        if self.applied_index >= index:
            done.callback(Ok(self.applied_index))
            return
        self._reads.append(_ReadWait(index, done))

    def fail_waiting(self, fault: Fault) -> None:
        """Fail all pending proposals and reads (leadership lost, or member stopped)."""
        waiting = self._waiting
        reads = self._reads
        self._waiting = {}
        self._reads = []
        for each in waiting.values():
            each.proposal.done.callback(Error(fault))
        for read in reads:
            read.done.callback(Error(fault))

    def restored(self, index: int) -> None:
        """Record that the state machine was restored from a snapshot at ``index``."""
        self.applied_index = index
        self.commit_index = max(self.commit_index, index)
        self.bytes_since_snapshot = 0
        self._release_reads()

    def apply_batch(self, limit: int) -> bool:
        """Apply up to ``limit`` entries; returns whether committed entries remain."""
        end = min(self.commit_index, self.applied_index + limit)
        if end == self.applied_index:
            return False
        answers: list[tuple[Proposal, ProposalResult]] = []
        for index in range(self.applied_index + 1, end + 1):
            answer = self._apply(self._log.entry(index))
            if answer is not None:
                answers.append(answer)
            self.applied_index = index
        notify_listeners(self.on_applied, self.applied_index)
        for proposal, result in answers:
            proposal.done.callback(result)
        self._release_reads()
        return self.applied_index < self.commit_index

    def _apply(self, entry: LogEntry) -> tuple[Proposal, ProposalResult] | None:
        self.bytes_since_snapshot += len(entry.payload)
        waiting = self._waiting.pop(entry.index, None)
        if waiting is not None and waiting.term == entry.term:
            return waiting.proposal, self._apply_command(entry.index, waiting.proposal.command)
        if membership_of_payload(entry.payload) is None:
            self._apply_command(entry.index, command_of(entry.payload))
        if waiting is None:
            return None
        return waiting.proposal, Error(entry_replaced())

    def _apply_command(self, index: int, command: Any) -> ProposalResult:
        """Apply a command; if the state machine raises, the outcome is an error.

        A command fails in the same way at each replica, because its result depends only on the
        state and the command. If it didn't count as applied, all replicas would stop at it and
        block every later entry until the program is fixed. ``LOCAL_FAILURES`` concern this process
        alone and are raised.
        """
        try:
            return Ok((index, self._state_machine.apply(index, command)))
        except LOCAL_FAILURES:
            raise
        except Exception as error:
            name = type(command).__name__
            failed = logger.bind(index=index, command=name)
            failed.opt(exception=error).error("command_failed")
            return Error(_command_failed(index, name, error))

    def _release_reads(self) -> None:
        ready = [read for read in self._reads if read.index <= self.applied_index]
        if not ready:
            return
        self._reads = [read for read in self._reads if read.index > self.applied_index]
        for read in ready:
            read.done.callback(Ok(self.applied_index))


def leadership_lost(leader: str) -> Fault:
    """Return the fault of proposals appended but not applied when leadership ended."""
    detail = "leadership was lost while the entry was under way"
    return Fault(FaultCode.NOT_LEADER, "consensus.propose", detail, leader, Outcome.UNKNOWN)


def _command_failed(index: int, command: str, error: Exception) -> Fault:
    """Return the fault of a failed command, which may be partly applied."""
    detail = f"{command} at entry {index} failed: {error!r}"
    return Fault(FaultCode.INTERNAL, "consensus.apply", detail, outcome=Outcome.UNKNOWN)


def entry_replaced() -> Fault:
    """Return the fault of a proposal whose entry was replaced by another leader's."""
    return Fault(
        FaultCode.NOT_LEADER,
        "consensus.propose",
        "another leader's entry took its place",
        outcome=Outcome.UNKNOWN,
    )
