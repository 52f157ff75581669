"""Parsing and validation of an operator's routing table in JSON."""

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from rainsail.cluster.warm_up import WarmUpTerms
from rainsail.errors import Fault, FaultCode
from rainsail.relay.table import (
    ClientLimits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    ServiceShare,
)
from rainsail.tenancy.tenants import RateLimit, TenantDirectory, TenantError, make_tenant

STEP = "fleet_api.tables"


class _Part(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class RouteBody(_Part):
    """One route; ``services`` maps each service to its weight."""

    name: str = Field(min_length=1)
    host: str = Field(min_length=1)
    prefix: str = Field(pattern=r"^/(.*/)?$")
    kind: RouteKind
    services: dict[str, float]
    timeout_s: float = Field(gt=0)
    target_s: float = Field(gt=0)
    max_attempts: int = Field(default=1, ge=1)
    priority: int = 0
    resumable: bool = False
    gap_target_s: float = Field(default=0.0, ge=0)
    completion_s: float = Field(default=0.0, ge=0)
    kept_s: float = Field(default=0.0, ge=0)
    max_queued_tokens: int = Field(default=0, ge=0)
    public: bool = False
    allowed_regions: tuple[str, ...] = ()

    @model_validator(mode="after")
    def _check(self) -> "RouteBody":
        weights = self.services.values()
        if any(weight < 0 for weight in weights) or sum(weights) <= 0:
            raise ValueError("the weights must be 0 or more and not all 0")
        return self


class ServiceBody(_Part):
    """One service."""

    name: str = Field(min_length=1)
    max_connections: int = Field(default=0, ge=0)
    generates: bool = False
    warm_up_per_s: float = Field(default=0.0, ge=0)
    warm_up_s: float = Field(default=0.0, ge=0)


class TenantBody(_Part):
    """One tenant and its API keys; a rate of 0 means no limit."""

    name: str
    keys: tuple[str, ...] = Field(default=(), repr=False)
    rate_per_s: float = Field(default=0.0, ge=0)
    burst: float = Field(default=0.0, ge=0)
    priority: int | None = Field(default=None, ge=0)
    allowed_regions: tuple[str, ...] = ()


class LimitsBody(_Part):
    """Limits on clients' requests."""

    max_header_bytes: int = Field(default=16 * 1024, gt=0)
    max_body_bytes: int = Field(default=4 * 1024 * 1024, gt=0)
    header_timeout_s: float = Field(default=3.0, gt=0)
    idle_timeout_s: float = Field(default=15.0, gt=0)


class TableBody(_Part):
    """A complete routing table."""

    version: int = Field(gt=0)
    routes: tuple[RouteBody, ...]
    services: tuple[ServiceBody, ...]
    limits: LimitsBody = LimitsBody()
    tenants: tuple[TenantBody, ...] | None = None

    @model_validator(mode="after")
    def _check(self) -> "TableBody":
        known = {service.name for service in self.services}
        places = [(route.host.lower(), route.prefix) for route in self.routes]
        if len(set(places)) < len(places):
            raise ValueError("two routes share host and prefix")
        unknown = {name for route in self.routes for name in route.services} - known
        if unknown:
            raise ValueError(f"unknown services: {', '.join(sorted(unknown))}")
        return self


def read_table(content: bytes) -> Result[RoutingTable, Fault]:
    """Parse a table; the INVALID fault names the first invalid field."""
    try:
        body = TableBody.model_validate_json(content)
    except ValidationError as error:
        problem = error.errors()[0]
        place = ".".join(str(part) for part in problem["loc"])
        return Error(Fault(FaultCode.INVALID, STEP, f"{place}: {problem['msg']}"))
    try:
        tenants = _tenants(body.tenants)
    except TenantError as error:
        return Error(Fault(FaultCode.INVALID, STEP, f"tenants: {error}"))
    routes = tuple(_route(route) for route in body.routes)
    services = tuple(map(_service, body.services))
    limits = ClientLimits(
        body.limits.max_header_bytes,
        body.limits.max_body_bytes,
        body.limits.header_timeout_s,
        body.limits.idle_timeout_s,
    )
    return Ok(RoutingTable(body.version, routes, services, limits, tenants))


def _service(body: ServiceBody) -> Service:
    warm_up = WarmUpTerms(body.warm_up_per_s, body.warm_up_s)
    return Service(body.name, body.max_connections, body.generates, warm_up)


def _tenants(bodies: tuple[TenantBody, ...] | None) -> TenantDirectory | None:
    if bodies is None:
        return None
    return TenantDirectory(
        make_tenant(
            body.name,
            body.keys,
            RateLimit(body.rate_per_s, body.burst),
            body.priority,
            body.allowed_regions,
        )
        for body in bodies
    )


def _route(body: RouteBody) -> Route:
    shares = tuple(ServiceShare(name, weight) for name, weight in body.services.items())
    return Route(
        body.name,
        body.host,
        body.prefix,
        body.kind,
        shares,
        body.timeout_s,
        body.target_s,
        body.max_attempts,
        body.priority,
        body.resumable,
        body.gap_target_s,
        body.completion_s,
        body.max_queued_tokens,
        body.public,
        frozenset(body.allowed_regions),
        body.kept_s,
    )
