"""Relaying gateways in front of runners that warm up, in virtual time, with two placement nodes.

The gateways, the placement service and the limiter are the real ones. The simulated runners answer
after a delay and count their requests.
"""

import random
from dataclasses import dataclass, field, replace
from typing import Any

from features.support.relaying import (
    HOST,
    PATH,
    SERVICE,
    PlainProtocol,
    StandInCall,
    StandInExchange,
    event,
)

from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.messages import NodeRecord, NodeRole, RunnerRecord, RunnerState
from rainsail.cluster.registry import RunnerRegistry
from rainsail.cluster.warm_up import WarmUpTerms
from rainsail.http.exchange import HttpRequest
from rainsail.http.server import HttpLimits
from rainsail.jobs.placement_service import ItemsAtRunners, PlacementFleet, PlacementService
from rainsail.node_metrics import NodeMetrics
from rainsail.relay.context import make_context
from rainsail.relay.gateway import RelayGateway
from rainsail.relay.protocol import RequestFacts
from rainsail.relay.run import RelayRun
from rainsail.relay.settings import RelaySettings
from rainsail.relay.table import ClientLimits, Route, RouteKind, RoutingTable, Service, ServiceShare
from rainsail.routing.online_use import OnlineUseTracker
from rainsail.routing.residency import RegionMap
from rainsail.routing.warm_up_limiter import WarmUpBound, WarmUpLimiter
from rainsail.simulation.clock import SkewedClock, VirtualClock
from rainsail.simulation.network import LinkConditions, SimulatedNetwork
from rainsail.state.cluster_commands import ZoneDrain
from rainsail.wire.messenger import Messenger

PLACEMENT_NODES = ("placement-1", "placement-2")
LINK = LinkConditions(delay_s=0.0009, jitter_s=0.0003)
SLOTS = 8
SLOT_TIME_S = 0.7
RATE_PER_S = 7.0
LASTS_S = 3.0
BOUND = WarmUpBound(1.5, 5.0)
REPORT_DELAY_S = 0.15
"""A runner's report reaches each node within this time."""
CONNECTED_WITHIN_S = 0.3


class TimedPool:
    """A gateway's connections: connecting takes a random delay, an answer occupies a slot."""

    def __init__(self, world: "WarmUpWorld", clock: Any) -> None:
        self._world = world
        self._clock = clock

    def has_settled(self, address: str, settled_s: float) -> bool:
        """Keep no connections."""
        return False

    def send(
        self,
        address: str,
        request: Any,
        listener: Any,
        fresh: bool = False,
        settled_s: float = 0.0,
    ) -> StandInCall:
        """Send a request after the connection delay."""
        call = StandInCall(address, request, listener)
        connects_s = CONNECTED_WITHIN_S * self._world.random.random() ** 8
        self._clock.callLater(connects_s, self._arrive, call)
        return call

    def _arrive(self, call: StandInCall) -> None:
        if call.cancelled:
            return
        self._world.note_sent(call.address)
        self._clock.callLater(0.01, self._step, call, call.begin_stream)
        self._clock.callLater(SLOT_TIME_S, self._step, call, lambda: self._end(call))

    def _step(self, call: StandInCall, step: Any) -> None:
        if not call.cancelled:
            step()

    @staticmethod
    def _end(call: StandInCall) -> None:
        call.listener.answer_data(event(1))
        call.listener.answer_ended()

    def forget(self, address: str) -> None:
        """Do nothing: no idle connections are kept."""

    def close_stale(self) -> None:
        """Do nothing: no idle connections are kept."""


def make_table() -> RoutingTable:
    """Return a table of one stream route to a service whose runners warm up."""
    shares = (ServiceShare(SERVICE, 1.0),)
    route = Route("r", HOST, "/a/", RouteKind.STREAM, shares, 4.0, 0.3, 2, gap_target_s=1.0)
    service = Service(SERVICE, 100, True, WarmUpTerms(RATE_PER_S, LASTS_S))
    return RoutingTable(1, (route,), (service,), ClientLimits())


