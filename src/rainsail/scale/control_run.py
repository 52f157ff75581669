"""One run of a fleet's control: idle, under changes, under restarts; what each role spends.

Virtual-time figures (messages, bytes, delays) depend on the seed alone. Processor time and
memory are this machine's.
"""

import gc
import resource
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from rainsail.control.config_view import ConfigView
from rainsail.scale.control_fleet import ControlFleet
from rainsail.scale.design_size import DESIGN_SIZE
from rainsail.scale.list_cost import ListCost, measure_list
from rainsail.scale.lost_leader import lose_leader
from rainsail.scale.meter import Totals, Traffic
from rainsail.scale.workload import FleetSize, operator_change

SETTLE_S = 12.0
"""Longer than a configuration lease, a quota share and a new leader's wait for both."""
RESTART_AFTER_S = 2.0
"""Time that a killed node stays away."""
CHANGE_PERIOD_S = 1.037
"""No multiple of any period of control, so that changes meet every phase of them."""
IN_FORCE_LIMIT_S = 60.0
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
class MemoryUse:
    """Resident bytes added by each part, true for the first run of a process only.

    Later runs take over what earlier ones gave back. Nodes share the resources that they start
    with, so ``node_bytes`` is what a node keeps beside its copy of the configuration.
    """

    node_bytes: float
    gateway_bytes: float
    peak_bytes: int


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
    list_processor_s: float
    list_bytes: float
    leader_list: ListCost
    lost_leader_in_force_s: float
    missed_changes: int
    serving_at_end: int
    gateway_subscriptions: int
    memory: MemoryUse
    wall_s: float


def resident_bytes() -> int:
    """Return this process's resident memory now."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


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
        started_s = time.monotonic()
        memory, list_processor_s, list_bytes = self.start()
        gc.freeze()
        try:
            return self._measure(started_s, memory, list_processor_s, list_bytes)
        finally:
            gc.unfreeze()

    def _measure(
        self, started_s: float, memory: MemoryUse, list_processor_s: float, list_bytes: float
    ) -> ControlRunResult:
        """Run the phases; what the processes keep is out of the garbage collector's sight.

        In one process it would go through all of them again and again on the account of whoever
        runs just then; a daemon has its own objects only.
        """
        idle = self._phase(lambda: self.fleet.clock.advance(self._settings.idle_s))
        applied_s: list[float] = []
        in_force_s: list[float] = []
        changing = self._phase(lambda: self.make_changes(applied_s, in_force_s))
        churn = self._phase(self.churn)
        self.fleet.clock.advance(SETTLE_S)
        missed = self.fleet.behind()
        gateways = self.fleet.gateways
        serving = self.fleet.serving_nodes()
        leader_list = measure_list(self.fleet.leader.state)
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
            list_processor_s,
            list_bytes,
            leader_list,
            lost_leader_in_force_s,
            missed,
            serving,
            subscriptions,
            memory,
            time.monotonic() - started_s,
        )

    # --- start ------------------------------------------------------------------------------

    def start(self) -> tuple[MemoryUse, float, float]:
        """Declare the fleet, start every node; return memory and the cost of one first list."""
        fleet = self.fleet
        fleet.declare()
        known = fleet.known_list()
        shared = resident_bytes()
        hollow = self._size.nodes - self._settings.gateways
        for number in range(hollow):
            fleet.start_node(number, known)
        fleet.clock.advance(SETTLE_S)
        with_nodes = resident_bytes()
        for index in range(self._settings.gateways):
            fleet.start_gateway(index)
        fleet.clock.advance(SETTLE_S)
        with_gateways = resident_bytes()
        list_processor_s, list_bytes = self.list_once()
        memory = MemoryUse(
            (with_nodes - shared) / hollow,
            (with_gateways - with_nodes) / max(1, self._settings.gateways),
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
        )
        return memory, list_processor_s, list_bytes

    def list_once(self) -> tuple[float, float]:
        """Restart one node; return what its first list cost it in processor time and bytes."""
        before = self.fleet.node_meter.totals()
        self.fleet.kill_node(0)
        running = self.fleet.start_node(0)
        if not self.fleet.wait_until(running.node.view.ready, IN_FORCE_LIMIT_S):
            raise RuntimeError("a node's first list did not end")
        spent = self.fleet.node_meter.totals().since(before)
        replies = spent.traffic["SharedListReply"]
        return spent.processor_s, float(replies.bytes)

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
        restarts_per_s = DESIGN_SIZE.restarts_per_s * self._size.nodes / DESIGN_SIZE.nodes
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
