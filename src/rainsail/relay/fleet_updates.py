"""Applies a relaying gateway's fleet updates: routing tables, runners, leaders, loads.

Nothing here is durable; a restarted gateway learns all of it again. The routing table never goes
back to an older version while the process runs.
"""

from collections.abc import Callable

from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.incarnation_tracker import IncarnationTracker
from rainsail.cluster.messages import (
    FleetView,
    RunnerPrefill,
    RunnerRecord,
    RunnerState,
    TableDocument,
)
from rainsail.errors import Fault
from rainsail.http.server import HttpLimits
from rainsail.logs import logger
from rainsail.relay.context import RelayContext
from rainsail.relay.load_reports import LoadReporter
from rainsail.relay.placement import PlacementClient
from rainsail.relay.table import RoutingTable
from rainsail.relay.table_reader import TableReader
from rainsail.routing.messages import RunnerUnsound, ServiceLoad
from rainsail.tenancy.quota_client import QuotaClient
from rainsail.wire.messenger import Messenger


class FleetUpdates:
    """Updates the relay context with what the follower and the ledger's leader report."""

    def __init__(
        self,
        context: RelayContext,
        follower: FleetFollower,
        messenger: Messenger,
        read_table: TableReader,
        limits: HttpLimits,
        quotas: QuotaClient,
        placements: PlacementClient,
        reporter: LoadReporter,
    ) -> None:
        """``limits`` are those of the client-facing server; routing tables change them."""
        self._context = context
        self._registry = follower.registry
        self._read_table = read_table
        self._limits = limits
        self._quotas = quotas
        self._placements = placements
        self._reporter = reporter
        self._incarnations = IncarnationTracker()
        self._ledger_leader = ""
        self.on_table: Callable[[], None] = lambda: None
        """Called after a newer routing table was applied."""
        self.on_ledger_leader: Callable[[str], None] = lambda address: None
        """Called with the address of a new leader of the ledger."""
        follower.on_table = self._take_table
        follower.on_runners = self._runners_changed
        follower.on_view = self._view_changed
        follower.on_ledger_leader = self._ledger_term_began
        messenger.serve(RunnerPrefill, self._take_prefill)
        messenger.serve(ServiceLoad, self._take_load)
        messenger.serve(RunnerUnsound, self._take_ejection)

    # --- routing table -------------------------------------------------------------------

    def _take_table(self, document: TableDocument) -> None:
        read = self._read_table(document.content)
        if read.is_error():
            fault: Fault = read.error
            logger.bind(version=document.version, fault=str(fault)).error("table_unreadable")
            return
        table: RoutingTable = read.ok
        known = self._context.table
        if known is not None and table.version <= known.version:
            return
        self._put_in_force(table)
        logger.bind(version=table.version, routes=len(table.routes)).info("table_in_force")
        self.on_table()

    def _put_in_force(self, table: RoutingTable) -> None:
        self._context.put_in_force(table)
        self._context.beginnings.keep_only(table.services, table.route_names())
        self._registry.warm_ups.set_terms(table.warm_up_terms())
        self._quotas.table_version = table.version
        self._limits.max_header_bytes = table.limits.max_header_bytes
        self._limits.max_body_bytes = table.limits.max_body_bytes
        self._limits.header_timeout_s = table.limits.header_timeout_s
        self._limits.idle_timeout_s = table.limits.idle_timeout_s

    # --- runners -------------------------------------------------------------------------

    def _runners_changed(self, changed: list[RunnerRecord]) -> None:
        for record in changed:
            if self._incarnations.observe_restart(record):
                self._runner_started_again(record)
            if not record.takes_work:
                self._runner_left(record)

    def _runner_started_again(self, record: RunnerRecord) -> None:
        """Drop the state and connections of the runner's previous incarnation."""
        self._context.loads.runner_restarted(record.runner)
        self._context.prefixes.forget(record.runner)
        self._context.pool.forget(record.address)

    def _runner_left(self, record: RunnerRecord) -> None:
        if record.address:
            self._context.pool.forget(record.address)
        self._context.prefixes.forget(record.runner)
        if record.state == RunnerState.GONE:
            self._context.loads.forget(record.runner)

    def _take_prefill(self, source: str, message: RunnerPrefill) -> None:
        """Record that another gateway has sent a long prompt to a runner."""
        now = self._context.clock.seconds()
        self._context.loads.add_prefill(message.runner, message.reading_s, now)

    # --- the ledger's leader -------------------------------------------------------------

    def _view_changed(self, view: FleetView) -> None:
        self._reporter.set_gateways(view.gateways)
        self._quotas.set_gateways(view.gateways)
        if view.ledger_leader:
            self._set_ledger_leader(view.ledger_leader)

    def _ledger_term_began(self, address: str) -> None:
        """Report to the leader of a new term, even if it led before: it has dropped all reports."""
        self._set_ledger_leader(address)
        self._reporter.plan()

    def _set_ledger_leader(self, address: str) -> None:
        if address == self._ledger_leader:
            return
        self._ledger_leader = address
        self._placements.set_leader(address)
        self._quotas.set_allocator(address)
        self._reporter.set_leader(address)
        self._reporter.plan()
        self.on_ledger_leader(address)

    def _take_load(self, source: str, message: ServiceLoad) -> None:
        """Apply the leader's count of the requests that all gateways have at a busy service."""
        if source != self._ledger_leader:
            return
        self._context.overload.update_load(message, self._context.clock.seconds())
        self._placements.update_busy(message.service, message.places)

    def _take_ejection(self, source: str, message: RunnerUnsound) -> None:
        """Eject a runner that, by the leader's count over all gateways, failed too often."""
        if source == self._ledger_leader and self._context.settings.mechanisms.ejection:
            now = self._context.clock.seconds()
            self._context.loads.eject(message.runner, now, message.out_s)
            logger.bind(runner=message.runner, out_s=message.out_s).info("runner_left_out")
