"""Simulated processes: a replica and a gateway that can be killed, frozen and started again."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from rainsail.assembly.dependencies import (
    GatewayDependencies,
    NodeDependencies,
    ReplicaDependencies,
)
from rainsail.assembly.gateway import GatewayConfig, NativeGatewayNode
from rainsail.assembly.replica import ReplicaNode
from rainsail.assembly.replica_config import ReplicaConfig
from rainsail.engine.interface import AttemptListener, GenerateRequest
from rainsail.errors import Fault
from rainsail.machines.machine_list import MachineListClient
from rainsail.simulation.clock import SkewedClock, VirtualClock
from rainsail.simulation.disk import SimulatedDisk
from rainsail.simulation.engine_link import EngineNetwork, SimulatedEngineClient
from rainsail.simulation.network import SimulatedNetwork, SimulatedTransport

CLOCK_RATE_SPREAD = 0.0005
"""Largest deviation of a simulated machine's clock rate (500 ppm)."""


@dataclass(frozen=True, slots=True)
class World:
    """What all simulated processes share."""

    seed: int
    clock: VirtualClock
    network: SimulatedNetwork
    engines: EngineNetwork

    def random_for(self, purpose: str) -> random.Random:
        """Return a generator that depends on the seed and the purpose alone."""
        return random.Random(f"{self.seed}/{purpose}")


class _Process:
    """What replicas and gateways have in common: a clock, a place on the network, starts."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.running = False
        self.frozen = False
        self._world = world
        self._starts = 0
        self._rate = 1 + world.random_for(f"rate/{name}").uniform(
            -CLOCK_RATE_SPREAD, CLOCK_RATE_SPREAD
        )
        self._clock: SkewedClock | None = None
        self._transport: SimulatedTransport | None = None

    def _new_seams(self) -> NodeDependencies:
        self._starts += 1
        self._clock = SkewedClock(self._world.clock, self._rate)
        self._transport = self._world.network.transport(self.name, self.zone)
        draw = self._world.random_for(f"{self.name}/{self._starts}")
        return NodeDependencies(self._clock, self._transport, draw, self._world.clock.seconds)

    def _stop_running(self) -> None:
        assert self._clock is not None and self._transport is not None
        self._clock.stop()
        self._transport.close()
        self.running = False
        self.frozen = False

    def freeze(self) -> None:
        """Pause the process."""
        if self.running and not self.frozen:
            assert self._clock is not None and self._transport is not None
            self.frozen = True
            self._clock.freeze()
            self._transport.freeze()

    def thaw(self) -> None:
        """Let the process go on."""
        if self.frozen:
            assert self._clock is not None and self._transport is not None
            self.frozen = False
            self._clock.thaw()
            self._transport.thaw()


class ReplicaProcess(_Process):
    """A replica with its simulated disk."""

    def __init__(
        self,
        world: World,
        name: str,
        zone: str,
        config: ReplicaConfig,
        machine_list: MachineListClient | None,
    ) -> None:
        super().__init__(world, name, zone)
        self.disk = SimulatedDisk(world.clock, world.random_for(f"disk/{name}"))
        self.node: ReplicaNode | None = None
        self.last_fault: Fault | None = None
        self.disk_lost = False
        self._config = config
        self._machine_list = machine_list

    def start(self) -> None:
        """Start a new process on the disk as it is."""
        if self.running:
            return
        self.running = True
        self.disk_lost = False
        self.last_fault = None
        seams = ReplicaDependencies(self._new_seams(), self.disk, self._machine_list)
        self.node = ReplicaNode(self._config, seams)
        self.node.on_fatal(self._fatal)
        self.node.start().addCallback(self._started)

    def _started(self, result: "object") -> None:
        fault = getattr(result, "error", None) if result.is_error() else None  # type: ignore[attr-defined]
        if fault is not None:
            self._fatal(fault)

    def _fatal(self, fault: Fault) -> None:
        """The process ends itself: its storage can't be trusted."""
        self.last_fault = fault
        if self.running:
            self.disk.kill()
            self._stop_running()

    def kill(self) -> None:
        """Power off: unsynced bytes may be lost."""
        if self.running:
            self.disk.crash()
            self._stop_running()

    def lose_disk(self) -> None:
        """Power off and lose the disk."""
        self.kill()
        self.disk.wipe()
        self.disk_lost = True

    def planned_stop(self, stopped: Callable[[], None]) -> None:
        """Stop as planned; calls ``stopped`` when the process has ended."""
        assert self.node is not None

        def end(_: object) -> None:
            if self.running:
                self.disk.kill()
                self._stop_running()
            stopped()

        self.node.planned_stop().addCallback(end)


class ObservedEngineClient(SimulatedEngineClient):
    """Tells the run of each attempt that a gateway sends."""

    on_generate: Callable[[], None]

    def generate(self, address: str, request: GenerateRequest, listener: AttemptListener) -> None:
        """Tell, then start the attempt."""
        self.on_generate()
        super().generate(address, request, listener)


class GatewayProcess(_Process):
    """A gateway with its links to the engines."""

    def __init__(self, world: World, name: str, zone: str, config: GatewayConfig) -> None:
        super().__init__(world, name, zone)
        self.node: NativeGatewayNode | None = None
        self.on_started: Callable[[NativeGatewayNode], None] = lambda node: None
        self.on_died: Callable[[str], None] = lambda name: None
        self.on_stopped: Callable[[str], None] = lambda name: None
        self.on_generate: Callable[[NativeGatewayNode], None] = lambda node: None
        self._config = config
        self._engine: ObservedEngineClient | None = None

    def start(self) -> None:
        """Start a new gateway process; it knows nothing of the one before."""
        if self.running:
            return
        self.running = True
        node_seams = self._new_seams()
        self._engine = ObservedEngineClient(
            self.name, self._world.engines, node_seams.clock, node_seams.random
        )
        node = NativeGatewayNode(self._config, GatewayDependencies(node_seams, self._engine))
        self._engine.on_generate = lambda: self.on_generate(node)
        self.node = node
        self.on_started(self.node)
        self.node.start()

    def kill(self) -> None:
        """End the process at once; callers' connections are reset."""
        if self.running:
            self._end()
            self.on_died(self.name)

    def _end(self) -> None:
        assert self._engine is not None
        self._engine.close()
        self._stop_running()

    def planned_stop(self, stopped: Callable[[], None]) -> None:
        """Drain, then end the process; calls ``stopped`` when it has ended."""
        node = self.node
        assert node is not None

        def end(_: object) -> None:
            if self.running and self.node is node:
                self._end()
                self.on_stopped(self.name)
            stopped()

        node.planned_stop().addCallback(end)
