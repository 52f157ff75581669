"""A relaying fleet under random faults while its runners start again at other software versions.

Clients take broken streams up at any gateway; jobs run beside them. Each event names the version of
the runner that wrote it.
"""

import random
import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from features.support.crashing_runners import CrashingRunner
from features.support.fatal_request_fleet import (
    PATH,
    FatalRequestFleet,
    RequestProtocol,
    read_table,
)
from features.support.relayed_fleet import JOB_PATH
from features.support.relaying import HOST, StandInExchange

from rainsail.fleet.base import NodeBase
from rainsail.http.exchange import HttpRequest
from rainsail.http.server import HttpLimits
from rainsail.jobs.messages import QueueLimit
from rainsail.quarantine.agent import QuarantineAgent
from rainsail.relay.context import make_context
from rainsail.relay.gateway import RelayGateway
from rainsail.relay.origin_client import StreamOriginClient
from rainsail.relay.protocol import RequestFacts
from rainsail.relay.settings import RelaySettings
from rainsail.relay.version_quorum import ControllerVersionQuorum
from rainsail.state.job_commands import RelayedItem

GATEWAYS = 4
RUNNERS = 4
EVENTS = 20
FAULTS_FOR_S = 40.0
RECOVERY_S = 25.0
CLIENT_PERIOD_S = 0.4
CLIENT_TRIES = 4
CLIENT_PAUSE_S = 0.8
CLIENT_LIMIT_S = 8.0
JOB_PERIOD_S = 4.0
ITEMS = 4
VERSION = re.compile(r"\d+ of (v\d+)")
EVENT = re.compile(rb"id: (\d+)\ndata: \d+ of (v\d+)\n\n")


class ResumingProtocol(RequestProtocol):
    """Reads where a client resumes its stream, and the attempt that began it."""

    def describe(self, request: HttpRequest) -> RequestFacts:
        """Return the facts of a request that may resume a stream."""
        fields = dict(request.headers)
        after = fields.get(b"after", b"")
        return replace(
            super().describe(request),
            after_event=int(after) if after else None,
            resumes=fields.get(b"resumes", b"").decode(),
        )


class VersionFleet(FatalRequestFleet):
    """A fleet whose gateways record where streams began, with runners of several versions."""

    def make_gateway(self, base: NodeBase) -> Any:
        """Return a relaying gateway."""
        super().make_gateway(base)
        name = base.settings.node.name
        pool = self.runner_pools[name]
        context = make_context(
            base.settings.node.zone,
            base.clock,
            base.registry,
            pool,
            ResumingProtocol(),
            base.random,
            RelaySettings(),
            guard=QuarantineAgent(base.messenger, base.clock, base.follower, pool, base.metrics),
            origins=StreamOriginClient(base.messenger, base.clock, base.follower, base.metrics),
            version_quorum=ControllerVersionQuorum(
                base.messenger, base.clock, base.follower, base.metrics
            ),
        )
        gateway = RelayGateway(
            context, base.follower, base.messenger, read_table, HttpLimits(), base.metrics
        )
        gateway.start()
        self.relays[name] = gateway
        return gateway

    def _heartbeat(self, record: Any) -> None:
        """Pass a runner's heartbeat with its version to a random running controller."""
        names = [name for name in self.names("controller") if self.controller(name) is not None]
        if names:
            number = int(record.address.rpartition(".")[2].partition(":")[0])
            version = self.runners.versions.get(number, "v1") if self.runners else "v1"
            controller = self.controller(self._draw.choice(sorted(names)))
            controller.reports.take(record, version)


@dataclass
class _Client:
    """One client's stream over all its attempts."""

    name: str
    until_s: float
    attempts: list[str] = field(default_factory=list)
    events: list[tuple[int, str]] = field(default_factory=list)
    is_whole: bool = False

    @property
    def versions(self) -> set[str]:
        return {version for _, version in self.events}


