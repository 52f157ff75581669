"""A relaying fleet in virtual time whose runners crash when they start to run a fatal body."""

import random
from dataclasses import replace
from typing import Any

from expression import Ok
from features.support.crashing_runners import FATAL_BODY, SLOTS, CrashingRunners, RunnerPool
from features.support.relayed_fleet import COMPLETION_S, JOB_PREFIX, RelayedFleet
from features.support.relaying import HOST, SERVICE, PlainProtocol, StandInExchange

from rainsail.fleet.base import NodeBase
from rainsail.http.client import OutgoingRequest
from rainsail.http.exchange import HttpRequest
from rainsail.http.server import HttpLimits
from rainsail.jobs.client import JobClient
from rainsail.quarantine.agent import QuarantineAgent
from rainsail.relay.context import make_context
from rainsail.relay.gateway import RelayGateway
from rainsail.relay.protocol import ItemFacts, ItemRequest, RequestFacts, RunnerTarget
from rainsail.relay.settings import RelaySettings
from rainsail.relay.table import ClientLimits, Route, RouteKind, RoutingTable, Service, ServiceShare
from rainsail.routing.facts import PromptPart
from rainsail.state.job_commands import RelayedItem

PREFIX = "/a/"
PATH = "/a/1"
ADDED_PREFIX = "/added/"
ADDED_PATH = "/added/1"
WITH_ADDED_ROUTE = "+"
RESUMABLE_SPLIT = "&"
RUNNERS = 8
GATEWAYS = 3
DEADLINE_S = 5.0
KEPT_S = 100.0
"""After this time an item may be given up."""


class RequestProtocol(PlainProtocol):
    """Reads the request id from a header."""

    def describe(self, request: HttpRequest) -> RequestFacts:
        """Return the facts of a request without a prompt."""
        name = dict(request.headers)[b"request"].decode()
        path = request.target.decode()
        prompt = _prompt(dict(request.headers).get(b"prompt", b"").decode())
        return RequestFacts(name, HOST, path, DEADLINE_S, prompt, 0, 0, None)

    def describe_item(self, item: RelayedItem) -> ItemFacts:
        """Return the prompt of an item."""
        return ItemFacts(_prompt(_stated_prompt(item)))

    def item_request(self, item: ItemRequest, target: RunnerTarget) -> OutgoingRequest:
        """Pass the prompt on to the runner."""
        sent = super().item_request(item, target)
        return replace(
            sent, headers=(*sent.headers, (b"prompt", _stated_prompt(item.item).encode()))
        )

    def relayed(self, request: HttpRequest, *more: Any) -> OutgoingRequest:
        """Pass the prompt on to the runner."""
        sent = super().relayed(request, *more)
        prompt = [each for each in request.headers if each[0] == b"prompt"]
        return replace(sent, headers=(*sent.headers, *prompt))


def _stated_prompt(item: RelayedItem) -> str:
    return next((header.value for header in item.headers if header.name == "prompt"), "")


def _prompt(text: str) -> tuple[PromptPart, ...]:
    parts = [part.partition(":") for part in text.split(",") if part]
    return tuple(PromptPart(part, int(tokens)) for part, _, tokens in parts)


def read_table(content: bytes) -> Any:
    """Parse a table: resumable streams, and jobs, of one service.

    ``7/other`` is version 7, in which half of the load goes to a service ``other``, and streams are
    not repeatable; ``7&other`` is the same with resumable streams. ``7+`` is version 7 with one
    more route for streams.
    """
    text = content.decode()
    stays_resumable = RESUMABLE_SPLIT in text
    version, _, other = text.replace(RESUMABLE_SPLIT, "/").partition("/")
    has_added = version.endswith(WITH_ADDED_ROUTE)
    version = version.removesuffix(WITH_ADDED_ROUTE)
    names = [SERVICE, other] if other else [SERVICE]
    shares = tuple(ServiceShare(name, 1.0 / len(names)) for name in names)
    stream = Route(
        "streams",
        HOST,
        PREFIX,
        RouteKind.STREAM,
        shares,
        4.0,
        0.3,
        max_attempts=2,
        resumable=stays_resumable or not other,
    )
    jobs = replace(
        stream,
        name="jobs",
        prefix=JOB_PREFIX,
        kind=RouteKind.BATCH,
        timeout_s=30.0,
        completion_s=COMPLETION_S,
        kept_s=KEPT_S,
    )
    services = tuple(Service(name, 100, True) for name in names)
    added = (replace(stream, name="added", prefix=ADDED_PREFIX),) if has_added else ()
    return Ok(RoutingTable(int(version), (stream, jobs, *added), services, ClientLimits()))


