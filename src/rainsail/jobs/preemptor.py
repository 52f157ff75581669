"""Preempts the least urgent items at runners whose slots online work needs.

A preempted item is resumed later, after the last event received. The trial run of a quarantined
item is not preempted until it has shown something, as few trials are permitted.
"""

from rainsail.jobs.after_run import failures_after_run
from rainsail.jobs.context import DispatchNode
from rainsail.jobs.dispatch_state import DispatchState
from rainsail.jobs.failure_notes import FailureNotes
from rainsail.jobs.item_guard import ItemGuard
from rainsail.jobs.item_order import ItemOrder
from rainsail.jobs.item_recorder import ItemRecorder
from rainsail.jobs.item_run import RunEnd
from rainsail.jobs.open_item import OpenItem
from rainsail.jobs.slot_use import items_to_preempt


class Preemptor:
    """Closes as many runs as ``slot_use.items_to_preempt`` says, the least urgent first."""

    def __init__(
        self,
        node: DispatchNode,
        state: DispatchState,
        order: ItemOrder,
        recorder: ItemRecorder,
        notes: FailureNotes,
        guard: ItemGuard,
    ) -> None:
        self._node = node
        self._notes = notes
        self._guard = guard
        self._slots = state.slots
        self._running = state.running
        self._waiting = state.waiting
        self._order = order
        self._recorder = recorder

    def preempt_everywhere(self) -> None:
        """Preempt items at each overloaded runner."""
        for runner in self._running.runners():
            self.preempt_at(runner)

    def preempt_at(self, runner: str) -> None:
        """Preempt items at a runner to free the slots that online requests need there."""
        record = self._node.registry.get(runner)
        items = self._running.at(runner)
        if record is None or not items:
            return
        now = self._node.clock.seconds()
        count = items_to_preempt(self._slots.use_of(record, now))
        preemptible = [each for each in items if not self._guard.is_on_trial(each)]
        by_urgency = sorted(preemptible, key=self._order.urgency)
        for item in by_urgency[max(0, len(by_urgency) - count) :]:
            self._preempt(item, now)

    def _preempt(self, item: OpenItem, now: float) -> None:
        if item.run is not None:
            item.failures = failures_after_run(
                item.failures, RunEnd.BROKEN, item.run.answered_status
            )
        item.close_run(now)
        self._running.remove(item)
        self._notes.settle(item)
        settings = self._node.settings
        if settings.mechanisms.yield_pause:
            self._slots.pause(item.runner, now + settings.preemption_pause_s)
        item.ready_at_s = now
        self._waiting.requeue(item)
        self._recorder.item_preempted(item)