class WarmUpGateway:
    """One gateway's process."""

    def __init__(self, world: "WarmUpWorld", name: str) -> None:
        self.name = name
        self.clock = SkewedClock(world.clock)
        self.registry = RunnerRegistry(self.clock.seconds, resolves_address_conflicts=False)
        self.transport = world.network.transport(name)
        messenger = Messenger(self.transport, self.clock)
        node = NodeRecord(name, name, NodeRole.GATEWAY, "zone-0", 1)
        self.follower = FleetFollower(node, (), messenger, self.clock, self.registry)
        self.context = make_context(
            "zone-0",
            self.clock,
            self.registry,
            TimedPool(world, self.clock),  # type: ignore[arg-type]
            PlainProtocol(),
            world.random,
            RelaySettings(),
        )
        self.context.table = make_table()
        self.registry.warm_ups.set_terms(self.context.table.warm_up_terms())
        self.gateway = RelayGateway(
            self.context,
            self.follower,
            messenger,
            lambda content: None,  # type: ignore[arg-type,return-value]
            HttpLimits(),
            NodeMetrics(),
        )

    def request(self, request: str) -> StandInExchange:
        """Have a client send a request."""
        now = self.clock.seconds()
        exchange = StandInExchange(
            HttpRequest(b"POST", PATH.encode(), (), b"body", now),
            self.clock,  # type: ignore[arg-type]
        )
        facts = RequestFacts(request, HOST, PATH, 5.0, (), 0, 0, None)
        assert self.context.table is not None
        route = self.context.table.routes[0]
        RelayRun(self.context, exchange, facts, route, lambda run: None).start()
        return exchange

    def stop(self) -> None:
        """End the process."""
        self.gateway.stop()
        self.clock.stop()
        self.transport.close()


class PlacementNode:
    """A storage node reduced to the placement service; it also starts items."""

    def __init__(self, world: "WarmUpWorld", name: str) -> None:
        self.name = name
        self._world = world
        self.registry = RunnerRegistry(world.clock.seconds, resolves_address_conflicts=False)
        self.registry.warm_ups.set_terms(make_table().warm_up_terms())
        self.limiter = WarmUpLimiter(BOUND, self.registry.warm_ups)
        self.service = PlacementService(
            Messenger(world.network.transport(name), world.clock),
            world.clock,
            PlacementFleet(self.registry, OnlineUseTracker(), self.limiter, RegionMap({})),
            ItemsAtRunners(lambda runner: 0, lambda runner: None),
            lambda: world.leading == name,
            random.Random(world.random.random()),
            NodeMetrics(),
        )

    def start_item(self, record: RunnerRecord) -> None:
        """Send an item if the limiter allows it."""
        now = self._world.clock.seconds()
        if self.registry.is_ready(record.runner) and self.limiter.may_send(record, now):
            self.limiter.sent(record, now)
            self._world.note_sent(record.address)


@dataclass
class Runner:
    """A runner's record, the periods when it is cold, and the times of its requests."""

    record: RunnerRecord
    cold: list[tuple[float, float]] = field(default_factory=list)
    sent_s: list[float] = field(default_factory=list)

    def most_while_cold(self) -> int:
        """Return the most requests within any second of a cold period."""
        most = 0
        for began_s, ended_s in self.cold:
            times = [at_s for at_s in self.sent_s if began_s <= at_s <= ended_s]
            first = 0
            for place, at_s in enumerate(times):
                while times[first] < at_s - 1.0:
                    first += 1
                most = max(most, place - first + 1)
        return most


