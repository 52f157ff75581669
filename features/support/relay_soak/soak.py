"""Sends many clients' requests on routes of every kind through a relay, and checks the history.

Both sides exchange real HTTP bytes: the product's server for clients, its pool and client
connections for runners. Only the sockets and the clock are simulated.
"""

import random
from collections import Counter
from dataclasses import replace

from features.support.relay_soak.answers import AnswerDrawer
from features.support.relay_soak.checks import Judge
from features.support.relay_soak.client import HOST, SoakClient
from features.support.relay_soak.content import last_event
from features.support.relay_soak.course_faults import NO_FAULTS, CourseFaults, FaultKinds
from features.support.relay_soak.history import ClientRequest, History, Kind, Outcome
from features.support.relay_soak.runner import SoakRunner
from features.support.relay_soak.wire import MemoryReactor, connect

from rainsail.cluster.messages import RunnerRecord, RunnerState
from rainsail.cluster.registry import RunnerRegistry
from rainsail.http.exchange import Exchange
from rainsail.http.pool import ConnectionPool, PoolSettings
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.relay.context import make_context
from rainsail.relay.header_protocol import HeaderNames, HeaderProtocol
from rainsail.relay.run import RelayRun
from rainsail.relay.settings import RelaySettings
from rainsail.relay.table import ClientLimits, Route, RouteKind, RoutingTable, Service, ServiceShare
from rainsail.simulation.clock import VirtualClock

SERVICE = "model"
RUNNERS = 6
CONNECTIONS = 150
MAX_REQUESTS = 3
"""Per connection, one after the other."""
SECONDS = 20.0
TIMEOUT_S = 4.0
MAX_ATTEMPTS = 4
MAX_ATTEMPTS_BESIDE_PAUSES = 2
"""So that one runner without room is enough to leave a request without a further attempt."""
LEAVE_SHARE = 0.1
LEAVES_AFTER_S = (0.005, 0.5)
TAKES_UP_SHARE = 0.15
"""The share of requests on the resumable route whose clients have some events already."""
BUFFERED_BYTES = 4096
ROUTE_KINDS = {
    Kind.SAFE: RouteKind.SAFE,
    Kind.UNSAFE: RouteKind.UNSAFE,
    Kind.STREAM: RouteKind.STREAM,
    Kind.RESUMABLE: RouteKind.STREAM,
}


