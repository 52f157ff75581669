"""Dependencies of the dispatcher and its parts, in two bundles: the node and the ledger."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from rainsail.budget.client_budget import ClientBudget
from rainsail.cluster.registry import RunnerRegistry
from rainsail.cluster.table_confirmation import TableConfirmation
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
"""Commits the outcome of an item of a job; called once per item."""

CommitProgress = Callable[[NoteProgress], "Deferred[Any]"]
"""Commits the progress of items; fires with a fault if it is refused or its outcome is unknown."""

MayStart = Callable[[], bool]
"""Tells whether this node still leads and receives updates on runners and routing tables.

A node that was suspended or is partitioned must not act on stale state.
"""


@dataclass(frozen=True, slots=True)
class DispatchNode:
    """The node on which the dispatcher runs: its clock, runners, connections and settings."""

    zone: str
    clock: Clock
    random: Random
    registry: RunnerRegistry
    pool: ConnectionPool
    protocol: RelayProtocol
    regions: RegionMap
    warm_ups: WarmUpLimiter
    guard: RequestGuard
    tables: TableConfirmation
    metrics: NodeMetrics
    settings: DispatchSettings
    budget: ClientBudget
    """Counts what is held of the items' answers, as well as what clients hold."""


@dataclass(frozen=True, slots=True)
class Ledger:
    """The ledger group: its replicated state, and functions that commit commands to it."""

    state: JobState
    time: LedgerTime
    list_outcome: ListOutcome
    commit_progress: CommitProgress
    may_start: MayStart

    def job_of(self, item: OpenItem) -> RelayedJob | None:
        """Return the job of an item, None if it has been deleted."""
        return self.state.jobs.get(item.job)

    def is_job_open(self, job: str) -> bool:
        """Tell whether a job exists and has not been ended by its client."""
        kept = self.state.jobs.get(job)
        return kept is not None and not kept.ended

    def is_open(self, item: OpenItem) -> bool:
        """Tell whether an item is still to be run.

        A command that a previous leader proposed may list it after this leader has enqueued it.
        """
        return self.is_job_open(item.job) and item.index in self.state.jobs[item.job].unlisted
