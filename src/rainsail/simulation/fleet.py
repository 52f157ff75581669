"""A whole simulated fleet: replicas, gateways, engines and their users on one virtual clock."""

import random

from rainsail.assembly.gateway import GatewayConfig, NativeGatewayNode
from rainsail.assembly.replica_config import ReplicaConfig
from rainsail.batch.settings import BatchSettings
from rainsail.consensus.settings import ConsensusSettings
from rainsail.control.leader_client import LeaderClient
from rainsail.control.settings import ControlSettings
from rainsail.emulator.engine import EmulatedEngine
from rainsail.emulator.machine_list import EmulatedMachineList
from rainsail.emulator.settings import WeightStoreSettings
from rainsail.emulator.weight_store import WeightStore
from rainsail.engine.interface import GenerateRequest
from rainsail.experiment.history import GatewayAdmitted, GatewayApplied, History, OnlineQueued
from rainsail.machines.machine_list import Machine
from rainsail.resources.specs import WatchEvent
from rainsail.simulation.actors.callers import CallerTraffic
from rainsail.simulation.actors.job_clients import JobTraffic
from rainsail.simulation.actors.links import LostAnswers, UserLink
from rainsail.simulation.actors.operators import OperatorTraffic, SimulatedOperator
from rainsail.simulation.clock import VirtualClock
from rainsail.simulation.engine_link import EngineNetwork
from rainsail.simulation.fault_plan import FaultTargets
from rainsail.simulation.network import LinkConditions, SimulatedNetwork
from rainsail.simulation.processes import GatewayProcess, ReplicaProcess, World
from rainsail.simulation.site_plan import USER_ONE_WAY_S, SitePlan
from rainsail.state.settings import StateSettings
from rainsail.wire.messenger import Messenger

SAME_ZONE_ONE_WAY_S = 0.0002
FLEET_NAME = "simulated"
OPERATOR_NAMES = ("operator-1", "operator-2", "operator-watch")


SHORT_LOGS = ConsensusSettings(
    snapshot_log_entries=150,
    retained_entries=40,
    snapshot_chunk_bytes=4096,
    caught_up_entries=50,
    promotion_lag_entries=20,
)
"""A minute of traffic is several snapshots long, so that whoever was away needs one."""
SHORT_WINDOWS = StateSettings(event_window_count=40, snapshot_chunk_bytes=2048)
"""Watches that were away for half a minute find their revision compacted."""


