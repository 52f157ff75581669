"""A relaying fleet in virtual time: the product's controllers, storage nodes and followers with
simulated networks and disks."""

import random
from collections.abc import Callable
from typing import Any

from expression import Ok
from features.support.relaying import HOST, PlainProtocol, StandInPool
from features.support.virtual_time import wait_until
from twisted.internet.defer import Deferred

from rainsail.cluster.leader_calls import LeaderCaller
from rainsail.fleet.base import NodeBase, assemble_base
from rainsail.fleet.controller_role import ControllerRole
from rainsail.fleet.storage_node import StorageNode
from rainsail.jobs.client import JobClient
from rainsail.jobs.intake_budget import GatewayIntake
from rainsail.jobs.messages import QueueLimit
from rainsail.relay.table import ClientLimits, Route, RouteKind, RoutingTable, Service, ServiceShare
from rainsail.settings.node import NodeSettings
from rainsail.simulation.clock import SkewedClock, VirtualClock
from rainsail.simulation.disk import SimulatedDisk
from rainsail.simulation.network import SimulatedNetwork
from rainsail.state.job_commands import RelayedItem

FIRST_PORT = 7000
SEED_PORT = 8000
LIMIT_S = 30.0
JOB_PREFIX = "/jobs/"
JOB_PATH = "/jobs/1"
ZONES = {"zone-0": "east", "zone-1": "west", "zone-2": "west"}
COMPLETION_S = 5.0
"""Due time of the tests' jobs after their acceptance."""


def table_of(content: bytes) -> Any:
    """Parse a test table: its version, and the allowed regions of jobs, if any.

    ``7`` is version 7; ``8 east west`` is version 8 whose jobs may run in these two regions;
    ``9 none`` is version 9 without any route.
    """
    version, *regions = content.decode().split()
    services = (Service("model", 10, True),)
    if regions == ["none"]:
        return Ok(RoutingTable(int(version), (), services, ClientLimits()))
    routes = (
        Route(
            "jobs",
            HOST,
            JOB_PREFIX,
            RouteKind.BATCH,
            (ServiceShare("model", 1.0),),
            30.0,
            1.0,
            max_attempts=2,
            completion_s=COMPLETION_S,
            allowed_regions=frozenset(regions),
        ),
    )
    return Ok(RoutingTable(int(version), routes, services, ClientLimits()))


class SimulatedNode:
    """One process with its base, role and clock."""

    def __init__(self, base: NodeBase, clock: SkewedClock, role: Any) -> None:
        self.base = base
        self.clock = clock
        self.role = role
        self.faults: list[Any] = []


