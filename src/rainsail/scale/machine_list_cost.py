"""What reading the platform's machine list costs a replica at some number of machines."""

import time
from dataclasses import dataclass

from expression import Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.assembly.machine_watch import FETCH_PERIOD_S, MachineWatch
from rainsail.errors import Fault
from rainsail.machines.machine_list import MACHINES, Machine
from rainsail.scale.workload import FleetSize, node_name, runner_name, runner_spec
from rainsail.simulation.clock import VirtualClock

FETCHES = 20


@dataclass(frozen=True, slots=True)
class MachineListCost:
    """Bytes of one list, and processor seconds to parse and take it; fetched every period."""

    machines: int
    list_bytes: int
    processor_s_per_fetch: float
    period_s: float


class _ParsedList:
    """A machine-list client that parses the same body at each fetch."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    def fetch(self) -> "Deferred[Result[tuple[Machine, ...], Fault]]":
        """Parse the body, as the HTTP client does."""
        return succeed(Ok(MACHINES.validate_json(self._body)))


def measure_machine_list(size: FleetSize) -> MachineListCost:
    """Measure a list with a machine for each node and runner."""
    nodes = [Machine(node_name(number), f"10.1.0.{number % 256}") for number in range(size.nodes)]
    runners = [
        Machine(runner_name(number), runner_spec(size, number).address)
        for number in range(size.runners)
    ]
    body = MACHINES.dump_json((*nodes, *runners))
    clock = VirtualClock()
    watch = MachineWatch(_ParsedList(body), clock)
    watch.start()
    start_s = time.thread_time()
    clock.advance(FETCHES * FETCH_PERIOD_S)
    spent_s = (time.thread_time() - start_s) / FETCHES
    watch.stop()
    return MachineListCost(len(nodes) + len(runners), len(body), spent_s, FETCH_PERIOD_S)
