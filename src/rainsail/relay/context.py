"""What all relayed requests of a gateway share."""

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
from rainsail.relay.split import SplitPicker
from rainsail.relay.table import Route, RoutingTable
from rainsail.routing.choice import RunnerChooser
from rainsail.routing.load import LoadBook
from rainsail.routing.messages import PlaceRequest
from rainsail.routing.overload import OverloadGuard
from rainsail.routing.prefix_memory import PrefixMemory
from rainsail.routing.residency import AllowedRegions, RegionMap
from rainsail.runtime.clock import Clock
from rainsail.tenancy.tenants import Identity

NO_REGIONS = RegionMap({})


@dataclass(slots=True)
class RelayContext:
    """The gateway's knowledge and its ways out; ``table`` is None until one is known."""

    zone: str
    clock: Clock
    registry: RunnerRegistry
    pool: ConnectionPool
    protocol: RelayProtocol
    loads: LoadBook
    prefixes: PrefixMemory
    chooser: RunnerChooser
    split: SplitPicker
    settings: RelaySettings
    overload: OverloadGuard
    regions: RegionMap
    guard: RequestGuard
    table: RoutingTable | None = None
    place: Callable[[PlaceRequest, Placed, bool], None] = lambda ask, placed, must: placed(None)
    """Asks where a request should go; calls back with None when the gateway has to choose."""
    admit: Callable[[Identity, Callable[[float], None]], None] = lambda identity, done: done(0.0)
    """Decides whether a tenant's quota allows a request: calls back with 0, or with the wait."""
    give_back: Callable[[Identity], None] = lambda identity: None
    """Takes back an admission of a request that has not run and never will."""
    tell_reading: Callable[[str, float], None] = lambda runner, reading_s: None
    """Tells the other gateways that a runner reads a long prompt, for that many seconds."""

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
    loads = LoadBook(settings.mechanisms)
    prefixes = PrefixMemory(settings.mechanisms)
    chooser = RunnerChooser(
        loads, prefixes, random, settings.choice, settings.mechanisms, registry.is_warming
    )
    split = SplitPicker(random)
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
    )
