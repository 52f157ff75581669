"""One run of a fleet's control: idle, under changes, under restarts; what each role spends.

Virtual-time figures (messages, bytes, delays) depend on the seed alone. Processor time and
memory are this machine's.
"""

from collections.abc import Callable
from dataclasses import dataclass

from features.support.hollow.control_fleet import ControlFleet
from features.support.hollow.lost_leader import lose_leader
from features.support.hollow.meter import Totals, Traffic
from features.support.hollow.workload import FleetSize, operator_change

from rainsail.control.config_view import ConfigView

SETTLE_S = 12.0
"""Longer than a configuration lease, a quota share and a new leader's wait for both."""
RESTART_AFTER_S = 2.0
"""Time that a killed node stays away."""
CHANGE_PERIOD_S = 1.037
"""No multiple of any period of control, so that changes meet every phase of them."""
IN_FORCE_LIMIT_S = 60.0
RESTARTS_PER_NODE_S = 3_100.0 / 86_400.0 / 380
"""Restarts of one node a second: 3,100 a day over 380 nodes."""
PROGRESS_POLL_S = 0.01


@dataclass(frozen=True, slots=True)
class RunSettings:
    """How long the phases are, and how much faster than life restarts come."""

    idle_s: float = 20.0
    changes: int = 30
    churn_s: float = 40.0
    churn_factor: float = 20.0
    gateways: int = 1


@dataclass(frozen=True, slots=True)
class PhaseCost:
    """What the roles spent over a phase; ``node`` is the sum over all hollow nodes."""

    seconds: float
    node: Totals
    leader: Totals
    followers: Totals
    gateway: Totals


@dataclass(frozen=True, slots=True)
class ControlRunResult:
    """One size's measurements."""

    size: FleetSize
    settings: RunSettings
    seed: int
    idle: PhaseCost
    changing: PhaseCost
    churn: PhaseCost
    applied_s: tuple[float, ...]
    in_force_s: tuple[float, ...]
    restarts: int
    ready_after_s: tuple[float, ...]
    list_bytes: float
    lost_leader_in_force_s: float
    missed_changes: int
    serving_at_end: int
    gateway_subscriptions: int


