"""Brings a plan's failures about on a simulated fleet, and ends them."""

from collections.abc import Callable
from dataclasses import replace

from rainsail.engine.interface import Chunk
from rainsail.experiment.history import DrainDeclared, FaultEnded, FaultInjected, PlannedStop
from rainsail.machines.machine_list import MachineState
from rainsail.resources.specs import Kind, Resource, ResourceKey, RunnerSpec
from rainsail.simulation.disk_losses import DISKS_BORNE, unrepaired_losses
from rainsail.simulation.fault_plan import FaultAction, FaultKind, FaultPlan
from rainsail.simulation.fleet import OPERATOR_NAMES, SimulatedFleet, engine_address
from rainsail.simulation.network import LinkConditions
from rainsail.simulation.processes import ReplicaProcess

Undo = Callable[[], object]

DEGRADED = LinkConditions(delay_s=0.02, jitter_s=0.05, loss=0.05, duplication=0.05, ordered=False)
LOST_REPLY_SHARE = 0.2
LOST_REQUEST_SHARE = 0.05
CHUNK_DROPPED = 0.02
CHUNK_DOUBLED = 0.07
CHUNK_DELAYED = 0.12
"""Thresholds of one draw: the shares are the differences between neighbours."""
CHUNK_DELAY_S = 0.2
SECOND_LOSS_DELAY_S = 4.0
STARVED_DIVISOR = 20.0
DRAIN_RETRY_S = 0.5


def _nothing() -> None:
    """Undo nothing."""


