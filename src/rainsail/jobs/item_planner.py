"""Plans periodically which items can be in time, and how many may run at once.

Every replica derives its estimates from the commands that the ledger applies. A new leader thus
plans with the lengths, event rates and slots that items had under the previous one.
"""

from itertools import chain

from rainsail.cluster.messages import RunnerRecord
from rainsail.jobs.context import DispatchNode, Ledger
from rainsail.jobs.dispatch_state import DispatchState
from rainsail.jobs.item_order import ItemOrder
from rainsail.jobs.job_state import RelayedJob, StateObserver
from rainsail.jobs.reserve import Reserve
from rainsail.state.job_commands import ItemNote

PLAN_INTERVAL_S = 0.2
"""Time between two plans.

Short compared to an item's run time, at a quarter of the cost of a plan in every dispatch round.
"""


class ItemPlanner(StateObserver):
    """Owns the order of items, the reserve of free slots and the due times of jobs."""

    def __init__(self, node: DispatchNode, ledger: Ledger, state: DispatchState) -> None:
        self.order = ItemOrder(node.settings.mechanisms)
        self._node = node
        self._ledger = ledger
        self._routes = state.routes
        self._slots = state.slots
        self._running = state.running
        self._waiting = state.waiting
        self._reserve = Reserve()
        self._planned_s = float("-inf")
        self._leads = False

    def begin_leadership(self) -> None:
        """Count this node's own runs from now on; discard earlier peaks of online work."""
        self._leads = True
        self._reserve.clear()

    def end_leadership(self) -> None:
        """Count the items that another leader runs, from the progress that it commits."""
        self._leads = False

    # --- callbacks for applied commands --------------------------------------------------

    def accepted(self, job: RelayedJob) -> None:
        """Set a job's due time, and advance ledger time to its acceptance."""
        self._follow_time(job.accepted_s)
        self.update_due_time(job)

    def progressed(self, ledger_s: float, notes: tuple[ItemNote, ...]) -> None:
        """Record how fast items run and, while another node leads, how many run concurrently."""
        self._follow_time(ledger_s)
        self.order.lengths.progressed(ledger_s, notes)
        if self._leads:
            return
        for service, running in self._routes.by_service(notes).items():
            self.order.on_slots_seen(service, len(running), ledger_s)

    def _follow_time(self, ledger_s: float) -> None:
        """Follow the leader's ledger time; a leader is ahead of what it has committed itself."""
        now = self._node.clock.seconds()
        if self._leads:
            self._ledger.time.advance(ledger_s, now)
        else:
            self._ledger.time.set(ledger_s, now)

    def finished(self, events: int) -> None:
        """Record the length of an item."""
        self.order.lengths.finished(events)

    def update_due_time(self, job: RelayedJob) -> None:
        """Set a job's due time by the current routing table."""
        within_s = self._routes.due_within_s(job)
        self.order.due.set_due(job.job, job.accepted_s, within_s)

    # --- planning ------------------------------------------------------------------------

    def plan_if_due(self) -> None:
        """Plan every service that runs items, at most once per ``PLAN_INTERVAL_S``."""
        now = self._node.clock.seconds()
        if self._routes.table is None or now - self._planned_s < PLAN_INTERVAL_S:
            return
        self._planned_s = now
        self.order.begin_plan()
        fresh = self._routes.by_service(self._waiting.fresh())
        begun = self._routes.by_service(chain(self._waiting.requeued_items, self._running))
        for service in sorted({*self._routes.batch_services(), *fresh, *begun}):
            records = self._node.registry.ready(service)
            slots = sum(self._slots.slots_for_items(record, now) for record in records)
            ledger_s = self._ledger.time.at(now)
            self.order.on_slots_seen(service, slots, ledger_s)
            self.order.plan(service, fresh.get(service, []), begun.get(service, []), ledger_s)
            self._plan_reserve(service, records, now)

    def _plan_reserve(self, service: str, records: list[RunnerRecord], now: float) -> None:
        """Decide how many slots to keep free for returning online work."""
        if not self._node.settings.mechanisms.batch_reserve:
            return
        online = sum(self._slots.online.running(record.runner) for record in records)
        self._reserve.on_online_seen(service, online, now)
        slots = sum(record.slots for record in records)
        self._reserve.plan(service, slots, self.order.slots_needed(service))

    def may_run_more(self, service: str) -> bool:
        """Tell whether the reserve allows another item of a service to run."""
        limit = self._reserve.limit(service)
        if limit is None:
            return True
        ready = self._node.registry.ready(service)
        return sum(self._running.count_at(record.runner) for record in ready) < limit
