"""The routing table: which service serves a request, and with which limits."""

from dataclasses import dataclass
from enum import StrEnum

from rainsail.cluster.warm_up import NO_TERMS, WarmUpTerms
from rainsail.routing.residency import AllowedRegions, allowed_regions
from rainsail.tenancy.tenants import ANONYMOUS, PUBLIC, Identity, KeyDigest, TenantDirectory


class RouteKind(StrEnum):
    """Kinds of routes by what may be repeated of their requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """One service of a split route and its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route. Times are seconds; ``shares`` has one entry unless the route is split.

    ``target_s`` is the latency target of an answer, ``gap_target_s`` the target for the longest
    pause of a stream. ``completion_s`` is the time within which all results of a job are
    due, counted from its acceptance (0: no limit); ``kept_s`` is how long after that an item is
    retried before it may be given up (0: without limit). ``max_queued_tokens`` limits the queued
    tokens of a tenant's jobs (0: no limit). A ``public`` route needs no API key. Requests may be
    served only in ``allowed_regions`` (empty: in all).
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
        """Tell whether a request that may have run may be sent to a second runner."""
        return self.kind == RouteKind.SAFE or (self.kind == RouteKind.STREAM and self.resumable)

    def split_service(self, service: str) -> str:
        """Return ``service`` if the route is split among several services, else an empty name."""
        return service if len(self.shares) > 1 else ""

    def allows(self, service: str) -> bool:
        """Tell whether a service may get this route's requests."""
        return any(share.service == service and share.weight > 0 for share in self.shares)


@dataclass(frozen=True, slots=True)
class Service:
    """The properties of a service, apart from its runners."""

    name: str
    max_connections: int
    generates: bool
    """Its runners process prompts, so that routing by cached prompt prefixes pays off."""
    warm_up: WarmUpTerms = NO_TERMS
    """The load that its runners may get while they warm up."""


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on a client's requests and on the idle time of its connections."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingTable:
    """One version of the table; matches a request to its host's route with the longest prefix."""

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
        """Return the route of a request; None if there is none."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def allowed_regions(self, route: Route, tenant: str) -> AllowedRegions:
        """Return the regions where a tenant's requests on a route may be served; None: all."""
        of_tenant = frozenset() if self.tenants is None else self.tenants.allowed_regions(tenant)
        return allowed_regions(route.allowed_regions, of_tenant)

    def identify(self, route: Route, key: KeyDigest | None) -> Identity | None:
        """Return the identity behind a request on a route; None if its key is not valid."""
        if self.tenants is None:
            return ANONYMOUS
        return PUBLIC if route.public else self.tenants.identify(key)

    def identify_job_call(self, host: str, key: KeyDigest | None) -> Identity | None:
        """Return the identity behind a call about a job; None if its key is not valid.

        A call without a key can only concern a job of a public route.
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
        """Return, by service, the load that its runners may get while they warm up."""
        return {name: service.warm_up for name, service in self.services.items()}

    def route_names(self) -> frozenset[str]:
        """Return the names of all routes."""
        return frozenset(route.name for route in self.routes)

    def batch_services(self) -> set[str]:
        """Return the services that run items."""
        batch = [route for route in self.routes if route.kind == RouteKind.BATCH]
        return {share.service for route in batch for share in route.shares}