class FaultInjector:
    """Schedules a plan's actions and counts them."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        self._draw = fleet.world.random_for("injector")
        self._starters: dict[FaultKind, Callable[[FaultAction], Undo]] = {
            FaultKind.ENGINE_CRASH: self._engine_crash,
            FaultKind.ENGINE_LINK_CUT: self._engine_link_cut,
            FaultKind.ENGINE_REPLIES_LOST: self._engine_replies_lost,
            FaultKind.POWER_LOSS: self._power_loss,
            FaultKind.REPLICA_CRASH: self._replica_crash,
            FaultKind.REPLICA_DISK_LOSS: self._replica_disk_loss,
            FaultKind.SECOND_LOSS_AFTER_REPAIR: self._second_loss,
            FaultKind.REPLICA_FREEZE: self._replica_freeze,
            FaultKind.SYNC_FAILURE: self._sync_failure,
            FaultKind.LEADER_SILENT_CUT: self._leader_silent_cut,
            FaultKind.ZONE_CUT: self._zone_cut,
            FaultKind.ONE_WAY_LOSS: self._one_way_loss,
            FaultKind.DEGRADED_NETWORK: self._degraded_network,
            FaultKind.GATEWAY_CRASH: self._gateway_crash,
            FaultKind.GATEWAY_FREEZE: self._gateway_freeze,
            FaultKind.LOST_ANSWERS: self._lost_answers,
            FaultKind.WEIGHT_STORE_STARVED: self._weight_store_starved,
            FaultKind.RUNNER_DRAIN: self._runner_drain,
            FaultKind.MACHINE_LEAVES: self._machine_leaves,
            FaultKind.GATEWAY_PLANNED_STOP: self._gateway_planned_stop,
            FaultKind.REPLICA_PLANNED_STOP: self._replica_planned_stop,
        }
        self.counts: dict[str, int] = {}
        self._muted_runners: dict[str, None] = {}
        self._wanted_drains: dict[str, bool] = {}
        self._leaving_machines: dict[str, None] = {}
        self._degraded = False
        faults = fleet.world.engines.faults
        faults.chunk = self._chunk_copies
        faults.lose_reply = self._loses_reply
        faults.lose_request = self._loses_request

    def schedule(self, plan: FaultPlan) -> None:
        """Schedule every action of a plan."""
        for action in plan.actions:
            self._fleet.clock.callLater(action.start_s, self._begin, action)

    def _begin(self, action: FaultAction) -> None:
        now_s = self._fleet.clock.seconds()
        self._fleet.history.record(FaultInjected(now_s, action.kind, action.target))
        self.counts[action.kind] = self.counts.get(action.kind, 0) + 1
        undo = self._starters[action.kind](action)
        self._fleet.clock.callLater(action.duration_s, self._end, action, undo)

    def _end(self, action: FaultAction, undo: Undo) -> None:
        undo()
        now_s = self._fleet.clock.seconds()
        self._fleet.history.record(FaultEnded(now_s, action.kind, action.target))

    # --- engines -------------------------------------------------------------------------

    def _engine_crash(self, action: FaultAction) -> Undo:
        engine = self._fleet.engines[action.target]
        engine.crash()

        def mend() -> None:
            engine.restart()
            engine.draining = action.target in self._leaving_machines

        return mend

    def _engine_link_cut(self, action: FaultAction) -> Undo:
        network = self._fleet.world.engines
        gateway = self._draw.choice(list(self._fleet.gateways))
        network.cut(gateway, action.target)
        return lambda: network.heal(gateway, action.target)

    def _weight_store_starved(self, action: FaultAction) -> Undo:
        store = self._fleet.weight_store
        store.slow_down(STARVED_DIVISOR)
        return lambda: store.slow_down(1.0)

    def _engine_replies_lost(self, action: FaultAction) -> Undo:
        """Lose whatever an engine sends, while requests still reach it."""
        self._muted_runners[action.target] = None
        return lambda: self._muted_runners.pop(action.target, None)

    def _loses_reply(self, gateway: str, runner: str, what: str) -> bool:
        if runner in self._muted_runners:
            return True
        return self._fleet.lost_answers.active and self._draw.random() < LOST_REPLY_SHARE

    def _loses_request(self, gateway: str, runner: str, what: str) -> bool:
        return self._fleet.lost_answers.active and self._draw.random() < LOST_REQUEST_SHARE

    # --- replicas ------------------------------------------------------------------------

    def _replica_crash(self, action: FaultAction) -> Undo:
        replica = self._fleet.replicas[action.target]
        replica.kill()
        return replica.start

    def _power_loss(self, action: FaultAction) -> Undo:
        """Crash every replica at once; what was synced must be enough."""
        for replica in self._fleet.replicas.values():
            replica.kill()

        def mend() -> None:
            for replica in self._fleet.replicas.values():
                replica.start()

        return mend

    def _replica_disk_loss(self, action: FaultAction) -> Undo:
        replica = self._fleet.replicas[action.target]
        self._lose_disk(replica)
        return replica.start

    def _lose_disk(self, replica: ReplicaProcess) -> None:
        """Lose a disk; a third loss before the repair of the first two is left out."""
        if unrepaired_losses(self._fleet.replicas) < DISKS_BORNE:
            replica.lose_disk()
        else:
            replica.kill()

    def _second_loss(self, action: FaultAction) -> Undo:
        """Lose a disk, start again, and soon after the repair lose another replica's disk."""
        names = list(self._fleet.replicas)
        second = names[(names.index(action.target) + 1) % len(names)]
        first_replica = self._fleet.replicas[action.target]
        second_replica = self._fleet.replicas[second]
        self._lose_disk(first_replica)
        first_replica.start()

        def lose_second() -> None:
            self._lose_disk(second_replica)
            second_replica.start()

        self._fleet.clock.callLater(SECOND_LOSS_DELAY_S, lose_second)
        return _nothing

    def _replica_freeze(self, action: FaultAction) -> Undo:
        replica = self._fleet.replicas[action.target]
        replica.freeze()
        return replica.thaw

    def _sync_failure(self, action: FaultAction) -> Undo:
        replica = self._fleet.replicas[action.target]
        replica.disk.sync_fails = True

        def mend() -> None:
            replica.disk.sync_fails = False
            replica.start()

        return mend

    def _replica_planned_stop(self, action: FaultAction) -> Undo:
        replica = self._fleet.replicas[action.target]
        if replica.running and not replica.frozen:
            self._planned_stop(action.target, replica.planned_stop)
        return replica.start

    # --- network -------------------------------------------------------------------------

    def _leader_silent_cut(self, action: FaultAction) -> Undo:
        leader = self._fleet.leader() or action.target or next(iter(self._fleet.replicas))
        network = self._fleet.world.network
        others = [*self._fleet.replicas, *self._fleet.gateways, *OPERATOR_NAMES]
        for other in others:
            network.cut(leader, other)
            network.cut(other, leader)

        def mend() -> None:
            for other in others:
                network.mend(leader, other)
                network.mend(other, leader)

        return mend

    def _zone_cut(self, action: FaultAction) -> Undo:
        network = self._fleet.world.network
        engines = self._fleet.world.engines
        links = [
            (gateway, runner)
            for gateway, process in self._fleet.gateways.items()
            for runner in self._fleet.engines
            if (process.zone == action.target) != (self._fleet.runner_zone(runner) == action.target)
        ]
        network.cut_zone(action.target)
        for gateway, runner in links:
            engines.cut(gateway, runner)

        def mend() -> None:
            network.mend_zone(action.target)
            for gateway, runner in links:
                engines.heal(gateway, runner)

        return mend

    def _one_way_loss(self, action: FaultAction) -> Undo:
        network = self._fleet.world.network
        others = [name for name in self._fleet.replicas if name != action.target]
        for other in others:
            network.cut(action.target, other)

        def mend() -> None:
            for other in others:
                network.mend(action.target, other)

        return mend

    def _degraded_network(self, action: FaultAction) -> Undo:
        network = self._fleet.world.network
        processes = [*self._fleet.replicas, *self._fleet.gateways]
        links = [(a, b) for a in processes for b in processes if a != b]
        for source, target in links:
            network.set_link_conditions(source, target, DEGRADED)
        self._degraded = True

        def mend() -> None:
            for source, target in links:
                network.clear_link_conditions(source, target)
            self._degraded = False

        return mend

    def _chunk_copies(self, gateway: str, runner: str, chunk: Chunk) -> tuple[float, ...]:
        """Drop, double or delay some chunks, so that they come late and out of order."""
        if runner in self._muted_runners:
            return ()
        if not self._degraded:
            return (0.0,)
        drawn = self._draw.random()
        if drawn < CHUNK_DROPPED:
            return ()
        if drawn < CHUNK_DOUBLED:
            return (0.0, self._draw.uniform(0.0, CHUNK_DELAY_S))
        if drawn < CHUNK_DELAYED:
            return (self._draw.uniform(0.0, CHUNK_DELAY_S),)
        return (0.0,)

    def _lost_answers(self, action: FaultAction) -> Undo:
        self._fleet.lost_answers.active = True

        def mend() -> None:
            self._fleet.lost_answers.active = False

        return mend

    # --- gateways ------------------------------------------------------------------------

    def _gateway_crash(self, action: FaultAction) -> Undo:
        gateway = self._fleet.gateways[action.target]
        gateway.kill()
        return gateway.start

    def _gateway_freeze(self, action: FaultAction) -> Undo:
        gateway = self._fleet.gateways[action.target]
        gateway.freeze()
        return gateway.thaw

    def _gateway_planned_stop(self, action: FaultAction) -> Undo:
        gateway = self._fleet.gateways[action.target]
        if gateway.running and not gateway.frozen:
            self._planned_stop(action.target, gateway.planned_stop)
        return gateway.start

    def _planned_stop(self, name: str, stop: Callable[[Callable[[], None]], None]) -> None:
        history = self._fleet.history
        clock = self._fleet.clock
        history.record(PlannedStop(clock.seconds(), name, False))
        stop(lambda: history.record(PlannedStop(clock.seconds(), name, True)))

    # --- runners that leave --------------------------------------------------------------

    def _machine_leaves(self, action: FaultAction) -> Undo:
        """The engine itself says that it is leaving; the machine list follows with its lag."""
        engine = self._fleet.engines[action.target]
        machines = self._fleet.machines
        address = engine_address(action.target)
        engine.draining = True
        self._leaving_machines[action.target] = None
        machines.put(action.target, address, MachineState.LEAVING)
        self._declare_drain(action.target, True)

        def mend() -> None:
            engine.draining = False
            self._leaving_machines.pop(action.target, None)
            machines.put(action.target, address, MachineState.LIVE)
            self._declare_drain(action.target, False)

        return mend

    def _runner_drain(self, action: FaultAction) -> Undo:
        self._want_drain(action.target, True)
        return lambda: self._want_drain(action.target, False)

    def _want_drain(self, runner: str, drain: bool) -> None:
        """Declare (or take back) a runner's drain as an operator, until it is accepted."""
        busy = runner in self._wanted_drains
        self._wanted_drains[runner] = drain
        if not busy:
            self._read_runner(runner)

    def _read_runner(self, runner: str) -> None:
        reading = self._fleet.operators.first.list_resources((Kind.RUNNER,))
        reading.addCallback(lambda reply: self._put_drain(runner, reply.resources if reply else ()))

    def _put_drain(self, runner: str, resources: tuple[Resource, ...]) -> None:
        found = [r for r in resources if r.key == ResourceKey(Kind.RUNNER, runner)]
        if not found:
            self._fleet.clock.callLater(DRAIN_RETRY_S, self._read_runner, runner)
            return
        spec = found[0].spec
        assert isinstance(spec, RunnerSpec)
        drain = self._wanted_drains[runner]
        changed = replace(spec, drain=drain)
        if not drain:
            self._declare_drain(runner, False)
        writing = self._fleet.operators.first.put(
            found[0].key, changed, found[0].revision, f"drain={drain}"
        )
        writing.addCallback(lambda accepted: self._drain_answered(runner, drain, accepted))

    def _drain_answered(self, runner: str, drain: bool, accepted: bool | None) -> None:
        if accepted and drain:
            self._declare_drain(runner, True)
        if accepted and self._wanted_drains[runner] == drain:
            del self._wanted_drains[runner]
            return
        self._fleet.clock.callLater(DRAIN_RETRY_S, self._read_runner, runner)

    def _declare_drain(self, runner: str, declared: bool) -> None:
        now_s = self._fleet.clock.seconds()
        self._fleet.history.record(DrainDeclared(now_s, runner, declared))