class RelayedFleet:
    """Nodes by name; a machine's disk survives a crash of its process."""

    def __init__(
        self,
        seed: int,
        controllers: int = 3,
        storage: int = 3,
        gateways: int = 2,
        seeds: int | None = None,
    ) -> None:
        """Start all nodes; the first ``seeds`` controllers (all, if None) form the group."""
        self.clock = VirtualClock()
        self.max_queued_tokens = 0
        self.random = random.Random(seed)
        self.network = SimulatedNetwork(self.clock, random.Random(self.random.random()))
        self.disks: dict[str, SimulatedDisk] = {}
        self.nodes: dict[str, SimulatedNode] = {}
        self.ips: dict[str, str] = {}
        self.pools: dict[str, StandInPool] = {}
        self.seeds = [f"10.0.1.{number}" for number in range(1, (seeds or controllers) + 1)]
        for number in range(1, controllers + 1):
            self.start(f"controller-{number}", founding=True)
        for number in range(1, storage + 1):
            self.start(f"storage-{number}", founding=True)
        for number in range(1, gateways + 1):
            self.start(f"gateway-{number}", founding=True)

    # --- processes -----------------------------------------------------------------------

    def start(self, name: str, founding: bool = False) -> None:
        """Start a node's process on its disk."""
        kind, _, number = name.partition("-")
        third = {"controller": 1, "storage": 2, "gateway": 3}[kind]
        self.ips[name] = f"10.0.{third}.{number}"
        settings = NodeSettings.model_validate(
            {
                "node": {
                    "name": name,
                    "role": kind,
                    "zone": f"zone-{int(number) % 3}",
                    "ip": self.ips[name],
                    "data_folder": "data",
                    "founding": founding,
                    "losses": 1,
                    "zones": ZONES,
                },
                "peers": {
                    "first_port": FIRST_PORT,
                    "last_port": FIRST_PORT + 9,
                    "seeds": [f"{ip}:{SEED_PORT}" for ip in self.seeds],
                },
                "listen": {"clients": "10.0.0.1:1", "control": "10.0.0.1:2"},
                "limits": {"disk_mb": 100},
            }
        )
        clock = SkewedClock(self.clock)
        transport = self.network.transport(settings.process_name())
        generator = random.Random(self.random.random())
        base = assemble_base(settings, clock, generator, transport)
        node = SimulatedNode(base, clock, None)
        node.role = self._role(name, kind, node)
        self.nodes[name] = node
        if kind == "gateway":
            base.follower.start()
        else:
            Deferred.fromCoroutine(node.role.start())

    def _role(self, name: str, kind: str, node: SimulatedNode) -> Any:
        base = node.base
        if kind == "gateway":
            return self.make_gateway(base)
        if name not in self.disks:
            self.disks[name] = SimulatedDisk(self.clock, random.Random(self.random.random()))
        disk = self.disks[name]
        if kind == "controller":
            return ControllerRole(base, disk, node.faults.append, self.clock.seconds)
        pool = self.pools[name] = self.make_pool(base)
        protocol = self.make_protocol()
        return StorageNode(base, protocol, self.table_of, pool, disk, node.faults.append)  # type: ignore[arg-type]

    def table_of(self, content: bytes) -> Any:
        """Parse a table."""
        return table_of(content)

    def make_gateway(self, base: NodeBase) -> Any:
        """Return a gateway's role; here it only submits jobs."""
        calls = LeaderCaller(base.messenger, base.clock, None, lambda: base.follower.view().storage)
        return JobClient(calls, GatewayIntake(base.budget))

    def make_protocol(self) -> PlainProtocol:
        """Return the protocol of a storage node's requests to runners."""
        return PlainProtocol()

    def make_pool(self, base: NodeBase) -> Any:
        """Return a storage node's connections to runners."""
        return StandInPool(base.clock)

    def crash(self, name: str) -> None:
        """Cut the power of a machine."""
        node = self.nodes.pop(name)
        node.clock.stop()
        node.base.transport.close()  # type: ignore[attr-defined]
        if name in self.disks:
            self.disks[name].crash()

    def lose_disk(self, name: str) -> None:
        """Cut the power of a machine and empty its disk."""
        self.crash(name)
        self.disks[name].wipe()

    def address(self, name: str) -> str:
        """Return the process name of a node."""
        return self.nodes[name].base.node.address

    def freeze(self, name: str) -> None:
        """Pause a node's process."""
        self.nodes[name].clock.freeze()
        self.network.freeze(self.address(name))

    def thaw(self, name: str) -> None:
        """Resume a paused process: overdue timers fire first, then pending messages arrive."""
        self.nodes[name].clock.thaw()
        self.network.thaw(self.address(name))

    def isolate(self, name: str) -> None:
        """Partition a node from all others; packets are dropped silently."""
        self.network.isolate(self.address(name))

    def cut_from_group(self, name: str) -> None:
        """Partition a node from the others of its kind; all other nodes still reach it."""
        own = self.address(name)
        for other in self.names(name.partition("-")[0]):
            if other != name:
                self.network.cut(own, self.address(other))
                self.network.cut(self.address(other), own)

    def rejoin(self, name: str) -> None:
        """End a node's partition."""
        self.network.rejoin(self.address(name))

    # --- waiting and inspection ----------------------------------------------------------

    def run_until(self, condition: Callable[[], bool], what: str, limit_s: float = LIMIT_S) -> None:
        """Run virtual time until ``condition`` holds."""
        wait_until(self.clock, condition, limit_s, what)

    def run_for(self, seconds: float) -> None:
        """Run virtual time for ``seconds``."""
        self.clock.advance(seconds)

    def result_of(self, done: Any, what: str, limit_s: float = LIMIT_S) -> Any:
        """Run until a Deferred has fired, and return its result."""
        results: list[Any] = []
        done.addCallback(results.append)
        self.run_until(lambda: bool(results), what, limit_s)
        return results[0]

    def names(self, kind: str) -> list[str]:
        """Return the running nodes of a kind."""
        return [name for name in self.nodes if name.startswith(kind)]

    def leading(self, kind: str) -> list[str]:
        """Return the running nodes of a kind that lead their group."""
        drivers = ((name, self.nodes[name].role.driver) for name in self.names(kind))
        return [name for name, driver in drivers if driver is not None and driver.is_leader()]

    def leader(self, kind: str) -> str:
        """Run until there is exactly one leader of a kind; return its name."""
        self.run_until(lambda: len(self.leading(kind)) == 1, f"a leader of {kind}")
        return self.leading(kind)[0]

    def controller(self, name: str) -> Any:
        """Return a controller's service."""
        return self.nodes[name].role.controller

    def submit(self, gateway: str, job: str, count: int, tenant: str = "") -> Any:
        """Have a gateway submit a job; return its Deferred."""
        items = tuple(
            RelayedItem(f"{job}-{number}", f"{JOB_PATH}/{number}", (), b"body", 10)
            for number in range(count)
        )
        limit = QueueLimit(JOB_PREFIX, self.max_queued_tokens)
        return self.nodes[gateway].role.submit(tenant, job, HOST, JOB_PATH, items, limit)

    def calls(self) -> list[Any]:
        """Return all item requests sent by all storage nodes."""
        return [call for pool in self.pools.values() for call in pool.calls]