class FatalRequestFleet(RelayedFleet):
    """Controllers, storage nodes and relaying gateways, with runners that crash."""

    def __init__(
        self,
        seed: int,
        gateways: int = GATEWAYS,
        runners: int = RUNNERS,
        immune_service: str = "",
        slots: int = SLOTS,
    ) -> None:
        """``immune_service`` gets half of the load; no body crashes its runners."""
        self._immune_service = immune_service
        self.relays: dict[str, RelayGateway] = {}
        self.guards: dict[str, QuarantineAgent] = {}
        """That of each gateway, by node."""
        self.jobs: dict[str, JobClient] = {}
        self.runner_pools: dict[str, _LazyPool] = {}
        self.runners: CrashingRunners | None = None
        self.exchanges: list[StandInExchange] = []
        self._draw = random.Random(seed)
        self._sent = 0
        super().__init__(seed, gateways=gateways)
        self.leader("controller")
        self.leader("storage")
        self.runners = CrashingRunners(self.clock, runners, self._heartbeat, immune_service, slots)
        self.put_table(1)
        self.run_for(2.0)

    def put_table(self, version: int) -> None:
        """Activate a routing table."""
        controller = self.controller(self.names("controller")[0])
        content = f"{version}/{self._immune_service}" if self._immune_service else str(version)
        done = controller.tables.replace(version, content.encode())
        assert self.result_of(done, "a table").is_ok()

    def table_of(self, content: bytes) -> Any:
        """Read a table of streams and jobs."""
        return read_table(content)

    def make_protocol(self) -> RequestProtocol:
        """Return the protocol of a storage node's requests to runners."""
        return RequestProtocol()

    def make_pool(self, base: NodeBase) -> Any:
        """Return connections to the runners, which are created later."""
        name = base.settings.node.name
        pool = self.runner_pools[name] = _LazyPool(self, name)
        return pool

    def crash(self, name: str) -> None:
        """Cut the power of a machine, and with it its connections to runners."""
        super().crash(name)
        if name in self.runner_pools:
            self.runner_pools.pop(name).close()
        self.relays.pop(name, None)

    def make_gateway(self, base: NodeBase) -> Any:
        """Return a relaying gateway."""
        pool = self.make_pool(base)
        guard = QuarantineAgent(base.messenger, base.clock, base.follower, pool, base.metrics)
        context = make_context(
            base.settings.node.zone,
            base.clock,
            base.registry,
            pool,
            RequestProtocol(),
            base.random,
            RelaySettings(),
            guard=guard,
        )
        gateway = RelayGateway(
            context, base.follower, base.messenger, read_table, HttpLimits(), base.metrics
        )
        gateway.start()
        name = base.settings.node.name
        self.relays[name] = gateway
        self.guards[name] = guard
        self.jobs[name] = super().make_gateway(base)
        return gateway

    def _heartbeat(self, record: Any) -> None:
        """Pass a runner's heartbeat to a random running controller."""
        names = [name for name in self.names("controller") if self.controller(name) is not None]
        if names:
            self.controller(self._draw.choice(sorted(names))).reports.take(record)

    # --- clients -------------------------------------------------------------------------

    def request(
        self, gateway: str, body: bytes, path: str = PATH, prompt: str = ""
    ) -> StandInExchange:
        """Send a client's request with a unique id."""
        self._sent += 1
        fields = ((b"request", f"request-{self._sent}".encode()), (b"prompt", prompt.encode()))
        seconds = self.nodes[gateway].clock.seconds()
        head = HttpRequest(b"POST", path.encode(), fields, body, seconds)
        exchange = StandInExchange(head, self.clock)
        self.exchanges.append(exchange)
        self.relays[gateway].handle(exchange)
        return exchange

    def any_gateway(self) -> str:
        """Return a gateway drawn at random."""
        return self._draw.choice(sorted(self.names("gateway")))

    def send_others(self, period_s: float, until_s: float) -> None:
        """Send requests with distinct bodies at random gateways."""
        if self.clock.seconds() >= until_s:
            return
        self.request(self.any_gateway(), f"body {self._sent}".encode())
        self.clock.callLater(period_s, self.send_others, period_s, until_s)

    def send_same(self, body: bytes, period_s: float, until_s: float) -> None:
        """Send the same body periodically at random gateways."""
        if self.clock.seconds() >= until_s:
            return
        self.request(self.any_gateway(), body)
        self.clock.callLater(period_s, self.send_same, body, period_s, until_s)

    # --- the list of held requests -------------------------------------------------------

    def held_at(self, name: str) -> frozenset[bytes]:
        """Return the fingerprints of the requests that a node holds back."""
        return self.nodes[name].base.follower.quarantine.held

    def decided(self) -> Any:
        """Return the list of held requests, as applied by the root group's leader."""
        return self.nodes[self.leader("controller")].role.state.quarantine.snapshot()

    def run_until_held(self, fingerprint: bytes, names: list[str]) -> None:
        """Run until the given nodes hold a request back."""
        self.run_until(
            lambda: all(fingerprint in self.held_at(name) for name in names), "the request is held"
        )

    def answered(self, body: bytes | None = None) -> list[StandInExchange]:
        """Return the exchanges of a body, or of all bodies but the fatal one."""
        return [
            each
            for each in self.exchanges
            if (each.request.body == body if body is not None else each.request.body != FATAL_BODY)
        ]


class _LazyPool:
    """A node's connections, created on first use, when the runners exist."""

    def __init__(self, fleet: FatalRequestFleet, sender: str) -> None:
        self._fleet = fleet
        self._sender = sender
        self._pool: RunnerPool | None = None

    def __getattr__(self, name: str) -> Any:
        assert self._fleet.runners is not None
        if self._pool is None:
            self._pool = RunnerPool(self._fleet.runners, self._sender)
        return getattr(self._pool, name)

    def close_stale(self) -> None:
        """Do nothing: this pool keeps no idle connections."""

    def forget(self, address: str) -> None:
        """Do nothing: this pool keeps no idle connections."""
