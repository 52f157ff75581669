"""Commits results in batches and counts the ledger's verdicts on them."""

import random
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from rainsail.batch.command_batcher import CommandBatcher
from rainsail.batch.settings import BatchSettings
from rainsail.control.interface import ControlClient
from rainsail.runtime.clock import Clock
from rainsail.state.commands import (
    Command,
    CommandOutcome,
    CommitResults,
    CommitVerdict,
    GroupId,
    ItemRef,
    ItemResult,
    ResultsCommitted,
)

RESULT_OVERHEAD_BYTES = 64
"""Encoding overhead of a result in a command, in addition to its text."""


@dataclass(slots=True)
class CommitCounts:
    """Number of results by verdict since the start."""

    committed: int = 0
    dropped: int = 0
    refused: int = 0


class ResultCommitter:
    """Sends results to the ledger, which accepts only those with a valid fencing token."""

    def __init__(
        self,
        holder: str,
        control: ControlClient,
        clock: Clock,
        random: random.Random,
        settings: BatchSettings,
    ) -> None:
        self._holder = holder
        self.counts = CommitCounts()
        self._batcher: CommandBatcher[ItemResult] = CommandBatcher(
            control, clock, random, settings, self._command, _result_bytes, self._answered
        )

    def add(self, group: GroupId, result: ItemResult) -> None:
        """Queue a result."""
        self._batcher.add(group, result)

    def pending_refs(self, group: GroupId) -> list[ItemRef]:
        """Return the items whose results have no verdict yet."""
        return [result.ref for result in self._batcher.pending(group)]

    def drain(self) -> "Deferred[None]":
        """Commit all queued results; fires once every result has its verdict."""
        return self._batcher.drain()

    def _command(self, results: tuple[ItemResult, ...]) -> Command:
        return CommitResults(self._holder, results)

    def _answered(
        self, group: GroupId, results: tuple[ItemResult, ...], outcome: CommandOutcome
    ) -> None:
        if not isinstance(outcome, ResultsCommitted):
            self.counts.refused += len(results)
            return
        for result, verdict in zip(results, outcome.verdicts, strict=True):
            self._count(result, verdict)

    def _count(self, result: ItemResult, verdict: CommitVerdict) -> None:
        if verdict is CommitVerdict.COMMITTED:
            self.counts.committed += 1
        else:
            self.counts.dropped += 1


def _result_bytes(result: ItemResult) -> int:
    return len(result.text) + RESULT_OVERHEAD_BYTES