class SimulatedFleet:
    """Builds a site's processes and users; the injector and the run act on it."""

    def __init__(self, site: SitePlan, seed: int, history: History) -> None:
        self.site = site
        self.history = history
        self.clock = VirtualClock()
        self.lost_answers = LostAnswers()
        self.world = self._make_world(seed)
        self.weight_store = WeightStore(self.clock, WeightStoreSettings())
        self.machines = EmulatedMachineList(self.clock)
        self.replicas = self._make_replicas()
        self.engines = self._make_engines()
        self.gateways = self._make_gateways()
        self.callers, self.jobs, self.operators = self._make_users()

    # --- building ------------------------------------------------------------------------

    def _make_world(self, seed: int) -> World:
        clock = self.clock
        network = SimulatedNetwork(clock, random.Random(f"{seed}/network"))
        world = World(seed, clock, network, EngineNetwork(clock))
        for source in self.site.zones:
            for target in self.site.zones:
                delay_s = SAME_ZONE_ONE_WAY_S if source == target else self.site.zone_one_way_s
                conditions = LinkConditions(delay_s=delay_s, jitter_s=delay_s / 10)
                world.network.set_zone_conditions(source, target, conditions)
        return world

    def _make_replicas(self) -> dict[str, ReplicaProcess]:
        names = tuple(f"replica-{number + 1}" for number in range(len(self.site.replica_zones)))
        replicas = {}
        for name, zone_number in zip(names, self.site.replica_zones, strict=True):
            config = ReplicaConfig(
                name,
                FLEET_NAME,
                names,
                consensus=SHORT_LOGS,
                state=SHORT_WINDOWS,
                batch=self._batch_settings(),
            )
            zone = self.site.zones[zone_number]
            replicas[name] = ReplicaProcess(self.world, name, zone, config, self.machines)
        return replicas

    def _batch_settings(self) -> BatchSettings:
        return BatchSettings(groups=self.site.ledger_groups, batch_weight=self.site.batch_weight)

    def _make_engines(self) -> dict[str, EmulatedEngine]:
        engines = {}
        for plan in self.site.runners:
            for number in range(plan.count):
                runner = f"{plan.service}-{number + 1}"
                draw = self.world.random_for(f"engine/{runner}")
                engine = EmulatedEngine(runner, self.clock, draw, plan.engine, self.weight_store)
                self.world.engines.add(engine_address(runner), engine)
                engines[runner] = engine
        self.machines.seed(tuple(Machine(name, engine_address(name)) for name in engines))
        return engines

    def runner_zone(self, runner: str) -> str:
        """Return the zone of a runner: runners are dealt out to the zones in turn."""
        number = int(runner.rpartition("-")[2]) - 1
        return self.site.zones[number % len(self.site.zones)]

    def _make_gateways(self) -> dict[str, GatewayProcess]:
        gateways = {}
        for zone in self.site.zones:
            name = f"gateway-{zone}"
            config = GatewayConfig(
                name,
                self.site.region,
                zone,
                tuple(self.replicas),
                batch=self._batch_settings(),
            )
            process = GatewayProcess(self.world, name, zone, config)
            process.on_started = self._record_gateway
            process.on_died = self._gateway_died
            process.on_stopped = self._gateway_stopped
            process.on_generate = self._record_generate
            gateways[name] = process
            self._set_engine_delays(name, zone)
        return gateways

    def _set_engine_delays(self, gateway: str, zone: str) -> None:
        for runner in self.engines:
            if self.runner_zone(runner) != zone:
                self.world.engines.set_extra_delay(gateway, runner, self.site.zone_one_way_s)

    def _make_users(self) -> tuple[CallerTraffic, JobTraffic, OperatorTraffic]:
        site = self.site
        gateways = tuple(self.gateways)
        callers = CallerTraffic(
            site.callers,
            site.tenants,
            gateways,
            self.user_link("callers"),
            self.history,
            self.world.random_for("callers"),
        )
        jobs = JobTraffic(
            site.jobs,
            gateways,
            self.user_link("jobs"),
            self.history,
            self.world.random_for("jobs"),
        )
        first, second, watcher = (self._make_operator(name) for name in OPERATOR_NAMES)
        draw = self.world.random_for("operators")
        operators = OperatorTraffic(first, second, watcher, self.clock, draw, site.operator_gap_s)
        return callers, jobs, operators

    def user_link(self, purpose: str) -> UserLink:
        """Return a way of users to the gateways; ``purpose`` names its random draws."""
        return UserLink(
            self.clock,
            self.world.random_for(f"link/{purpose}"),
            USER_ONE_WAY_S,
            self.lost_answers,
            self.live_gateway,
        )

    def _make_operator(self, name: str) -> SimulatedOperator:
        transport = self.world.network.transport(name, "")
        messenger = Messenger(transport, self.clock)
        draw = self.world.random_for(name)
        client = LeaderClient(messenger, tuple(self.replicas), self.clock, draw, ControlSettings())
        return SimulatedOperator(name, client, self.clock, self.history, draw)

    # --- looking -------------------------------------------------------------------------

    def live_gateway(self, name: str) -> NativeGatewayNode | None:
        """Return a gateway that accepts connections, or None. A frozen one accepts them."""
        process = self.gateways[name]
        return process.node if process.running else None

    def leader(self) -> str:
        """Return the replica that leads now, or an empty string."""
        for name, replica in self.replicas.items():
            if replica.running and not replica.frozen and replica.node is not None:
                group = replica.node.group
                if group is not None and group.is_leader():
                    return name
        return ""

    def targets(self) -> FaultTargets:
        """Return what faults can hit."""
        return FaultTargets(
            replicas=tuple(self.replicas),
            gateways=tuple(self.gateways),
            runners=tuple(self.engines),
            zones=self.site.zones,
        )

    # --- recording -----------------------------------------------------------------------

    def _record_gateway(self, node: NativeGatewayNode) -> None:
        name, incarnation = node.config.name, node.incarnation

        def applied(event: WatchEvent) -> None:
            now_s = self.clock.seconds()
            self.history.record(GatewayApplied(now_s, name, incarnation, event.revision))

        node.view.on_event(applied)

    def _record_generate(self, node: NativeGatewayNode) -> None:
        now_s = self.clock.seconds()
        name, incarnation = node.config.name, node.incarnation
        self.history.record(GatewayAdmitted(now_s, name, incarnation, node.view.revision))

    def _gateway_died(self, name: str) -> None:
        self.callers.connection_lost(name)

    def _gateway_stopped(self, name: str) -> None:
        """An orderly end closes connections behind what was sent on them."""
        self.clock.callLater(USER_ONE_WAY_S, self.callers.connection_lost, name)

    def record_waits(self, period_s: float, limit_s: float) -> None:
        """Look every ``period_s`` for online work that an engine keeps waiting behind batch."""
        waits: dict[str, float] = {}

        def look() -> None:
            for runner, engine in self.engines.items():
                self._look_at(runner, engine, waits, period_s, limit_s)
            self.clock.callLater(period_s, look)

        self.clock.callLater(period_s, look)

    def _look_at(
        self,
        runner: str,
        engine: EmulatedEngine,
        waits: dict[str, float],
        period_s: float,
        limit_s: float,
    ) -> None:
        if not engine.alive or not _online_waits_behind_batch(engine):
            waits.pop(runner, None)
            return
        waits[runner] = waits.get(runner, 0.0) + period_s
        if waits[runner] > limit_s:
            now_s = self.clock.seconds()
            self.history.record(OnlineQueued(now_s, runner, "", waits[runner]))


def is_batch(request: GenerateRequest) -> bool:
    """Tell whether a request is an attempt of a batch item (named ``job/index``)."""
    return "/" in request.request_id


def _online_waits_behind_batch(engine: EmulatedEngine) -> bool:
    online_waits = any(not is_batch(request) for request in engine.waiting_requests())
    return online_waits and any(is_batch(request) for request in engine.running_requests())


def engine_address(runner: str) -> str:
    """Return the address of an emulated engine."""
    return f"sim://{runner}"
