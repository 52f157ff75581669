"""Runs the items of open jobs while this node leads the ledger group.

Puts the parts together and runs them in turn, several times a second. All of their state is soft:
a new leader runs unlisted items on from the progress that the ledger keeps; a listed item is never
run again.
"""

from rainsail.cluster.messages import RunnerRecord
from rainsail.jobs.context import DispatchNode, Ledger
from rainsail.jobs.dispatch_state import make_dispatch_state
from rainsail.jobs.item_planner import ItemPlanner
from rainsail.jobs.item_recorder import ItemRecorder
from rainsail.jobs.item_runs import ItemRuns
from rainsail.jobs.item_starter import ItemStarter
from rainsail.jobs.job_state import StateObserver
from rainsail.jobs.open_jobs import OpenJobs
from rainsail.jobs.preemptor import Preemptor
from rainsail.jobs.progress_committer import ProgressCommitter
from rainsail.relay.table import RoutingTable
from rainsail.routing.online_use import OnlineUseTracker

DISPATCH_PERIOD_S = 0.05
"""Time between two rounds.

Not measured; chosen so that a slot that becomes free is empty for a short part of an item's run.
"""


class Dispatcher:
    """The items of one ledger group; ``start`` and ``stop`` follow the group's leadership."""

    def __init__(self, node: DispatchNode, ledger: Ledger) -> None:
        self._node = node
        self._ledger = ledger
        self._state = state = make_dispatch_state(node, ledger)
        self._planner = planner = ItemPlanner(node, ledger, state)
        recorder = ItemRecorder(ledger, node.metrics)
        self._jobs = OpenJobs(ledger, state, planner)
        self._preemptor = Preemptor(node, state, planner.order, recorder)
        self._runs = runs = ItemRuns(node, ledger, state, recorder)
        self._starter = ItemStarter(node, ledger, state, planner, runs, recorder)
        self._progress = ProgressCommitter(node, ledger, state)
        self._active = False
        node.metrics.gauge("items_waiting", lambda: float(len(state.waiting)))
        node.metrics.gauge("items_running", lambda: float(len(state.running)))

    # --- leadership ----------------------------------------------------------------------

    def start(self) -> None:
        """Take up every open job."""
        self._active = True
        self._state.waiting.clear()
        self._jobs.clear()
        self._state.slots.clear()
        self._planner.begin_leadership()
        self._starter.begin_leadership()
        self._run_periodically()
        self._progress.start()

    def stop(self) -> None:
        """Close every run: another leader runs what is not listed."""
        self._active = False
        self._progress.stop()
        self._planner.end_leadership()
        self._state.running.stop_all(self._node.clock.seconds())
        self._state.waiting.clear()

    def _run_periodically(self) -> None:
        if not self._active:
            return
        self._jobs.enqueue_new()
        self._jobs.drop_ended(self._node.clock.seconds())
        self._planner.plan_if_due()
        self._preemptor.preempt_everywhere()
        self._runs.end_idle_runs()
        self._runs.list_confirmed()
        self._starter.start_items()
        self._node.clock.callLater(DISPATCH_PERIOD_S, self._run_periodically)

    # --- what others read and ask --------------------------------------------------------

    @property
    def observer(self) -> StateObserver:
        """Learns from the commands that the ledger's state applies."""
        return self._planner

    @property
    def online(self) -> OnlineUseTracker:
        """The online work at each runner, as gateways report it."""
        return self._state.slots.online

    @property
    def table_version(self) -> int:
        """The version of the routing table by which items run, 0 while none is known."""
        return self._state.routes.version

    def items_at(self, runner: str) -> int:
        """Return how many items run at a runner."""
        return self._state.running.count_at(runner)

    def preempt_at(self, runner: str) -> None:
        """Preempt as many of a runner's items as online work needs slots there."""
        self._preemptor.preempt_at(runner)

    # --- changes of the fleet ------------------------------------------------------------

    def set_table(self, table: RoutingTable) -> None:
        """Send by this routing table from now on."""
        self._state.routes.table = table
        self._state.beginnings.keep_only(table.services, table.route_names())
        self._node.registry.warm_ups.set_terms(table.warm_up_terms())
        for job in self._ledger.state.jobs.values():
            self._planner.update_due_time(job)

    def on_runner_restarted(self, record: RunnerRecord) -> None:
        """Forget what was known of a runner before it restarted."""
        self._state.slots.forget(record.runner)
        self._node.pool.forget(record.address)

    def on_runners_changed(self, changed: list[RunnerRecord]) -> None:
        """Close idle connections to runners that take no more items."""
        for record in changed:
            if not self._node.registry.is_ready(record.runner) and record.address:
                self._node.pool.forget(record.address)

    def forget_dropped(self) -> None:
        """Forget jobs that the ledger, and runners that the registry does not keep any more."""
        self._jobs.forget_dropped()
        self._state.slots.keep_only({record.runner for record in self._node.registry.records()})
