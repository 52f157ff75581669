"""Bounds what the texts of items take that wait for their next run.

A runner may break off each answer before its text is too large, and leave it to the leader.
"""

from rainsail.budget.client_budget import ClientBudget
from rainsail.budget.memory import HeldKind, Holding
from rainsail.cluster.runner_versions import NO_VERSION
from rainsail.jobs.item_recorder import ItemRecorder
from rainsail.jobs.item_text import NOTES_SHARE
from rainsail.jobs.open_item import OpenItem
from rainsail.jobs.waiting_items import WaitingItems


class WaitingTexts:
    """Counts these texts against the account of the process, and drops the largest beyond it."""

    def __init__(self, budget: ClientBudget, waiting: WaitingItems, recorder: ItemRecorder) -> None:
        self._budget = budget
        self._waiting = waiting
        self._recorder = recorder
        self._holding = Holding(budget.memory)

    def review(self) -> None:
        """Count the texts anew, and drop the largest while all take too much."""
        items = [item for item in self._waiting.requeued_items if item.progress.kept_bytes]
        total = sum(item.progress.kept_bytes for item in items)
        most = self._budget.limits.held_bytes * NOTES_SHARE
        if total > most:
            items.sort(key=lambda item: item.progress.kept_bytes)
        while total > most:
            item = items.pop()
            total -= item.progress.kept_bytes
            self._drop(item)
        self._holding.set(HeldKind.RUNNER, total)

    def clear(self) -> None:
        """Count nothing: the items wait no more at this node."""
        self._holding.close()

    def _drop(self, item: OpenItem) -> None:
        self._recorder.text_dropped(item, NO_VERSION)
        item.progress.unconfirmed = None
        item.progress.start_anew()
        item.forget_dropped_events()
