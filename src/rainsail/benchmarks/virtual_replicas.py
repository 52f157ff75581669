"""Replicas as assembled in daemons, on the virtual clock with simulated network and disks."""

import random
from collections.abc import Callable
from typing import Any

from rainsail.assembly.replica import ReplicaConfig
from rainsail.consensus.settings import ConsensusSettings
from rainsail.control.leader_client import LeaderClient
from rainsail.control.settings import ControlSettings
from rainsail.simulation.clock import VirtualClock
from rainsail.simulation.engine_link import EngineNetwork
from rainsail.simulation.network import LinkConditions, SimulatedNetwork
from rainsail.simulation.processes import ReplicaProcess, World
from rainsail.wire.messenger import Messenger

FLEET = "bench"
ONE_WAY_S = 0.001
JITTER_S = 0.0002
ZONES = 3
RUN_LIMIT_S = 60.0
"""Virtual seconds; twice what the slowest client call of a bench may take."""


class VirtualReplicas:
    """Replicas r1 to rN over three zones, a millisecond apart one way."""

    def __init__(self, count: int, seed: int, consensus: ConsensusSettings | None = None) -> None:
        self._seed = seed
        self.clock = VirtualClock()
        conditions = LinkConditions(delay_s=ONE_WAY_S, jitter_s=JITTER_S)
        self.network = SimulatedNetwork(self.clock, random.Random(seed), conditions)
        world = World(seed, self.clock, self.network, EngineNetwork(self.clock))
        self.names = tuple(f"r{number + 1}" for number in range(count))
        settings = consensus or ConsensusSettings.model_validate({})
        config = {name: ReplicaConfig(name, FLEET, self.names, settings) for name in self.names}
        self.replicas = {
            name: ReplicaProcess(world, name, f"z{number % ZONES}", config[name], None)
            for number, name in enumerate(self.names)
        }
        for replica in self.replicas.values():
            replica.start()
        self.run_until(lambda: bool(self.leader()), "a leader")

    def leader(self) -> str:
        """Return the replica that leads under its lease now; empty when none does."""
        for name, replica in self.replicas.items():
            group = replica.node.group if replica.running and replica.node else None
            if group is not None and group.is_leader():
                return name
        return ""

    def applied_index(self, name: str) -> int:
        """Return up to where a running replica has applied the log; 0 while it opens it."""
        node = self.replicas[name].node
        return (
            node.group.status().applied_index if node is not None and node.group is not None else 0
        )

    def client(self, name: str) -> LeaderClient:
        """Return a client of a process of its own name."""
        messenger = Messenger(self.network.transport(name, "z0"), self.clock)
        settings = ControlSettings.model_validate({})
        return LeaderClient(
            messenger, self.names, self.clock, random.Random(f"{self._seed}/{name}"), settings
        )

    def run_until(
        self, condition: Callable[[], bool], what: str, limit_s: float = RUN_LIMIT_S
    ) -> float:
        """Run until a condition holds; return the virtual seconds that took."""
        start_s = self.clock.seconds()
        while not condition():
            if not self.clock.run_next(start_s + limit_s):
                raise TimeoutError(f"not reached within {limit_s:g} virtual seconds: {what}")
        return self.clock.seconds() - start_s

    def finish(self, deferred: Any, what: str) -> Any:
        """Run until a Deferred has fired; return its result."""
        fired: list[Any] = []
        deferred.addCallback(fired.append)
        self.run_until(lambda: bool(fired), what)
        return fired[0]
