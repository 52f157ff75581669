"""The routing table: which service a request goes to, and within what bounds."""

from dataclasses import dataclass
from enum import StrEnum

from rainsail.cluster.warm_up import NO_TERMS, WarmUpTerms
from rainsail.routing.residency import AllowedRegions, allowed_regions
from rainsail.tenancy.tenants import ANONYMOUS, PUBLIC, Identity, KeyDigest, TenantDirectory


class RouteKind(StrEnum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """One part of a split and its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route. Times are seconds; ``shares`` holds one entry unless the route is split.

    ``target_s`` is the time within which an answer is worth most, ``gap_target_s`` the longest
    pause of a stream that still is in time, ``completion_s`` the time within which all results of
    a job are due, counted from its acceptance (0: no time is set), ``kept_s`` how long after that
    an item is tried before it may be given up (0: without end), ``max_queued_tokens`` how many
    tokens of a tenant's jobs may wait at once (0: any number). A ``public`` route wants no key. Its
    requests may be served in the regions ``allowed_regions`` alone (empty: in all).
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_s: float
    max_attempts: int = 1
    priority: int = 0
    resumable: bool = False
    gap_target_s: float = 0.0
    completion_s: float = 0.0
    max_queued_tokens: int = 0
    public: bool = False
    allowed_regions: frozenset[str] = frozenset()
    kept_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may go to a second runner after it may have run at one."""
        return self.kind == RouteKind.SAFE or (self.kind == RouteKind.STREAM and self.resumable)

    def split_service(self, service: str) -> str:
        """Return a service of this route if it is split among several, else an empty name."""
        return service if len(self.shares) > 1 else ""

    def allows(self, service: str) -> bool:
        """Tell whether a service may get this route's requests."""
        return any(share.service == service and share.weight > 0 for share in self.shares)


@dataclass(frozen=True, slots=True)
class Service:
    """What is known of a service beside its runners."""

    name: str
    max_connections: int
    generates: bool
    """Its runners work on prompts, so that shared prompt parts are worth something."""
    warm_up: WarmUpTerms = NO_TERMS
    """What its runners bear while they warm up."""


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take or rest."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingTable:
    """One whole version; finds the route with the longest prefix of a host."""

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        limits: ClientLimits,
        tenants: TenantDirectory | None = None,
    ) -> None:
        """``tenants`` is None where requests need no key."""
        self.tenants = tenants
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.limits = limits
        by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            by_host.setdefault(route.host.lower(), []).append(route)
        self._by_host = by_host

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None when there is none."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def allowed_regions(self, route: Route, tenant: str) -> AllowedRegions:
        """Return where a tenant's requests on a route may be served; None stands for everywhere."""
        of_tenant = frozenset() if self.tenants is None else self.tenants.allowed_regions(tenant)
        return allowed_regions(route.allowed_regions, of_tenant)

    def identify(self, route: Route, key: KeyDigest | None) -> Identity | None:
        """Return on whose behalf a request on a route comes; None when its key is nobody's."""
        if self.tenants is None:
            return ANONYMOUS
        return PUBLIC if route.public else self.tenants.identify(key)

    def identify_job_call(self, host: str, key: KeyDigest | None) -> Identity | None:
        """Return on whose behalf a call about a job comes.

        Without a key it can only be about a job of a public route.
        """
        if self.tenants is None:
            return ANONYMOUS
        if key is not None or not self._has_public_batch(host):
            return self.tenants.identify(key)
        return PUBLIC

    def _has_public_batch(self, host: str) -> bool:
        routes = self._by_host.get(host.lower(), ())
        return any(route.public and route.kind == RouteKind.BATCH for route in routes)

    def warm_up_terms(self) -> dict[str, WarmUpTerms]:
        """Return what the runners of each service bear while they warm up."""
        return {name: service.warm_up for name, service in self.services.items()}

    def route_names(self) -> frozenset[str]:
        """Return the names of all routes."""
        return frozenset(route.name for route in self.routes)

    def batch_services(self) -> set[str]:
        """Return the services that run items."""
        batch = [route for route in self.routes if route.kind == RouteKind.BATCH]
        return {share.service for route in batch for share in route.shares}
