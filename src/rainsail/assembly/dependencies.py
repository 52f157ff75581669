"""The dependencies that a node is built over."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from rainsail.engine.interface import EngineClient
from rainsail.machines.machine_list import MachineListClient
from rainsail.runtime.clock import Clock
from rainsail.storage.interface import FileSystem
from rainsail.wire.messenger import Transport


@dataclass(frozen=True, slots=True)
class NodeDependencies:
    """What every node needs from outside.

    ``wall_clock`` returns Unix seconds; it serves only deadlines that callers state.
    """

    clock: Clock
    transport: Transport
    random: random.Random
    wall_clock: Callable[[], float]


@dataclass(frozen=True, slots=True)
class ReplicaDependencies:
    """A replica's dependencies: a node's, its data folder and the platform's machine list."""

    node: NodeDependencies
    files: FileSystem
    machine_list: MachineListClient | None = None


@dataclass(frozen=True, slots=True)
class GatewayDependencies:
    """A gateway's dependencies: a node's and the client of the engines."""

    node: NodeDependencies
    engine: EngineClient