class ControlRun:
    """Runs one size through its phases."""

    def __init__(self, size: FleetSize, seed: int, settings: RunSettings) -> None:
        self._size = size
        self._seed = seed
        self._settings = settings
        self.fleet = ControlFleet(size, seed, settings.gateways)
        self._changes = 0
        self._ready_after_s: list[float] = []
        self._restarts = 0

    def run(self) -> ControlRunResult:
        """Run every phase and return the measurements."""
        list_bytes = self.start()
        idle = self._phase(lambda: self.fleet.clock.advance(self._settings.idle_s))
        applied_s: list[float] = []
        in_force_s: list[float] = []
        changing = self._phase(lambda: self.make_changes(applied_s, in_force_s))
        churn = self._phase(self.churn)
        self.fleet.clock.advance(SETTLE_S)
        missed = self.fleet.behind()
        gateways = self.fleet.gateways
        serving = self.fleet.serving_nodes()
        lost_leader_in_force_s = lose_leader(self.fleet)
        subscriptions = max((len(each.fleet.runners()) for each in gateways), default=0)
        return ControlRunResult(
            self._size,
            self._settings,
            self._seed,
            idle,
            changing,
            churn,
            tuple(applied_s),
            tuple(in_force_s),
            self._restarts,
            tuple(self._ready_after_s),
            list_bytes,
            lost_leader_in_force_s,
            missed,
            serving,
            subscriptions,
        )

    # --- start ------------------------------------------------------------------------------

    def start(self) -> float:
        """Declare the fleet, start every node; return the bytes of one first list."""
        fleet = self.fleet
        fleet.declare()
        known = fleet.known_list()
        for number in range(self._size.nodes - self._settings.gateways):
            fleet.start_node(number, known)
        fleet.clock.advance(SETTLE_S)
        for index in range(self._settings.gateways):
            fleet.start_gateway(index)
        fleet.clock.advance(SETTLE_S)
        return self.list_once()

    def list_once(self) -> float:
        """Restart one node; return the bytes of its first list."""
        before = self.fleet.node_meter.totals()
        self.fleet.kill_node(0)
        running = self.fleet.start_node(0)
        if not self.fleet.wait_until(running.node.view.ready, IN_FORCE_LIMIT_S):
            raise RuntimeError("a node's first list did not end")
        spent = self.fleet.node_meter.totals().since(before)
        return float(spent.traffic["SharedListReply"].bytes)

    # --- phases -----------------------------------------------------------------------------

    def _phase(self, work: Callable[[], object]) -> PhaseCost:
        fleet = self.fleet
        start_s = fleet.clock.seconds()
        leader = fleet.leader_name
        others = [name for name in fleet.replica_names if name != leader]
        node = fleet.node_meter.totals()
        replicas = {name: meter.totals() for name, meter in fleet.replica_meters.items()}
        gateways = [meter.totals() for meter in fleet.gateway_meters]
        work()
        followers = [fleet.replica_meters[name].totals().since(replicas[name]) for name in others]
        spent = [
            meter.totals().since(before)
            for meter, before in zip(fleet.gateway_meters, gateways, strict=True)
        ]
        return PhaseCost(
            fleet.clock.seconds() - start_s,
            fleet.node_meter.totals().since(node),
            fleet.replica_meters[leader].totals().since(replicas[leader]),
            mean_totals(followers),
            mean_totals(spent),
        )

    def make_changes(self, applied_s: list[float], in_force_s: list[float]) -> None:
        """Make the changes one after another; note their delays."""
        for _ in range(self._settings.changes):
            applied, in_force = self.change()
            applied_s.append(applied)
            in_force_s.append(in_force)

    def change(self) -> tuple[float, float]:
        """Make one change; return seconds until applied everywhere and until in force."""
        fleet = self.fleet
        start_s = fleet.clock.seconds()
        leader = fleet.leader
        revision = leader.state.revision + 1
        self._propose()
        if not fleet.wait_until(lambda: leader.state.revision >= revision, IN_FORCE_LIMIT_S):
            raise RuntimeError("a change did not commit")
        fleet.wait_until(lambda: fleet.applied_everywhere(revision), IN_FORCE_LIMIT_S)
        applied_s = fleet.clock.seconds() - start_s
        state = leader.state
        fleet.wait_until(lambda: state.in_force_revision >= revision, IN_FORCE_LIMIT_S)
        in_force_s = fleet.clock.seconds() - start_s
        fleet.clock.run_until(start_s + CHANGE_PERIOD_S)
        return applied_s, in_force_s

    def _propose(self) -> None:
        leader = self.fleet.leader
        assert leader.group is not None
        self._changes += 1
        meter = self.fleet.replica_meters[leader.config.name]
        meter.run(leader.group.propose, operator_change(self._size, self._changes))

    def churn(self) -> None:
        """Restart nodes one after another, ``churn_factor`` times as often as in life."""
        clock = self.fleet.clock
        hollow = self._size.nodes - self._settings.gateways
        restarts_per_s = RESTARTS_PER_NODE_S * self._size.nodes
        period_s = 1.0 / (restarts_per_s * self._settings.churn_factor)
        end_s = clock.seconds() + self._settings.churn_s
        number = 1
        while clock.seconds() + period_s <= end_s:
            self._restart(number % hollow)
            number += 1
            self._propose()
            clock.advance(period_s)
        clock.run_until(end_s)

    def _restart(self, number: int) -> None:
        if number not in self.fleet.nodes:
            return
        self._restarts += 1
        self.fleet.kill_node(number)
        self.fleet.clock.callLater(RESTART_AFTER_S, self._start_again, number)

    def _start_again(self, number: int) -> None:
        running = self.fleet.start_node(number)
        self._wait_ready(running.node.view, self.fleet.clock.seconds())

    def _wait_ready(self, view: ConfigView, since_s: float) -> None:
        clock = self.fleet.clock
        if view.lease_valid():
            self._ready_after_s.append(clock.seconds() - since_s)
            return
        clock.callLater(PROGRESS_POLL_S, self._wait_ready, view, since_s)


def mean_totals(totals: list[Totals]) -> Totals:
    """Return the mean of several roles' totals (counts rounded to whole numbers)."""
    if not totals:
        return Totals(0.0, {})
    count = len(totals)
    names = sorted({name: None for each in totals for name in each.traffic})
    traffic = {}
    for name in names:
        found = [each.traffic[name] for each in totals if name in each.traffic]
        messages = sum(each.messages for each in found)
        size = sum(each.bytes for each in found)
        traffic[name] = Traffic(round(messages / count), round(size / count))
    return Totals(sum(each.processor_s for each in totals) / count, traffic)
