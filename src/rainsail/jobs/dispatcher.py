"""Runs the items of open jobs while this node leads the ledger group.

Wires the parts together and runs each in turn, several times a second. All of their state is in
memory only: a new leader resumes unlisted items from the progress committed to the ledger. A listed
item is never run again.
"""

from rainsail.cluster.messages import RunnerRecord
from rainsail.jobs.context import DispatchNode, Ledger
from rainsail.jobs.dispatch_state import make_dispatch_state
from rainsail.jobs.failure_notes import FailureNotes
from rainsail.jobs.item_guard import ItemGuard
from rainsail.jobs.item_planner import ItemPlanner
from rainsail.jobs.item_recorder import ItemRecorder
from rainsail.jobs.item_runs import ItemRuns
from rainsail.jobs.item_starter import ItemStarter
from rainsail.jobs.item_wait import WaitCause
from rainsail.jobs.job_state import StateObserver
from rainsail.jobs.open_jobs import OpenJobs
from rainsail.jobs.preemptor import Preemptor
from rainsail.jobs.progress_committer import ProgressCommitter
from rainsail.jobs.waiting_texts import WaitingTexts
from rainsail.relay.table import RoutingTable
from rainsail.routing.online_use import OnlineUseTracker
from rainsail.runtime.clock import Timer

DISPATCH_PERIOD_S = 0.05
"""Time between two rounds; a freed slot stays empty only for a small part of an item's run time."""


class Dispatcher:
    """Dispatches the items of one ledger group; active from ``start`` to ``stop``."""

    def __init__(self, node: DispatchNode, ledger: Ledger) -> None:
        self._node = node
        self._ledger = ledger
        self._state = state = make_dispatch_state(node, ledger)
        self._planner = planner = ItemPlanner(node, ledger, state)
        recorder = ItemRecorder(ledger, node.metrics)
        self._jobs = OpenJobs(ledger, state, planner)
        self._notes = notes = FailureNotes(node, ledger, state.running)
        guard = ItemGuard(ledger.state, node.guard, state.routes, node.protocol)
        self._preemptor = Preemptor(node, state, planner.order, recorder, notes, guard)
        self._runs = runs = ItemRuns(node, ledger, state, recorder, notes)
        self._texts = WaitingTexts(node.budget, state.waiting, recorder)
        self._starter = ItemStarter(node, ledger, state, planner, runs, recorder, notes)
        self._progress = ProgressCommitter(node, ledger, state)
        self._timer: Timer | None = None
        node.metrics.gauge("items_waiting", lambda: float(len(state.waiting)))
        node.metrics.gauge("items_running", lambda: float(len(state.running)))
        node.metrics.gauge("items_held", lambda: float(state.waiting.count_held()))
        node.metrics.gauge("jobs_awaiting_table", lambda: float(len(state.tables)))
        waits = self._count_waits
        node.metrics.gauge("items_waiting_for_slot", lambda: waits(WaitCause.SLOT))
        node.metrics.gauge("items_waiting_in_backoff", lambda: waits(WaitCause.BACKOFF))
        node.metrics.gauge("items_waiting_for_table", lambda: waits(WaitCause.TABLE))
        node.metrics.gauge("items_waiting_in_quarantine", lambda: waits(WaitCause.HELD))
        node.metrics.gauge("items_waiting_for_trial", lambda: waits(WaitCause.TRIAL))
        node.metrics.gauge("items_waiting_to_go_alone", lambda: waits(WaitCause.SENT_ALONE))

    # --- leadership ----------------------------------------------------------------------

    def start(self) -> None:
        """Begin to dispatch: every open job is enqueued in the first round."""
        self._state.waiting.clear()
        self._jobs.clear()
        self._state.slots.clear()
        self._state.tables.begin_leadership()
        self._planner.begin_leadership()
        self._starter.begin_leadership()
        self._notes.start()
        self._run_periodically()
        self._progress.start()

    def stop(self) -> None:
        """Close every run; the next leader runs the unlisted items."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._progress.stop()
        self._notes.stop()
        self._planner.end_leadership()
        self._state.running.stop_all(self._node.clock.seconds())
        self._state.waiting.clear()
        self._texts.clear()
        self._state.tables.clear()

    def _run_periodically(self) -> None:
        # Planned before the round, so that an error in one does not end the dispatch.
        self._timer = self._node.clock.callLater(DISPATCH_PERIOD_S, self._run_periodically)
        self._jobs.enqueue_new()
        self._jobs.drop_ended(self._node.clock.seconds())
        self._planner.plan_if_due()
        self._preemptor.preempt_everywhere()
        self._runs.end_idle_runs()
        self._notes.settle_begun()
        self._runs.report_survival()
        self._runs.list_confirmed()
        self._texts.review()
        self._starter.start_items()

    def _count_waits(self, cause: WaitCause) -> float:
        state = self._state
        now = self._node.clock.seconds()
        return float(state.waiting.count_by_cause(state.tables.awaits, now)[cause])

    # --- access for other components -----------------------------------------------------

    @property
    def observer(self) -> StateObserver:
        """The observer of the commands that the ledger's state applies."""
        return self._planner

    @property
    def online(self) -> OnlineUseTracker:
        """The online requests at each runner, as gateways report them."""
        return self._state.slots.online

    @property
    def table_version(self) -> int:
        """The version of the routing table by which items run; 0 before the first one arrives."""
        return self._state.routes.version

    def items_at(self, runner: str) -> int:
        """Return the number of items that run at a runner."""
        return self._state.running.count_at(runner)

    def preempt_at(self, runner: str) -> None:
        """Preempt items at a runner to free the slots that online requests need there."""
        self._preemptor.preempt_at(runner)

    def job_submitted(self, job: str) -> None:
        """Prepare for a job that is about to be committed."""
        self._state.tables.submitted(job)

    # --- changes of the fleet ------------------------------------------------------------

    def set_table(self, table: RoutingTable) -> None:
        """Use this routing table from now on."""
        self._state.routes.table = table
        self._state.waiting.update_routes()
        self._state.beginnings.keep_only(table.services, table.route_names())
        self._node.registry.warm_ups.set_terms(table.warm_up_terms())
        for job in self._ledger.state.jobs.values():
            self._planner.update_due_time(job)

    def on_runner_restarted(self, record: RunnerRecord) -> None:
        """Discard what is known of a runner from before its restart."""
        self._state.slots.forget(record.runner)
        self._node.pool.forget(record.address)

    def on_runners_changed(self, changed: list[RunnerRecord]) -> None:
        """Close idle connections to runners that are not ready any more."""
        for record in changed:
            if not self._node.registry.is_ready(record.runner) and record.address:
                self._node.pool.forget(record.address)

    def forget_dropped(self) -> None:
        """Forget jobs and runners that the ledger or the registry has removed."""
        self._jobs.forget_dropped()
        self._state.slots.keep_only({record.runner for record in self._node.registry.records()})
