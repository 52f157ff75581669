"""Commits the progress of running items to the ledger, so that the next leader can resume them."""

from typing import Any

from rainsail.jobs.context import DispatchNode, Ledger
from rainsail.jobs.dispatch_state import DispatchState
from rainsail.jobs.item_text import MAX_ITEM_NOTE_BYTES, NOTES_SHARE, note_bytes
from rainsail.jobs.open_item import OpenItem, take_new_progress
from rainsail.state.job_commands import ItemNote, NoteProgress

CommittedCounts = list[tuple[OpenItem, int]]
"""Items, each with its number of committed events before a command was proposed."""


class ProgressCommitter:
    """Commits the progress of all running items every ``progress_period_s``."""

    def __init__(self, node: DispatchNode, ledger: Ledger, state: DispatchState) -> None:
        self._node = node
        self._ledger = ledger
        self._running = state.running
        self._waiting = state.waiting
        self._active = False

    def start(self) -> None:
        """Commit the progress now and then periodically."""
        self._active = True
        self._commit_periodically()

    def stop(self) -> None:
        """Stop committing."""
        self._active = False

    def _commit_periodically(self) -> None:
        if not self._active:
            return
        # Planned before the commit, so that an error in one does not end the series.
        self._node.clock.callLater(self._node.settings.progress_period_s, self._commit_periodically)
        self._commit_progress()

    def _commit_progress(self) -> None:
        """Commit the progress since the last call.

        While items only wait, the command carries just the ledger time, so that the next leader
        knows the age of their jobs. What would take too much memory at the replicas is left out: a
        new leader runs that part again.
        """
        notes: list[ItemNote] = []
        committed_before: CommittedCounts = []
        if self._node.settings.mechanisms.progress_notes:
            left = int(self._node.budget.limits.held_bytes * NOTES_SHARE)
            left -= self._ledger.state.count_note_bytes()
            for item in self._running:
                committed_before.append((item, item.events_committed))
                taken = take_new_progress(item, min(left, self._left_for(item)))
                left -= sum(note_bytes(note.texts) for note in taken)
                notes += taken
        if notes or len(self._waiting):
            ledger_s = self._ledger.time.at(self._node.clock.seconds())
            kept = self._ledger.commit_progress(NoteProgress(tuple(notes), ledger_s))
            kept.addCallback(self._on_answer, committed_before)

    def _left_for(self, item: OpenItem) -> int:
        job = self._ledger.job_of(item)
        return 0 if job is None else MAX_ITEM_NOTE_BYTES - job.note_bytes.get(item.index, 0)

    def _on_answer(self, result: Any, committed_before: CommittedCounts) -> None:
        """Include refused progress in the next command, since the ledger rejects gaps.

        An unknown outcome is treated alike: it occurs only when this node no longer leads, and then
        these runs are over.
        """
        if result.is_error():
            for item, events_committed in committed_before:
                item.events_committed = min(item.events_committed, events_committed)
