"""A controller: serves runners, operators and nodes over the root group.

Durable: the routing table, the ledger's founders, the nodes to be emptied, the zone drains and the
requests that are held (``FleetState``, in the root group's log). Soft: the registry of runners and
the directory of nodes, rebuilt from reports and heartbeats within one heartbeat's period.

Puts the parts together: ``reports`` (runners), ``tables``, ``emptying``, ``zone_drains`` and
``quarantine`` (operators), the answers to heartbeats (nodes), and what is planned now and then.
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
from rainsail.cluster.runner_journal import RunnerJournal
from rainsail.cluster.runner_reports import RunnerReports
from rainsail.cluster.table_service import ServicesOf, TableService
from rainsail.cluster.zone_drain_orders import ZoneDrainOrders
from rainsail.quarantine.control import QuarantineControl
from rainsail.state.cluster_commands import ZoneDrain

PLAN_PERIOD_S = 0.25
"""Time between two looks at who may join the root group, and at whether the ledger can be founded.

Not measured; it delays a change of the root group's members by less than an election does.
"""


@dataclass(frozen=True, slots=True)
class ControllerStatus:
    """What one controller knows of the fleet, for its operator."""

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
        services_of: ServicesOf = lambda content: None,
    ) -> None:
        self._context = context
        self._views = views = FleetViews(context)
        group, state, clock = context.group, context.state, context.clock
        losses = context.settings.losses
        calls = LeaderCaller(context.messenger, clock, group, views.other_controllers)
        self.reports = RunnerReports(context, views, journal)
        self.emptying = EmptyingOrders(group, state, context.directory, calls, clock, losses)
        self.zone_drains = ZoneDrainOrders(group, state, calls, clock, views.zones)
        self.quarantine = QuarantineControl(
            context.messenger, clock, group, state, context.follower, calls, context.live_nodes
        )
        self.tables = TableService(context, calls, committed, services_of)
        self._founding = LedgerFounding(group, state, context.directory, losses)
        self._heartbeats = NodeHeartbeats(context, views, committed)
        self._noticed_drains: tuple[ZoneDrain, ...] = ()
        self._stopped = False
        group.on_applied(self._on_applied)
        self.emptying.serve(context.messenger)
        self.zone_drains.serve(context.messenger)

    def start(self) -> None:
        """Begin to plan and to follow the other controllers."""
        self._plan()

    def stop(self) -> None:
        """Plan no more."""
        self._stopped = True

    def status(self) -> ControllerStatus:
        """Return what this controller knows now; runners that warm up are among the ready ones."""
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
        """Obey orders on zones that were committed, and tell the nodes of them."""
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
