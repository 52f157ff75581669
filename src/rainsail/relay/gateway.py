"""The relaying gateway: takes requests, follows the fleet, says when it is ready.

Nothing here is durable. The routing table never goes back within one life of the process.
"""

from collections.abc import Callable
from typing import TypeGuard

from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.messages import (
    FleetView,
    RunnerReads,
    RunnerRecord,
    RunnerState,
    TableDocument,
)
from rainsail.cluster.runner_lives import RunnerLives
from rainsail.errors import Fault
from rainsail.http.exchange import Exchange
from rainsail.http.server import HttpLimits
from rainsail.logs import logger
from rainsail.node_metrics import NodeMetrics
from rainsail.relay.context import RelayContext
from rainsail.relay.continuation import STATUS_NOT_FOUND, STATUS_UNAVAILABLE
from rainsail.relay.early_requests import EarlyRequests
from rainsail.relay.placement import PlacementClient
from rainsail.relay.protocol import RequestFacts
from rainsail.relay.run import RelayRun
from rainsail.relay.table import Route, RouteKind, RoutingTable
from rainsail.relay.table_reader import TableReader
from rainsail.routing.messages import (
    OnlineUse,
    RunnerOutcome,
    RunnerUnsound,
    RunnerUse,
    ServiceLoad,
)
from rainsail.tenancy.quota_client import QuotaClient
from rainsail.tenancy.tenants import Identity
from rainsail.wire.messenger import Messenger

STATUS_UNAUTHORIZED = 401
HOUSEKEEPING_PERIOD_S = 1.0
RUNNERS_EXPECTED_AFTER_S = 1.5
"""After its start a gateway waits this long for runners' words before it calls itself ready."""

BatchFront = Callable[[Exchange, Route, RequestFacts, Identity], None]
"""Takes a request on a batch route: a whole job."""


