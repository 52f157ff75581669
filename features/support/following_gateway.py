"""A gateway's view of a large fleet, with engines that only report their load."""

from collections.abc import Callable
from random import Random
from typing import Any

from features.support.declared_fleet import FleetSize, declarations, node_name, runner_spec

from rainsail.engine.interface import CacheEvent, LoadReport
from rainsail.errors import Fault
from rainsail.experiment.local_config import LocalConfig
from rainsail.experiment.local_control import LocalControl
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import Kind, ResourceKey
from rainsail.simulation.clock import VirtualClock
from rainsail.state.commands import ANY_REVISION, DeleteResource, PutResource
from rainsail.state.machine import ReplicatedState

SEED = 11
REPORT_PERIOD_S = 0.5
FIRST_REPORTS_S = 5.0
"""Ten report periods, after which every followed runner has reported."""
KV_TOKENS = 400_000


class ReportingEngines:
    """Engines that accept subscriptions and report their load; they serve no requests."""

    def __init__(self, clock: VirtualClock, random: Random) -> None:
        self.subscriptions = 0
        self.reports_sent = 0
        self._clock = clock
        self._random = random

    def subscribe(
        self,
        address: str,
        on_load: Callable[[LoadReport], None],
        on_cache: Callable[[CacheEvent], None],
        on_lost: Callable[[Fault], None],
    ) -> Callable[[], None]:
        """Report the load of the engine at an address until the subscription is cancelled."""
        sequence = 0
        timer: Any = None

        def report() -> None:
            nonlocal sequence, timer
            sequence += 1
            self.reports_sent += 1
            on_load(load_report(address, sequence, self._random.randrange(12)))
            timer = self._clock.callLater(REPORT_PERIOD_S, report)

        def cancel() -> None:
            self.subscriptions -= 1
            timer.cancel()

        self.subscriptions += 1
        timer = self._clock.callLater(self._random.uniform(0.0, REPORT_PERIOD_S), report)
        return cancel


def load_report(address: str, sequence: int, running: int) -> LoadReport:
    """Return the report of an engine with ``running`` running requests."""
    return LoadReport(
        runner=address,
        incarnation="1",
        sequence=sequence,
        age_s=0.25,
        running=running,
        running_low=0,
        waiting=0,
        kv_tokens_used=running * 1000,
        kv_tokens_total=KV_TOKENS,
        tokens_per_second=running * 30.0,
        loaded_version="model-0-v1",
        loading_version="",
        adapters=(),
        fence=1,
        draining=False,
    )


class FollowingGateway:
    """The gateway of node 0 and the runners that it follows."""

    def __init__(self, zones: int, nodes: int, runners: int) -> None:
        self.size = FleetSize(nodes, runners, zones, tenants=4, models=1)
        self.clock = VirtualClock()
        state = ReplicatedState()
        self.control = LocalControl({0: state}, self.clock)
        for command in declarations(self.size):
            self.control.apply(command)
        self.config = LocalConfig(state)
        random = Random(SEED)
        self.engines: Any = ReportingEngines(self.clock, random)
        self.fleet = RunnerFleet(
            node_name(0),
            self.size.zone(0),
            self.config,
            self.engines,
            self.clock,
            random,
            GatewaySettings(),
        )
        self.fleet.start()
        self.clock.advance(FIRST_REPORTS_S)

    def followed(self) -> list[str]:
        """Return the names of the followed runners."""
        return [state.name for state in self.fleet.runners()]

    def sample(self) -> list[str]:
        """Return the names of the followed runners in other zones."""
        zone = self.size.zone(0)
        return [state.name for state in self.fleet.runners() if state.spec.zone != zone]

    def put_runner(self, name: str, zone: str) -> None:
        """Move a runner to a zone."""
        number = int(name.rpartition("-")[2])
        spec = runner_spec(self.size, number)
        moved = type(spec)(spec.address, spec.region, zone, spec.service)
        command = PutResource(f"move/{name}/{zone}", ResourceKey(Kind.RUNNER, name), moved)
        self.control.apply(command)
        self.config.publish()

    def delete_other_nodes(self) -> None:
        """Delete every Gateway resource except that of node 0."""
        for number in range(1, self.size.nodes):
            key = ResourceKey(Kind.GATEWAY, node_name(number))
            self.control.apply(DeleteResource(f"delete/{number}", key, ANY_REVISION))
        self.config.publish()
