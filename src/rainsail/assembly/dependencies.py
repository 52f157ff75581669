"""The dependencies that are injected into a node."""

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
    """The dependencies of every node.

    ``wall_clock`` returns Unix seconds; it is used only for deadlines that callers state.
    """

    clock: Clock
    transport: Transport
    random: random.Random
    wall_clock: Callable[[], float]


@dataclass(frozen=True, slots=True)
class ReplicaDependencies:
    """Those of a node, with the replica's data folder and the platform's machine list."""

    node: NodeDependencies
    files: FileSystem
    machine_list: MachineListClient | None = None


@dataclass(frozen=True, slots=True)
class GatewayDependencies:
    """Those of a node, with the client of the engines."""

    node: NodeDependencies
    engine: EngineClient
