"""Specs and statuses of every resource kind.

A spec is declared by an operator (or, for Gateway and Session, by a gateway); a status is reported
by the system. All are frozen records with one encoding for the wire and the log.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


class Kind(StrEnum):
    """The resource kinds."""

    SERVICE = "Service"
    MODEL_VERSION = "ModelVersion"
    ADAPTER = "Adapter"
    SESSION = "Session"
    TENANT = "Tenant"
    RUNNER = "Runner"
    GATEWAY = "Gateway"
    REPLICA = "Replica"


class RequestClass(StrEnum):
    """The class of a request: online, batch, or online and never to be executed twice."""

    ONLINE = "online"
    BATCH = "batch"
    NON_REPEATABLE = "non_repeatable"


class RunnerRole(StrEnum):
    """The kinds of requests that a runner's engine takes."""

    MIXED = "mixed"
    ONLINE_ONLY = "online_only"
    BATCH_ONLY = "batch_only"


@wire_type("ServiceSpec")
@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A callable model service; callers name it as ``model``.

    ``active_version`` names the ModelVersion to serve (empty: none yet), ``runners`` is the number
    of runners that must have it ready. ``batch_weight`` sets the site's trade-off between batch
    throughput (1.0) and online tail latency (0.0).
    """

    active_version: str = ""
    runners: int = 1
    default_class: RequestClass = RequestClass.ONLINE
    batch_weight: float = 0.5


@wire_type("ModelVersionSpec")
@dataclass(frozen=True, slots=True)
class ModelVersionSpec:
    """One version of a service's weights in the weight store."""

    service: str
    weights: str
    weight_bytes: int


@wire_type("AdapterSpec")
@dataclass(frozen=True, slots=True)
class AdapterSpec:
    """An adapter: a small set of weights loaded in addition to a service's active version."""

    service: str
    weights: str
    weight_bytes: int


@wire_type("SessionSpec")
@dataclass(frozen=True, slots=True)
class SessionSpec:
    """A long-lived session of one tenant with one service."""

    tenant: str
    service: str
    adapter: str = ""


@wire_type("TenantSpec")
@dataclass(frozen=True, slots=True)
class TenantSpec:
    """A tenant's limits and keys.

    ``tokens_per_second`` and ``burst_tokens`` limit its online tokens over the whole fleet;
    ``weight`` is its relative share under contention. Key hashes are hex SHA-256 of the API keys.
    """

    tokens_per_second: float
    burst_tokens: float
    weight: float = 1.0
    key_hashes: tuple[str, ...] = ()
    operator: bool = False


@wire_type("RunnerSpec")
@dataclass(frozen=True, slots=True)
class RunnerSpec:
    """A runner: one model engine. ``address`` is the base URL of its engine API."""

    address: str
    region: str
    zone: str
    service: str
    drain: bool = False
    role: RunnerRole = RunnerRole.MIXED
    batch_slots: int = 16


@wire_type("GatewaySpec")
@dataclass(frozen=True, slots=True)
class GatewaySpec:
    """A gateway process; registered by the gateway itself when it starts."""

    region: str
    zone: str
    incarnation: str
    drain: bool = False


@wire_type("ReplicaSpec")
@dataclass(frozen=True, slots=True)
class ReplicaSpec:
    """A replica process as declared by the operator; ``drain`` asks it to leave its groups."""

    region: str
    zone: str
    drain: bool = False


Spec = (
    ServiceSpec
    | ModelVersionSpec
    | AdapterSpec
    | SessionSpec
    | TenantSpec
    | RunnerSpec
    | GatewaySpec
    | ReplicaSpec
)

SPEC_TYPES: dict[Kind, type] = {
    Kind.SERVICE: ServiceSpec,
    Kind.MODEL_VERSION: ModelVersionSpec,
    Kind.ADAPTER: AdapterSpec,
    Kind.SESSION: SessionSpec,
    Kind.TENANT: TenantSpec,
    Kind.RUNNER: RunnerSpec,
    Kind.GATEWAY: GatewaySpec,
    Kind.REPLICA: ReplicaSpec,
}


@wire_type("Condition")
@dataclass(frozen=True, slots=True)
class Condition:
    """One statement about a resource, and the revision of the resource that it refers to."""

    type: str
    value: bool
    reason: str
    revision: int


@wire_type("RunnerStatus")
@dataclass(frozen=True, slots=True)
class RunnerStatus:
    """What is loaded on a runner, under which fence, and whether it takes work.

    ``fence`` is the highest order number sent to the engine; engines refuse orders with lower ones.
    """

    loaded_version: str = ""
    loading_version: str = ""
    adapters: tuple[str, ...] = ()
    fence: int = 0
    ready: bool = False
    reachable: bool = True


@wire_type("SessionStatus")
@dataclass(frozen=True, slots=True)
class SessionStatus:
    """Where a session is located. ``fence`` rises with every move; only its holder may use it."""

    runner: str = ""
    gateway: str = ""
    fence: int = 0
    turns: int = 0


@wire_type("ServiceStatus")
@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """How many runners serve the active version, and the last version fully rolled out."""

    ready_runners: int = 0
    ready_version: str = ""


Status = RunnerStatus | SessionStatus | ServiceStatus


@wire_type("ResourceKey")
@dataclass(frozen=True, slots=True)
class ResourceKey:
    """Identifies a resource."""

    kind: Kind
    name: str


@wire_record("Resource")
@dataclass(frozen=True, slots=True)
class Resource:
    """A resource as stored.

    ``revision`` is the store revision of the last change of any part of it, ``generation``
    the store revision of the last change of its spec.
    """

    key: ResourceKey
    spec: Spec
    revision: int
    generation: int
    status: Status | None = None
    conditions: tuple[Condition, ...] = field(default=())


class EventType(StrEnum):
    """What happened to a resource."""

    PUT = "put"
    DELETED = "deleted"


@wire_type("WatchEvent")
@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change as seen by a watch; for DELETED, ``resource`` is the last one stored."""

    type: EventType
    revision: int
    resource: Resource
