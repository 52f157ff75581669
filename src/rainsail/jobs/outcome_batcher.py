"""Commits the outcomes of items to the ledger group in batches, one command for each job."""

from collections.abc import Callable
from typing import Any

from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.state.job_commands import ItemOutcome, ListOutcomes

BATCHING_DELAY_S = 0.02
"""Time over which outcomes are collected into a batch; short compared to an item's run."""
RETRY_S = 0.2
"""Delay before a refused commit is retried; limits retries to five a second at a busy group."""


class OutcomeBatcher:
    """Commits outcomes job by job; retries refused commits while this node leads."""

    def __init__(self, propose: Callable[[ListOutcomes], Any], clock: Clock) -> None:
        self._propose = propose
        self._clock = clock
        self._pending: dict[str, list[ItemOutcome]] = {}
        self._flush_scheduled = False
        self._active = False

    def start(self) -> None:
        """Start committing."""
        self._active = True

    def stop(self) -> None:
        """Drop uncommitted outcomes; the next leader runs those items again."""
        self._active = False
        self._pending = {}

    def add(self, job: str, outcome: ItemOutcome) -> None:
        """Queue an outcome; it is committed within ``BATCHING_DELAY_S`` unless refused."""
        self._pending.setdefault(job, []).append(outcome)
        self._schedule_flush(BATCHING_DELAY_S)

    def _schedule_flush(self, delay_s: float) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._clock.callLater(delay_s, self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        pending, self._pending = self._pending, {}
        if not self._active:
            return
        for job, outcomes in pending.items():
            command = ListOutcomes(job, tuple(outcomes))
            self._propose(command).addCallback(self._committed, job, outcomes)

    def _committed(self, result: Any, job: str, outcomes: list[ItemOutcome]) -> None:
        if result.is_ok() or not self._active:
            return
        logger.bind(job=job, fault=str(result.error)).warning("outcomes_not_committed")
        self._pending.setdefault(job, []).extend(outcomes)
        self._schedule_flush(RETRY_S)
