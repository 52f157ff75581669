"""A controller: serves runners, operators and nodes over the root group.

Durable state: the routing table, the founders of the ledger group, the storage nodes to be emptied,
the zone drains and the held requests (``FleetState``, in the root group's log). Soft state: the
registry of runners and the directory of nodes, rebuilt from reports and heartbeats within one
heartbeat period.

Assembles the parts: ``reports`` (runners), ``tables``, ``emptying``, ``zone_drains`` and
``quarantine`` (operators), the heartbeat replies (nodes) and the periodic tasks.
"""

from dataclasses import dataclass

from rainsail.cluster.committed_copy import CommittedCopies
from rainsail.cluster.controller_context import ControllerContext
from rainsail.cluster.emptying import EmptyingOrders
from rainsail.cluster.fleet_views import FleetViews
from rainsail.cluster.founders import voters_for
from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.cluster.ledger_founding import LedgerFounding
from rainsail.cluster.messages import ZoneDrainNotice
from rainsail.cluster.node_heartbeats import NodeHeartbeats
from rainsail.cluster.runner_doubts import RunnerDoubts
from rainsail.cluster.runner_journal import RunnerJournal
from rainsail.cluster.runner_reports import RunnerReports
from rainsail.cluster.runner_version_file import RunnerVersionFile
from rainsail.cluster.service_versions import ServiceVersionKeeper, SharedVersionStore
from rainsail.cluster.stream_origins import StreamOriginService
from rainsail.cluster.table_service import ServicesOf, TableService
from rainsail.cluster.zone_drain_orders import ZoneDrainOrders
from rainsail.quarantine.control import QuarantineControl
from rainsail.state.cluster_commands import ZoneDrain

PLAN_PERIOD_S = 0.25
"""Period of the checks which controllers may join the root group and whether to found the ledger.

A change of the root group's members is delayed by less than an election takes.
"""


@dataclass(frozen=True, slots=True)
class ControllerStatus:
    """Summary of the fleet as one controller sees it, for operators."""

    table_version: int
    runners_ready: int
    runners_warming: int


class FleetController:
    """Serves nodes over the messenger, and runners and operators through its parts."""

    def __init__(
        self,
        context: ControllerContext,
        journal: RunnerJournal,
        committed: CommittedCopies,
        versions: RunnerVersionFile,
        shared_versions: SharedVersionStore,
        services_of: ServicesOf = lambda content: None,
    ) -> None:
        self._context = context
        self._views = views = FleetViews(context)
        group, state, clock = context.group, context.state, context.clock
        losses = context.settings.losses
        calls = LeaderCaller(context.messenger, clock, group, views.other_controllers)
        self.reports = RunnerReports(context, views, journal, versions)
        self.emptying = EmptyingOrders(group, state, context.directory, calls, clock, losses)
        self.zone_drains = ZoneDrainOrders(group, state, calls, clock, views.zones)
        self.quarantine = QuarantineControl(
            context.messenger, clock, group, state, context.follower, calls, context.live_nodes
        )
        doubts = RunnerDoubts(context.messenger, context.registry, context.live_nodes)
        self.quarantine.on_crash = doubts.runner_crashed
        self.tables = TableService(context, calls, committed, services_of)
        self.origins = StreamOriginService(context.messenger, clock, context.registry.has_unheard)
        self.service_versions = ServiceVersionKeeper(
            context.messenger,
            clock,
            context.registry,
            shared_versions,
            group.was_founded_in_this_run,
        )
        self._founding = LedgerFounding(group, state, context.directory, losses)
        self._heartbeats = NodeHeartbeats(context, views, committed)
        self._noticed_drains: tuple[ZoneDrain, ...] = ()
        self._stopped = False
        group.on_applied(self._on_applied)
        self.emptying.serve(context.messenger)
        self.zone_drains.serve(context.messenger)

    def start(self) -> None:
        """Start the periodic tasks."""
        self._plan()

    def stop(self) -> None:
        """Stop the periodic tasks."""
        self._stopped = True

    def status(self) -> ControllerStatus:
        """Return the current summary; ``runners_ready`` includes the runners that warm up."""
        registry = self._context.registry
        runners = [each.runner for each in registry.records()]
        ready = [runner for runner in runners if registry.is_ready(runner)]
        warming = sum(map(registry.is_warming, ready))
        return ControllerStatus(self._context.state.version, len(ready), warming)

    def _on_applied(self, index: int) -> None:
        self._notice_zone_drains()
        self.quarantine.applied()
        self.tables.on_applied(index)

    def _notice_zone_drains(self) -> None:
        """Apply newly committed zone drain orders and push them to the nodes."""
        context = self._context
        drains = context.state.zone_drains()
        if drains == self._noticed_drains:
            return
        self._noticed_drains = drains
        context.follower.take_zone_drains(drains)
        context.messenger.send_all(context.live_nodes(), ZoneDrainNotice(drains))

    def _plan(self) -> None:
        if self._stopped:
            return
        context = self._context
        now = context.clock.seconds()
        context.group.open_membership(self._views.contacts(), voters_for(context.settings.losses))
        self._founding.check(now)
        self.quarantine.look()
        context.clock.callLater(PLAN_PERIOD_S, self._plan)
