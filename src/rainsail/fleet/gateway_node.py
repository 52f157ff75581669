"""The gateway role: serves clients on one address and readiness checks on another."""

from typing import Any

from expression import Error, Ok, Result

from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.cluster.messages import FleetView
from rainsail.errors import Fault
from rainsail.fleet.base import NodeBase, probe_limits
from rainsail.fleet.listening import listen
from rainsail.fleet.port import PlatformPort
from rainsail.fleet.stop_schedule import stop_schedule
from rainsail.http.graceful_shutdown import GracefulShutdown
from rainsail.http.pool import ConnectionPool, PoolSettings
from rainsail.http.server import HttpLimits
from rainsail.jobs.client import JobClient
from rainsail.jobs.intake_budget import GatewayIntake
from rainsail.logs import logger
from rainsail.quarantine.agent import QuarantineAgent
from rainsail.relay.context import make_context
from rainsail.relay.gateway import RelayGateway
from rainsail.relay.origin_client import StreamOriginClient
from rainsail.relay.settings import RelaySettings
from rainsail.relay.version_quorum import ControllerVersionQuorum
from rainsail.routing.residency import RegionMap
from rainsail.runtime.clock import sleep

LEDGER_CALL_TIMEOUT_S = 1.6
REFUSE_LOST_PERIOD_S = 0.1
"""How often the requests whose bodies are arriving are looked at during a stop."""
MILLISECONDS_PER_S = 1000.0


class GatewayNode:
    """Starts and stops a relaying gateway."""

    def __init__(self, base: NodeBase, port: PlatformPort, reactor: Any) -> None:
        self._base = base
        self._reactor = reactor
        self._limits = HttpLimits()
        pool = ConnectionPool(
            reactor, base.clock, PoolSettings(connect_timeout_s=0.3), base.parsing
        )
        context = make_context(
            base.settings.node.zone,
            base.clock,
            base.registry,
            pool,
            port.protocol,
            base.random,
            _relay_settings(base),
            RegionMap(base.settings.node.zones),
            QuarantineAgent(base.messenger, base.clock, base.follower, pool, base.metrics),
            StreamOriginClient(base.messenger, base.clock, base.follower, base.metrics),
            ControllerVersionQuorum(base.messenger, base.clock, base.follower, base.metrics),
            base.budget,
        )
        self.gateway = RelayGateway(
            context, base.follower, base.messenger, port.read_table, self._limits, base.metrics
        )
        calls = LeaderCaller(
            base.messenger,
            base.clock,
            None,
            lambda: _ledger_nodes(base.follower.view()),
            LEDGER_CALL_TIMEOUT_S,
        )
        jobs = JobClient(calls, GatewayIntake(base.budget))
        self.gateway.on_ledger_leader = jobs.set_leader
        self._clients = base.http_server(port.client_handler(self.gateway, jobs), self._limits)
        self._readiness = base.http_server(port.readiness_handler(self.gateway), probe_limits())
        self._client_port: Any = None
        self._is_stopped = False
        self._outlasted = 0
        """Requests that were still under way when the grace time was over."""
        base.metrics.gauge("runner_connections_opened", lambda: float(pool.opened))
        base.metrics.gauge("answers_with_late_bytes", lambda: float(pool.answers_with_late_bytes))

    async def start(self) -> Result[None, Fault]:
        """Listen on all addresses and start to follow the controllers."""
        base = self._base
        clients = listen(self._reactor, self._clients, base.settings.listen.clients)
        if clients.is_error():
            return Error(clients.error)
        self._client_port = clients.ok
        if base.settings.listen.readiness:
            ready = listen(self._reactor, self._readiness, base.settings.listen.readiness)
            if ready.is_error():
                return Error(ready.error)
        self.gateway.start()
        base.follower.start()
        return Ok(None)

    async def planned_stop(self) -> None:
        """Report as not ready, finish the requests in progress, then return."""
        logger.bind(under_way=self._clients.requests_under_way).info("drain_begun")
        schedule = stop_schedule(self._base.settings.bounds.grace_s)
        self.gateway.begin_stop(schedule.closes_s, schedule.answers_s)
        self._clients.drain()
        self._refuse_lost()
        clock = self._base.clock
        await sleep(clock, schedule.closes_s)
        close = GracefulShutdown(self._clients, self._client_port, clock)
        await close.finish(schedule.ends_s - schedule.closes_s, self._end_requests)
        logger.bind(under_way=self._outlasted).info("drain_ended")
        self._is_stopped = True
        self.gateway.stop()

    def _refuse_lost(self) -> None:
        """Refuse, as soon as that is known, requests whose bodies would be complete too late."""
        if not self._is_stopped:
            self._clients.refuse_arriving(self.gateway.lost_retry_after_s)
            self._base.clock.callLater(REFUSE_LOST_PERIOD_S, self._refuse_lost)

    def _end_requests(self) -> None:
        """End what outlasts the grace time."""
        self._outlasted = self._clients.requests_under_way
        self.gateway.end_requests()


def _ledger_nodes(view: FleetView) -> tuple[str, ...]:
    """Return the storage nodes that may lead the ledger."""
    return view.ledger_voters or view.storage


def _relay_settings(base: NodeBase) -> RelaySettings:
    settings = base.settings
    trusted_ms = settings.bounds.keys_trusted_ms
    return RelaySettings(
        mechanisms=settings.mechanisms,
        quota=settings.quota.terms(),
        keys_trusted_s=None if trusted_ms is None else trusted_ms / MILLISECONDS_PER_S,
        trusted_controllers=settings.node.losses + 1,
    )
