"""State and dependencies that all relayed requests of a gateway share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from rainsail.budget.client_budget import ClientBudget
from rainsail.cluster.messages import RunnerRecord
from rainsail.cluster.registry import RunnerRegistry
from rainsail.http.pool import ConnectionPool
from rainsail.quarantine.guard import NoGuard, RequestGuard
from rainsail.relay.origin_client import StreamOrigins, UnknownOrigins
from rainsail.relay.placement import Placed
from rainsail.relay.planned_stop import PlannedStop
from rainsail.relay.protocol import RelayProtocol
from rainsail.relay.route_services import RouteServices
from rainsail.relay.settings import RelaySettings
from rainsail.relay.split import WeightedServicePicker
from rainsail.relay.stream_beginnings import StreamBeginnings
from rainsail.relay.table import Route, RoutingTable
from rainsail.relay.version_quorum import NoVersionQuorum, VersionQuorum
from rainsail.routing.choice import RunnerChooser
from rainsail.routing.load import RunnerLoads
from rainsail.routing.messages import PlaceRequest
from rainsail.routing.overload import OverloadGuard
from rainsail.routing.prefix_memory import PrefixMemory
from rainsail.routing.residency import AllowedRegions, RegionMap
from rainsail.runtime.clock import Clock
from rainsail.tenancy.quota_decision import ADMITTED, QuotaDecision
from rainsail.tenancy.tenants import Identity

NO_REGIONS = RegionMap({})


@dataclass(slots=True)
class RelayContext:
    """One per gateway; ``table`` is None until a routing table is known.

    The callables at the end are no-ops until the gateway sets them.
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
    origins: StreamOrigins
    version_quorum: VersionQuorum
    stop: PlannedStop
    budget: ClientBudget
    """Counts what is held of the answers of runners, as well as what clients hold."""
    table: RoutingTable | None = None
    route_services: RouteServices = field(default_factory=RouteServices)
    place: Callable[[PlaceRequest, Placed, bool], None] = lambda request, placed, must: placed(None)
    """Asks the leader to place a request; calls back with None if the gateway has to choose."""
    admit: Callable[[Identity, Callable[[QuotaDecision], None]], None] = lambda identity, decided: (
        decided(ADMITTED)
    )
    """Checks a request against its tenant's quota; calls back with the decision."""
    give_back: Callable[[Identity, QuotaDecision], None] = lambda identity, decision: None
    """Refunds the quota of a request that was admitted and will not run."""
    announce_prefill: Callable[[str, float], None] = lambda runner, prefill_s: None
    """Announces to the other gateways for how many seconds a long prefill occupies a runner.

    Negative seconds take an earlier announcement back.
    """

    def put_in_force(self, table: RoutingTable) -> None:
        """Replace the routing table."""
        self.table = table
        self.route_services.put_in_force(table.routes, self.clock.seconds())

    def allowed_regions(self, route: Route, identity: Identity) -> AllowedRegions:
        """Return the regions that the current table allows for a request; None means all."""
        assert self.table is not None
        return self.table.allowed_regions(route, identity.tenant)

    def ready(self, service: str, allowed: AllowedRegions) -> list[RunnerRecord]:
        """Return a service's ready runners in the allowed regions."""
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
    origins: StreamOrigins | None = None,
    version_quorum: VersionQuorum | None = None,
    budget: ClientBudget | None = None,
) -> RelayContext:
    """Build a gateway's context; ``budget`` is that of the process, by default one of its own."""
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
        origins or UnknownOrigins(),
        version_quorum or NoVersionQuorum(),
        PlannedStop(clock),
        budget or ClientBudget(clock.seconds),
    )