class RelaySoak:
    """One soak; ``violations`` lists what went wrong, ``counts`` what was covered."""

    def __init__(
        self,
        seed: int,
        spoils_beginnings: bool = True,
        connections: int = CONNECTIONS,
        pauses: bool = False,
        faults: FaultKinds = NO_FAULTS,
    ) -> None:
        """``pauses``: some answers pause for about as long as a gateway waits, and go on.

        ``faults`` are drawn from a generator of their own: without any, a seed plays as ever.
        """
        self._seed = seed
        self._pauses = random.Random(seed) if pauses else None
        self._connections = connections
        self._draw = random.Random(seed)
        self._clock = VirtualClock()
        self._reactor = MemoryReactor(self._clock)
        self._registry = RunnerRegistry()
        self.history = History()
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self._asked = 0
        self._faults = CourseFaults(seed, faults)
        other_faults = self._faults if faults != NO_FAULTS else None
        self._drawer = AnswerDrawer(self._draw, spoils_beginnings, other_faults)
        self._max_attempts = MAX_ATTEMPTS if pauses is False else MAX_ATTEMPTS_BESIDE_PAUSES
        self._start_gateway()
        for number in range(1, RUNNERS + 1):
            self._start_runner(number)

    def run(self) -> None:
        """Send all requests, wait until their time-outs have passed, and check the history."""
        for _ in range(self._connections):
            self._clock.callLater(self._draw.uniform(0, SECONDS), self._open_client)
        self._run_until(SECONDS + (MAX_REQUESTS + 1) * TIMEOUT_S)
        judge = Judge(self.history)
        self.violations += judge.violations()
        self._count(judge)

    def _run_until(self, until_s: float) -> None:
        """Let time pass; an exception raised by the gateway is a violation, too."""
        going_on = True
        while going_on:
            try:
                going_on = self._clock.run_next(until_s)
            except Exception as error:
                self.violations.append(f"at {self._clock.seconds():.3f} s was raised: {error!r}")

    def _start_gateway(self) -> None:
        clock, reactor = self._clock, self._reactor
        self._context = make_context(
            "zone-1",
            clock,
            self._registry,
            ConnectionPool(reactor, clock, PoolSettings()),
            HeaderProtocol(HeaderNames()),
            random.Random(self._seed),
            RelaySettings(buffered_bytes=BUFFERED_BYTES),
        )
        routes = tuple(_route(kind, self._max_attempts) for kind in Kind)
        self._context.table = RoutingTable(
            1, routes, (Service(SERVICE, 100, True),), ClientLimits()
        )
        self._server = HttpServer(self._relay, clock, HttpLimits())

    def _relay(self, exchange: Exchange) -> None:
        facts = self._context.protocol.describe(exchange.request)
        assert self._context.table is not None
        route = self._context.table.match(facts.host, facts.path)
        assert route is not None
        RelayRun(self._context, exchange, facts, route, lambda run: None).start()

    def _start_runner(self, number: int) -> None:
        name, host = f"runner-{number}", f"10.0.0.{number}"
        record = RunnerRecord(name, SERVICE, f"{host}:80", "zone-1", 8, RunnerState.READY, 0.0, 1)

        def came_back(runner: SoakRunner) -> None:
            born = round(self._clock.seconds() * 1000)
            self._registry.take((replace(record, born=born),))

        runner = SoakRunner(
            name,
            self._clock,
            self.history,
            self._draw,
            self._drawer,
            self._pauses,
            self._faults.down_s,
            came_back,
        )
        self._reactor.listen(host, runner.accept)
        self.history.runners += (name,)
        self._registry.take((record,))

    # --- clients -------------------------------------------------------------------------

    def _open_client(self) -> None:
        requests = [self._new_request() for _ in range(self._draw.randint(1, MAX_REQUESTS))]
        leaves = self._draw.random() < LEAVE_SHARE

        def begun(request: ClientRequest) -> None:
            self.history.requests.append(request)
            if leaves:
                after_s = self._draw.uniform(*LEAVES_AFTER_S)
                self._clock.callLater(after_s, client.leave, request)

        client = SoakClient(self._clock, requests, begun)
        connect(self._clock, client, self._server.buildProtocol(None))

    def _new_request(self) -> ClientRequest:
        self._asked += 1
        name = f"{self._seed}-{self._asked}"
        kind = self._draw.choice((*Kind, Kind.RESUMABLE))
        after = None
        if kind == Kind.RESUMABLE and self._draw.random() < TAKES_UP_SHARE:
            after = self._draw.randint(1, last_event(name))
        return ClientRequest(name, kind, after, TIMEOUT_S, 0.0, max_attempts=self._max_attempts)

    # --- coverage ------------------------------------------------------------------------

    def _count(self, judge: Judge) -> None:
        counts = self.counts
        counts["unclear"] = judge.unclear
        counts["seemingly_crashed"] = judge.seemingly_crashed
        counts["requests"] = len(self.history.requests)
        counts.update(self._faults.counts)
        counts["crash"] += len(self.history.crashes)
        counts["crashed_run"] += sum(run.crashed_s is not None for run in self.history.runs)
        for request in self.history.requests:
            counts[request.outcome.value] += 1
            if request.outcome == Outcome.COMPLETE and request.status == 200:
                counts["served"] += 1
                counts["served_stream"] += request.kind.is_stream
        begun_behind = {request.request: request.after_event for request in self.history.requests}
        for run in self.history.runs:
            taken_up = run.after_event != begun_behind[run.request]
            counts["taken_up"] += taken_up
            counts["taken_up_and_failed"] += taken_up and run.ran and run.status != 200


def _route(kind: Kind, max_attempts: int) -> Route:
    return Route(
        name=kind.value,
        host=HOST.decode(),
        prefix=f"/{kind}/",
        kind=ROUTE_KINDS[kind],
        shares=(ServiceShare(SERVICE, 1.0),),
        timeout_s=TIMEOUT_S,
        target_s=0.3,
        max_attempts=max_attempts,
        resumable=kind == Kind.RESUMABLE,
        gap_target_s=0.3,
    )
