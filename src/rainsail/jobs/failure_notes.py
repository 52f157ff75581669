"""Commits the counts of items' failed runs, so that a new leader goes on from them.

An item that has not failed under the leader that accepted it is sent without a note. Any other is
sent only once the ledger counts that run as one with an unknown answer: a leader that is lost, or
suspended, thus never leaves more runs than its successor assumes. The run's end replaces the count.
"""

from collections.abc import Callable
from typing import Any

from rainsail.jobs.context import DispatchNode, Ledger
from rainsail.jobs.failure_counts import NO_FAILURES, UNNOTED, failure_note
from rainsail.jobs.open_item import OpenItem
from rainsail.jobs.running_items import RunningItems
from rainsail.logs import logger
from rainsail.state.job_commands import NoteProgress

RETRY_S = 0.2
"""Delay before a refused commit is retried; limits retries to five a second at a busy group."""


class FailureNotes:
    """Commits the counts of all items of one turn of the reactor with one command."""

    def __init__(self, node: DispatchNode, ledger: Ledger, running: RunningItems) -> None:
        self._node = node
        self._ledger = ledger
        self._running = running
        self._pending: dict[tuple[str, int], OpenItem] = {}
        self._flush_scheduled = False
        self._active = False
        self._last_start = 0
        self.on_start_noted: Callable[[OpenItem], None] = lambda item: None
        """Called with an item whose next run the ledger counts, so that it may be sent."""

    def start(self) -> None:
        """Start committing."""
        self._active = True

    def stop(self) -> None:
        """Drop uncommitted counts; no item waits for them any more."""
        self._active = False
        self._pending.clear()

    @staticmethod
    def may_send(item: OpenItem) -> bool:
        """Tell whether the ledger's counts hold even if another run's answer remains unknown."""
        noted = UNNOTED if item.noted is None else item.noted
        return noted.covers_run_after(item.failures)

    def note_start(self, item: OpenItem) -> None:
        """Count an item's next run in the ledger, then call ``on_start_noted``."""
        self._last_start += 1
        item.starting = self._last_start
        item.noted = item.failures.with_unknown_run()
        self._queue(item)

    def settle(self, item: OpenItem) -> None:
        """Replace an item's counts in the ledger with what is known by now."""
        if item.noted is None and item.failures == NO_FAILURES:
            return
        if item.noted != item.failures:
            item.noted = item.failures
            self._queue(item)

    def settle_begun(self) -> None:
        """Settle the items whose current runs bring events: those are no failures."""
        for item in self._running:
            if item.noted is not None and item.run is not None and item.run.is_stream:
                item.failures = item.failures.without_unknown_runs()
                self.settle(item)

    def _queue(self, item: OpenItem) -> None:
        self._pending[item.job, item.index] = item
        self._schedule_flush(0.0)

    def _schedule_flush(self, delay_s: float) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._node.clock.callLater(delay_s, self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        items, self._pending = list(self._pending.values()), {}
        if not self._active or not items:
            return
        notes = tuple(
            failure_note(item.job, item.index, item.noted)
            for item in items
            if item.noted is not None
        )
        starts = [(item, item.starting) for item in items]
        ledger_s = self._ledger.time.at(self._node.clock.seconds())
        kept = self._ledger.commit_progress(NoteProgress(notes, ledger_s))
        kept.addCallback(self._on_answer, starts)

    def _on_answer(self, result: Any, starts: list[tuple[OpenItem, int]]) -> None:
        if not self._active:
            return
        if result.is_error():
            logger.bind(items=len(starts), fault=str(result.error)).warning("failures_not_noted")
            for item, _ in starts:
                self._pending.setdefault((item.job, item.index), item)
            self._schedule_flush(RETRY_S)
            return
        for item, start in starts:
            if start and item.starting == start:
                self.on_start_noted(item)
