"""What the dispatcher and its parts take from outside, as two typed bundles."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from rainsail.cluster.registry import RunnerRegistry
from rainsail.http.pool import ConnectionPool
from rainsail.jobs.job_state import JobState, RelayedJob
from rainsail.jobs.ledger_time import LedgerTime
from rainsail.jobs.open_item import OpenItem
from rainsail.jobs.settings import DispatchSettings
from rainsail.node_metrics import NodeMetrics
from rainsail.quarantine.guard import RequestGuard
from rainsail.relay.protocol import RelayProtocol
from rainsail.routing.residency import RegionMap
from rainsail.routing.warm_up_limiter import WarmUpLimiter
from rainsail.runtime.clock import Clock
from rainsail.state.job_commands import ItemOutcome, NoteProgress

ListOutcome = Callable[[str, ItemOutcome], None]
"""Commits the outcome of an item of a job; called once an item."""

CommitProgress = Callable[[NoteProgress], "Deferred[Any]"]
"""Commits the progress of items; fires with a fault when that is refused or unclear."""

MayStart = Callable[[], bool]
"""Tells whether this node still leads and hears of runners that leave and tables that change.

A node that was frozen or is cut off must not act on what it knew before.
"""


@dataclass(frozen=True, slots=True)
class DispatchNode:
    """The node on which the dispatcher runs: its runners, and how to reach them."""

    zone: str
    clock: Clock
    random: Random
    registry: RunnerRegistry
    pool: ConnectionPool
    protocol: RelayProtocol
    regions: RegionMap
    warm_ups: WarmUpLimiter
    guard: RequestGuard
    metrics: NodeMetrics
    settings: DispatchSettings


@dataclass(frozen=True, slots=True)
class Ledger:
    """The ledger group as the dispatcher reads it, and its ways to commit commands there."""

    state: JobState
    time: LedgerTime
    list_outcome: ListOutcome
    commit_progress: CommitProgress
    may_start: MayStart

    def job_of(self, item: OpenItem) -> RelayedJob | None:
        """Return the job of an item, None when it is not kept any more."""
        return self.state.jobs.get(item.job)

    def is_job_open(self, job: str) -> bool:
        """Tell whether a job is kept and has not been ended by its client."""
        kept = self.state.jobs.get(job)
        return kept is not None and not kept.ended

    def is_open(self, item: OpenItem) -> bool:
        """Tell whether an item is still to be run.

        A command that an earlier leader proposed may list it after this one has taken it up.
        """
        return self.is_job_open(item.job) and item.index in self.state.jobs[item.job].unlisted
