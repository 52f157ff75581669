"""What all relayed requests of a gateway share: its knowledge, and calls to its other parts."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from rainsail.cluster.messages import RunnerRecord
from rainsail.cluster.registry import RunnerRegistry
from rainsail.http.pool import ConnectionPool
from rainsail.quarantine.guard import NoGuard, RequestGuard
from rainsail.relay.placement import Placed
from rainsail.relay.protocol import RelayProtocol
from rainsail.relay.settings import RelaySettings
from rainsail.relay.split import WeightedServicePicker
from rainsail.relay.stream_beginnings import StreamBeginnings
from rainsail.relay.table import Route, RoutingTable
from rainsail.routing.choice import RunnerChooser
from rainsail.routing.load import RunnerLoads
from rainsail.routing.messages import PlaceRequest
from rainsail.routing.overload import OverloadGuard
from rainsail.routing.prefix_memory import PrefixMemory
from rainsail.routing.residency import AllowedRegions, RegionMap
from rainsail.runtime.clock import Clock
from rainsail.tenancy.tenants import Identity

NO_REGIONS = RegionMap({})


@dataclass(slots=True)
class RelayContext:
    """One for each gateway; ``table`` is None until a routing table is known.

    The callables at the end do nothing until the gateway connects them.
    """

    zone: str
    clock: Clock
    registry: RunnerRegistry
    pool: ConnectionPool
    protocol: RelayProtocol
    loads: RunnerLoads
    prefixes: PrefixMemory
    chooser: RunnerChooser
    split: WeightedServicePicker
    settings: RelaySettings
    overload: OverloadGuard
    regions: RegionMap
    guard: RequestGuard
    beginnings: StreamBeginnings
    table: RoutingTable | None = None
    place: Callable[[PlaceRequest, Placed, bool], None] = lambda request, placed, must: placed(None)
    """Asks where a request should go; calls back with None when the gateway has to choose."""
    admit: Callable[[Identity, Callable[[float], None]], None] = lambda identity, done: done(0.0)
    """Decides whether a tenant's quota allows a request: calls back with 0, or with the wait."""
    give_back: Callable[[Identity], None] = lambda identity: None
    """Takes back an admission of a request that has not run and never will."""
    announce_prefill: Callable[[str, float], None] = lambda runner, prefill_s: None
    """Tells the other gateways that the prefill of a long prompt occupies a runner, in seconds."""

    def allowed_regions(self, route: Route, identity: Identity) -> AllowedRegions:
        """Return where a request may be served by the table in force; None: everywhere."""
        assert self.table is not None
        return self.table.allowed_regions(route, identity.tenant)

    def ready(self, service: str, allowed: AllowedRegions) -> list[RunnerRecord]:
        """Return the runners of a service that may get a request of some regions."""
        ready = self.registry.ready(service)
        return [record for record in ready if self.regions.allows(allowed, record.zone)]


def make_context(
    zone: str,
    clock: Clock,
    registry: RunnerRegistry,
    pool: ConnectionPool,
    protocol: RelayProtocol,
    random: Random,
    settings: RelaySettings,
    regions: RegionMap = NO_REGIONS,
    guard: RequestGuard | None = None,
) -> RelayContext:
    """Put a gateway's context together."""
    loads = RunnerLoads(settings.mechanisms)
    prefixes = PrefixMemory(settings.mechanisms)
    chooser = RunnerChooser(
        loads, prefixes, random, settings.choice, settings.mechanisms, registry.is_warming
    )
    split = WeightedServicePicker(random)
    return RelayContext(
        zone,
        clock,
        registry,
        pool,
        protocol,
        loads,
        prefixes,
        chooser,
        split,
        settings,
        OverloadGuard(random, settings.overload),
        regions,
        guard or NoGuard(),
        StreamBeginnings(),
    )
