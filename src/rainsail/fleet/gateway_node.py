"""The gateway role: serves clients on one address and readiness checks on another."""

from typing import Any

from expression import Error, Ok, Result

from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.cluster.messages import FleetView
from rainsail.errors import Fault
from rainsail.fleet.base import NodeBase, probe_limits
from rainsail.fleet.listening import listen
from rainsail.fleet.port import PlatformPort
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
from rainsail.routing.residency import RegionMap
from rainsail.runtime.clock import sleep

LEDGER_CALL_TIMEOUT_S = 1.6
CLIENT_DRAIN_DELAY_S = 2.3
"""After SIGTERM new clients still arrive until two readiness checks have failed."""
GRACE_MARGIN_S = 0.4
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
        base.metrics.gauge("runner_connections_opened", lambda: float(pool.opened))

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
        self.gateway.draining = True
        self._clients.drain()
        clock = self._base.clock
        limit_s = self._base.settings.bounds.grace_s - GRACE_MARGIN_S
        await sleep(clock, min(limit_s, CLIENT_DRAIN_DELAY_S))
        if limit_s > CLIENT_DRAIN_DELAY_S:
            close = GracefulShutdown(self._clients, self._client_port, clock)
            await close.finish(limit_s - CLIENT_DRAIN_DELAY_S)
        logger.bind(under_way=self._clients.requests_under_way).info("drain_ended")
        self.gateway.stop()


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