class WarmUpWorld:
    """Gateways, two placement nodes of which one leads, and runners in two zones."""

    def __init__(self, seed: int, gateways: int, runners: int) -> None:
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        self.network = SimulatedNetwork(self.clock, random.Random(seed + 1), LINK)
        self.leading = ""
        self.answered: list[StandInExchange] = []
        self.placement_nodes = [PlacementNode(self, name) for name in PLACEMENT_NODES]
        self.gateways = [WarmUpGateway(self, f"gateway-{n}") for n in range(gateways)]
        self.runners = [self._runner(number) for number in range(runners)]
        self._by_address = {each.record.address: each for each in self.runners}
        for runner in self.runners:
            for registry in self.registries():
                registry.take((runner.record,))

    @staticmethod
    def _runner(number: int) -> Runner:
        record = RunnerRecord(
            f"runner-{number}",
            SERVICE,
            f"10.0.0.{number}:80",
            f"zone-{number % 2}",
            SLOTS,
            RunnerState.READY,
            0.0,
            0,
        )
        return Runner(record)

    def registries(self) -> list[RunnerRegistry]:
        """Return the registries of all nodes."""
        return [each.registry for each in (*self.placement_nodes, *self.gateways)]

    def note_sent(self, address: str) -> None:
        """Record a request that has reached a runner."""
        self._by_address[address].sent_s.append(self.clock.seconds())

    # --- events --------------------------------------------------------------------------

    def lead(self, name: str, notified_after_s: float = 0.0) -> None:
        """Make a placement node the leader; an empty name means that none leads."""
        self.leading = name
        if name:
            self.placement_nodes[PLACEMENT_NODES.index(name)].service.on_leadership_changed()
            self.clock.callLater(notified_after_s, self._tell_leader, name)

    def _tell_leader(self, name: str) -> None:
        for gateway in self.gateways:
            gateway.follower.on_ledger_leader(name)

    def schedule_requests(self, per_s: float, for_s: float) -> None:
        """Schedule requests at random times at random gateways."""
        at_s = self.random.expovariate(per_s)
        number = 0
        while at_s < for_s:
            number += 1
            self.clock.callLater(at_s, self._ask, f"request-{number}")
            at_s += self.random.expovariate(per_s)

    def _ask(self, request: str) -> None:
        self.answered.append(self.random.choice(self.gateways).request(request))

    def schedule_items(self, per_s: float, for_s: float) -> None:
        """Schedule items that the leader starts wherever the limiter allows it."""
        at_s = self.random.expovariate(per_s)
        while at_s < for_s:
            self.clock.callLater(at_s, self._start_item)
            at_s += self.random.expovariate(per_s)

    def _start_item(self) -> None:
        if self.leading:
            node = self.placement_nodes[PLACEMENT_NODES.index(self.leading)]
            node.start_item(self.random.choice(self.runners).record)

    def go_cold(self, runner: Runner, silent_s: float) -> None:
        """Make a runner cold now; it reports that after ``silent_s``."""
        now = self.clock.seconds()
        runner.cold.append((now, now + LASTS_S))
        self.clock.callLater(silent_s, self.send_report, runner)

    def send_report(self, runner: Runner) -> None:
        """Send a runner's report, which reaches each node after a random delay."""
        warm_at_s = max((ended_s for _, ended_s in runner.cold), default=0.0)
        left_s = max(0.0, warm_at_s - self.clock.seconds())
        record = replace(runner.record, sequence=runner.record.sequence + 1, warm_up_left_s=left_s)
        runner.record = record
        for registry in self.registries():
            after_s = REPORT_DELAY_S * self.random.random()
            self.clock.callLater(after_s, registry.take, (record,))

    def drain(self, zone: str, for_s: float) -> None:
        """Drain a zone for a while; its runners are cold at the end."""
        self._tell_drain(ZoneDrain(zone, 1, True))
        self.clock.callLater(for_s, self._end_drain, zone)

    def _end_drain(self, zone: str) -> None:
        self._tell_drain(ZoneDrain(zone, 2, False))
        for runner in self.runners:
            if runner.record.zone == zone:
                self.go_cold(runner, 1.2 * self.random.random())

    def _tell_drain(self, drain: ZoneDrain) -> None:
        for registry in self.registries():
            after_s = REPORT_DELAY_S * self.random.random()
            self.clock.callLater(after_s, registry.take_zone_drains, (drain,))

    def restart(self, number: int) -> None:
        """Restart a gateway's process; it learns the current records at once."""
        known = self.gateways[number].registry
        self.gateways[number].stop()
        fresh = WarmUpGateway(self, self.gateways[number].name)
        self.gateways[number] = fresh
        for record in known.records():
            left_s = known.warm_ups.left_s(record.runner)
            fresh.registry.take((replace(record, warm_up_left_s=left_s),))
        if self.leading:
            fresh.follower.on_ledger_leader(self.leading)

    def cut_off(self, number: int) -> None:
        """Isolate a gateway from the placement nodes, but not from the runners."""
        self.network.isolate(self.gateways[number].name)

    # --- checks --------------------------------------------------------------------------

    def excess_over_bound(self) -> float:
        """Return by how much the busiest second of a cold runner exceeds the bound."""
        most = max(runner.most_while_cold() for runner in self.runners)
        return most - BOUND.in_window(RATE_PER_S)