class RelayGateway:
    """Relays requests over what the follower knows."""

    def __init__(
        self,
        context: RelayContext,
        follower: FleetFollower,
        messenger: Messenger,
        read_table: TableReader,
        limits: HttpLimits,
        metrics: NodeMetrics,
    ) -> None:
        self._metrics = metrics
        metrics.gauge("requests_under_way", lambda: float(self.under_way))
        self._context = context
        self._follower = follower
        self._messenger = messenger
        self._read_table = read_table
        self._limits = limits
        self._ledger_leader = ""
        self._use_planned = False
        self._use_period_s = context.settings.use_report_period_s
        self._look_planned = False
        context.loads.on_change = self._use_changed
        self._started_s = context.clock.seconds()
        self._stopped = False
        self._lives = RunnerLives()
        self._early = EarlyRequests(context.clock, self._refuse_early)
        self.under_way = 0
        self.draining = False
        self.on_batch: BatchFront | None = None
        self.on_ledger_leader: Callable[[str], None] = lambda leader: None
        follower.on_table = self._take_table
        follower.on_runners = self._runners_changed
        follower.on_view = self._view_changed
        follower.on_ledger_leader = self._ledger_leader_noticed
        context.tell_reading = follower.tell_reading
        self._placements = PlacementClient(messenger, context.clock, metrics)
        self._placements.on_placed = self._plan_report
        if context.settings.mechanisms.placement:
            context.place = self._placements.place
        messenger.serve(RunnerReads, self._take_reading)
        messenger.serve(ServiceLoad, self._take_load)
        messenger.serve(RunnerUnsound, self._take_unsound)
        self._quotas = QuotaClient(messenger, context.clock, context.settings.quota, metrics)
        context.admit = self._quotas.admit
        context.give_back = self._quotas.give_back

    def start(self) -> None:
        """Begin to tidy up."""
        self._keep_house()

    def stop(self) -> None:
        """Report no more."""
        self._stopped = True

    def is_ready(self) -> bool:
        """Tell whether new clients may come."""
        if self.draining or self._context.table is None:
            return False
        age_s = self._context.clock.seconds() - self._started_s
        return bool(self._follower.registry.records()) or age_s >= RUNNERS_EXPECTED_AFTER_S

    # --- requests ------------------------------------------------------------------------

    def handle(self, exchange: Exchange) -> None:
        """Relay one request."""
        table = self._context.table
        if table is None:
            self._early.hold(exchange)
            return
        facts = self._context.protocol.describe(exchange.request)
        route = table.match(facts.host, facts.path)
        if route is None:
            logger.bind(request=facts.request, table=table.version).info("request_without_route")
            self.answer_empty(exchange, STATUS_NOT_FOUND)
            return
        identity = table.identify(route, facts.key)
        if not self._is_allowed(identity):
            self._refuse_key(exchange, facts, identity)
        elif route.kind == RouteKind.BATCH:
            self._take_batch(exchange, route, facts, identity)
        else:
            self.under_way += 1
            RelayRun(self._context, exchange, facts, route, self._run_ended, identity).start()

    def _refuse_early(self, exchange: Exchange) -> None:
        self._refuse_unready(exchange, self._context.protocol.describe(exchange.request))

    def identify_job_call(self, exchange: Exchange) -> Identity | None:
        """Return on whose behalf a call about a job comes; answers it when that is nobody's."""
        table = self._context.table
        facts = self._context.protocol.describe(exchange.request)
        if table is None:
            self._refuse_unready(exchange, facts)
            return None
        identity = table.identify_job_call(facts.host, facts.key)
        if not self._is_allowed(identity):
            self._refuse_key(exchange, facts, identity)
            return None
        return identity

    def _is_allowed(self, identity: Identity | None) -> TypeGuard[Identity]:
        """Tell whether a request may go on: its key is known, and still trusted."""
        if identity is None:
            return False
        return not identity.tenant or not self._context.settings.keys_expired(
            self._out_of_touch_s()
        )

    def _out_of_touch_s(self) -> float:
        """Return for how long too few controllers have answered to know of the newest table."""
        return self._follower.silent_s(self._context.settings.trusted_controllers)

    def _refuse_key(
        self, exchange: Exchange, facts: RequestFacts, identity: Identity | None
    ) -> None:
        """Refuse a request whose key is nobody's, or can't be relied on any more."""
        if identity is not None:
            self._refuse_unready(exchange, facts, "keys are too old while controllers are away")
            return
        reason = "no key" if facts.key is None else "unknown key"
        logger.bind(request=facts.request, reason=reason).info("request_unauthorized")
        self._metrics.count("requests_unauthorized", reason=reason)
        self.answer_empty(exchange, STATUS_UNAUTHORIZED)

    def _refuse_unready(
        self,
        exchange: Exchange,
        facts: RequestFacts,
        reason: str = "no routing table is known yet",
    ) -> None:
        retry_after_s = self._context.settings.not_ready_retry_after_s
        log = logger.bind(request=facts.request, retry_after_s=retry_after_s)
        log.bind(reason=reason).info("request_refused")
        self._metrics.count("requests", kind="unknown", outcome="refused")
        self.answer_empty(exchange, STATUS_UNAVAILABLE, retry_after_s)

    def _take_batch(
        self, exchange: Exchange, route: Route, facts: RequestFacts, identity: Identity
    ) -> None:
        if self.on_batch is None:
            self.answer_empty(exchange, STATUS_UNAVAILABLE)
            return
        context = self._context
        allowed = context.allowed_regions(route, identity)
        if not context.regions.may_be_kept(allowed, context.zone):
            # The ledger keeps copies in all regions: better not taken than kept where it must not.
            self._refuse_unready(exchange, facts, "the ledger lies in regions that are not allowed")
            return
        self.on_batch(exchange, route, facts, identity)

    def answer_empty(
        self, exchange: Exchange, status: int, retry_after_s: float | None = None
    ) -> None:
        """Answer without a body."""
        exchange.answer(status, self._context.protocol.refusal_headers(retry_after_s), b"")

    def _run_ended(self, run: RelayRun) -> None:
        self.under_way -= 1
        assert run.outcome is not None
        metrics = self._metrics
        metrics.count("requests", kind=run.kind.value, outcome=run.outcome.value)
        metrics.count("request_sends", run.attempts_counted, kind=run.kind.value)
        if run.first_s is not None:
            metrics.observe("request_first_seconds", run.first_s, kind=run.kind.value)

    # --- the fleet -----------------------------------------------------------------------

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
        self._context.table = table
        self._follower.registry.warm_ups.set_terms(table.warm_up_terms())
        self._quotas.table_version = table.version
        self._limits.max_header_bytes = table.limits.max_header_bytes
        self._limits.max_body_bytes = table.limits.max_body_bytes
        self._limits.header_timeout_s = table.limits.header_timeout_s
        self._limits.idle_timeout_s = table.limits.idle_timeout_s
        logger.bind(version=table.version, routes=len(table.routes)).info("table_in_force")
        self._early.release(self.handle)

    def _runners_changed(self, changed: list[RunnerRecord]) -> None:
        for record in changed:
            if self._lives.began(record):
                self._forget_life(record)
            if record.takes_work:
                continue
            if record.address:
                self._context.pool.forget(record.address)
            self._context.prefixes.forget(record.runner)
            if record.state == RunnerState.GONE:
                self._context.loads.forget(record.runner)

    def _forget_life(self, record: RunnerRecord) -> None:
        """A runner that starts again holds and knows nothing of before."""
        self._context.loads.begin_life(record.runner)
        self._context.prefixes.forget(record.runner)
        self._context.pool.forget(record.address)

    def _view_changed(self, view: FleetView) -> None:
        self._use_period_s = self._context.settings.use_report_period_s_at(view.gateways)
        self._quotas.set_gateways(view.gateways)
        if view.ledger_leader:
            self._take_ledger_leader(view.ledger_leader)

    def _ledger_leader_noticed(self, address: str) -> None:
        """A new term of the ledger begins, maybe led as before: its leader knows of no use yet."""
        self._take_ledger_leader(address)
        self._plan_report()

    def _take_ledger_leader(self, address: str) -> None:
        if address != self._ledger_leader:
            self._ledger_leader = address
            self._placements.set_leader(address)
            self._quotas.set_keeper(address)
            self._plan_report()
            self.on_ledger_leader(address)

    def _take_reading(self, source: str, message: RunnerReads) -> None:
        """Another gateway has sent a long prompt to a runner."""
        now = self._context.clock.seconds()
        self._context.loads.reads(message.runner, message.reading_s, now)

    def _take_load(self, source: str, message: ServiceLoad) -> None:
        """The ledger's leader tells what all gateways have under way at a busy service."""
        if source != self._ledger_leader:
            return
        now = self._context.clock.seconds()
        context = self._context
        context.overload.told(message.service, message.online, message.slots, message.own, now)
        self._placements.told(message.service, message.places)

    def _take_unsound(self, source: str, message: RunnerUnsound) -> None:
        """All gateways together have seen a runner fail too often."""
        if source == self._ledger_leader and self._context.settings.mechanisms.ejection:
            now = self._context.clock.seconds()
            self._context.loads.leave_out(message.runner, now, message.out_s)
            logger.bind(runner=message.runner, out_s=message.out_s).info("runner_left_out")

    # --- housekeeping --------------------------------------------------------------------

    def _use_changed(self) -> None:
        """Plan what follows from a change of what is under way; an idle gateway sleeps."""
        self._plan_report()
        if not self._look_planned and not self._stopped:
            self._look_planned = True
            period_s = self._context.settings.silence_look_period_s
            self._context.clock.callLater(period_s, self._leave_silent)

    def _plan_report(self) -> None:
        if not self._use_planned and not self._stopped:
            self._use_planned = True
            self._context.clock.callLater(self._use_period_s, self._report_use)

    def _report_use(self) -> None:
        """Tell the ledger's leader what is under way."""
        self._use_planned = False
        if self._stopped or not self._ledger_leader:
            return
        loads = self._context.loads
        uses = tuple(RunnerUse(runner, count) for runner, count in loads.in_flight().items())
        outcomes = tuple(
            RunnerOutcome(runner, answered, failed)
            for runner, (answered, failed) in loads.take_outcomes().items()
        )
        report = OnlineUse(uses, self._placements.seen, outcomes)
        self._messenger.send(self._ledger_leader, report)

    def _leave_silent(self) -> None:
        """Leave runners out that owe answers and say nothing; the next try opens a connection."""
        self._look_planned = False
        if self._stopped:
            return
        context = self._context
        now = context.clock.seconds()
        for runner in context.loads.silent(now):
            if context.loads.of(runner).out_until_s > now:
                continue
            context.loads.leave_out(runner, now, context.settings.silent_out_s)
            record = self._follower.registry.get(runner)
            if record is not None and record.address:
                context.pool.forget(record.address)
            logger.bind(runner=runner).info("runner_silent")
        if context.loads.owed:
            self._look_planned = True
            context.clock.callLater(context.settings.silence_look_period_s, self._leave_silent)

    def _keep_house(self) -> None:
        if self._stopped:
            return
        self._context.pool.close_stale()
        self._context.clock.callLater(HOUSEKEEPING_PERIOD_S, self._keep_house)
