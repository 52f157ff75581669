"""Chooses among runners with free slots for items that may crash them, and for those beside them.

A crash counts against all suspects that ran there, so suspects are kept apart where other runners
have free slots.
"""

from collections import Counter
from collections.abc import Mapping

from rainsail.cluster.messages import RunnerRecord
from rainsail.jobs.context import DispatchNode
from rainsail.jobs.item_guard import ItemGuard
from rainsail.jobs.open_item import OpenItem
from rainsail.jobs.running_items import RunningItems
from rainsail.jobs.slot_use import SlotUse
from rainsail.quarantine.trial_placement import TrialSite, best_trial_sites


class SuspectPlacement:
    """Narrows the runners at which an item may start."""

    def __init__(self, node: DispatchNode, running: RunningItems, guard: ItemGuard) -> None:
        self._node = node
        self._running = running
        self._guard = guard
        self._suspects_at: Counter[str] | None = None
        """Suspects that run at each runner; None from the begin of a round until it is needed."""

    def begin_round(self) -> None:
        """Forget what ran at the runners; called before items are started."""
        self._suspects_at = None

    def count(self, item: OpenItem) -> None:
        """Count an item that is sent, if it is a suspect."""
        if self._suspects_at is not None and self._is_suspect(item):
            self._suspects_at[item.runner] += 1

    def _count_all(self) -> Counter[str]:
        """Return how many suspects run at each runner.

        All running items are examined once in a round, and only if a suspect is to be started.
        """
        if self._suspects_at is None:
            suspects = filter(self._is_suspect, self._running)
            self._suspects_at = Counter(item.runner for item in suspects)
        return self._suspects_at

    def _is_suspect(self, item: OpenItem) -> bool:
        return self._guard.is_suspect(item, self._service_at(item.runner))

    def _service_at(self, runner: str) -> str:
        record = self._node.registry.get(runner)
        return "" if record is None else record.service

    def for_trial(
        self, records: list[RunnerRecord], uses: Mapping[str, SlotUse], now: float
    ) -> list[RunnerRecord]:
        """Return the runners that suit a trial best, none if each of them may have crashed.

        ``uses`` has the slot use of each of the runners.
        """
        sites = [self._site(record, uses[record.runner], now) for record in records]
        best = {site.runner for site in best_trial_sites(sites)}
        return [record for record in records if record.runner in best]

    def _site(self, record: RunnerRecord, use: SlotUse, now: float) -> TrialSite:
        registry = self._node.registry
        return TrialSite(
            record.runner,
            record.zone,
            self._node.guard.may_have_crashed(record),
            registry.may_be_replaced(record),
            registry.history.known_s(record, now),
            registry.history.since_crash_s(record, now),
            self._count_all()[record.runner],
            use.slots - use.free,
        )

    def for_other(
        self, item: OpenItem, service: str, records: list[RunnerRecord]
    ) -> list[RunnerRecord]:
        """Return the runners for an item that is not on trial: all, if none of them is better.

        One that may have crashed is avoided, and by a suspect also one that runs another suspect.
        """
        guard = self._node.guard
        records = [each for each in records if not guard.may_have_crashed(each)] or records
        if not guard.wants_answers or not self._guard.is_suspect(item, service):
            return records
        suspects_at = self._count_all()
        apart = [each for each in records if not suspects_at[each.runner]]
        return apart or records