class VersionSoak:
    """One random run; ``violations`` lists broken guarantees, ``counts`` what was checked."""

    client_period_s = CLIENT_PERIOD_S
    faults_for_s = FAULTS_FOR_S

    def __init__(self, seed: int) -> None:
        self.fleet = fleet = self.make_fleet(seed)
        assert fleet.runners is not None
        self._runners = fleet.runners
        self._runners.versions = dict.fromkeys(range(1, RUNNERS + 1), "v1")
        self._runners.item_events = EVENTS
        self._draw = random.Random(seed)
        self._clients: list[_Client] = []
        self._jobs = 0
        self._newest = 1
        self._down: set[str] = set()
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()

    def make_fleet(self, seed: int) -> VersionFleet:
        """Return a fleet whose runners report to any controller."""
        return VersionFleet(seed, GATEWAYS, RUNNERS)

    def faults(self) -> tuple[Callable[[], None], ...]:
        """Return the faults that strike at random."""
        return self._all_again, self._rolling, self._one_again, self._nodes_again

    def begin_faults(self) -> None:
        """Have the faults strike that come first in each run."""

    def run(self) -> None:
        """Run the faults and check the outcome."""
        fleet = self.fleet
        fleet.run_for(4.0)
        ends_s = fleet.clock.seconds() + self.faults_for_s
        self._begin_clients(ends_s)
        self._hand_in_jobs(ends_s)
        faults = self.faults()
        self.begin_faults()
        while fleet.clock.seconds() < ends_s:
            fleet.run_for(self._draw.uniform(0.5, 5.0))
            for _ in range(self._draw.randint(1, 2)):
                self._draw.choice(faults)()
        fleet.run_for(RECOVERY_S)
        self._judge()

    # --- clients -------------------------------------------------------------------------

    def _begin_clients(self, until_s: float) -> None:
        now = self.fleet.clock.seconds()
        if now >= until_s:
            return
        client = _Client(f"stream-{len(self._clients)}", now + CLIENT_LIMIT_S)
        self._clients.append(client)
        self._attempt(client)
        self.fleet.clock.callLater(self.client_period_s, self._begin_clients, until_s)

    def _attempt(self, client: _Client) -> None:
        fleet = self.fleet
        names = [name for name in sorted(fleet.names("gateway")) if name in fleet.relays]
        if client.is_whole or fleet.clock.seconds() >= client.until_s or not names:
            return
        gateway = self._draw.choice(names)
        request = f"{client.name}-{len(client.attempts)}"
        headers = [(b"request", request.encode())]
        if client.events:
            headers.append((b"after", str(client.events[-1][0]).encode()))
            headers.append((b"resumes", client.attempts[0].encode()))
            self.counts["resumed"] += 1
        else:
            self.counts["asked"] += 1
        client.attempts.append(request)
        seconds = fleet.nodes[gateway].clock.seconds()
        head = HttpRequest(b"POST", PATH.encode(), tuple(headers), request.encode(), seconds)
        exchange = StandInExchange(head, fleet.clock)
        fleet.relays[gateway].handle(exchange)
        self._watch(client, exchange, gateway, fleet.relays[gateway])

    def _watch(self, client: _Client, exchange: StandInExchange, gateway: str, relay: Any) -> None:
        """Look every tenth of a second whether an attempt is over; its gateway may be lost."""
        is_lost = self.fleet.relays.get(gateway) is not relay
        if not (exchange.ended or exchange.aborted or is_lost):
            self.fleet.clock.callLater(0.1, self._watch, client, exchange, gateway, relay)
            return
        if exchange.status == 200:
            new = [(int(number), name.decode()) for number, name in EVENT.findall(exchange.body)]
            if new:
                self.counts["continued" if client.events else "begun"] += 1
            client.events += new
            client.is_whole = exchange.ended
        if len(client.attempts) < CLIENT_TRIES and not client.is_whole:
            self.fleet.clock.callLater(CLIENT_PAUSE_S, self._attempt, client)

    def _hand_in_jobs(self, until_s: float) -> None:
        fleet = self.fleet
        if fleet.clock.seconds() >= until_s:
            return
        self._jobs += 1
        name = f"job-{self._jobs}"
        items = tuple(
            RelayedItem(f"{name}-{number}", f"{JOB_PATH}/{number}", (), b"%d" % number, 10)
            for number in range(ITEMS)
        )
        gateways = [each for each in sorted(fleet.names("gateway")) if each in fleet.relays]
        if gateways:
            jobs = fleet.jobs[self._draw.choice(gateways)]
            jobs.submit("", name, HOST, JOB_PATH, items, QueueLimit("/jobs/", 0))
        fleet.clock.callLater(JOB_PERIOD_S, self._hand_in_jobs, until_s)

    # --- faults --------------------------------------------------------------------------

    def _version(self) -> str:
        """Return the version at which a runner starts again: mostly a newer one."""
        if self._draw.random() < 0.6:
            self._newest += 1
        return f"v{self._newest}"

    def _crash(self, runner: CrashingRunner, version: str, down_s: float) -> None:
        self._runners.crash(runner, runner.incarnation, down_s)
        self._runners.versions[runner.number] = version

    def _all_again(self) -> None:
        self.counts["all runners again"] += 1
        version, down_s = self._version(), self._draw.uniform(0.3, 1.5)
        for runner in self._runners.runners:
            self._crash(runner, version, down_s)

    def _rolling(self) -> None:
        self.counts["runners one after the other"] += 1
        version = self._version()
        for number, runner in enumerate(self._runners.runners):
            self.fleet.clock.callLater(0.9 * number, self._crash, runner, version, 0.4)

    def _one_again(self) -> None:
        runner = self._draw.choice(self._runners.runners)
        self._crash(runner, self._version(), self._draw.uniform(0.3, 1.5))

    def _nodes_again(self) -> None:
        """Kill some nodes at once and start them again."""
        fleet = self.fleet
        choices: tuple[Callable[[], list[str]], ...] = (
            lambda: sorted(fleet.names("controller")),
            lambda: sorted(fleet.names("gateway"))[:2],
            lambda: [*sorted(fleet.names("controller")), *sorted(fleet.names("gateway"))[:3]],
            lambda: sorted(fleet.names("storage"))[:1],
        )
        names = [name for name in self._draw.choice(choices)() if name not in self._down]
        self.counts["nodes again"] += len(names)
        down_s = self._draw.uniform(0.2, 1.0)
        for name in names:
            self._down.add(name)
            fleet.crash(name)
            fleet.clock.callLater(down_s, self._start, name)

    def _start(self, name: str) -> None:
        self._down.discard(name)
        self.fleet.start(name)

    # --- checks --------------------------------------------------------------------------

    def _judge(self) -> None:
        self.counts["streams"] += len(self._clients)
        mixed = [each.name for each in self._clients if len(each.versions) > 1]
        if mixed:
            self.violations.append(f"streams of two versions: {mixed}")
        state = self.fleet.nodes[self.fleet.leader("storage")].role.state
        for job in state.jobs.values():
            for each in job.listed:
                versions = set(VERSION.findall(each.text))
                self.counts["items done"] += each.done
                if len(versions) > 1:
                    self.violations.append(f"{job.job} item {each.index} is of {sorted(versions)}")
