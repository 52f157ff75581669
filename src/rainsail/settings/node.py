"""Settings of a node of a relaying fleet: one TOML file per process."""

from enum import StrEnum
from pathlib import Path

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from rainsail.budget.sizing import MEGABYTE, BudgetLimits, budget_limits
from rainsail.errors import Fault, FaultCode
from rainsail.mechanisms import DEFAULTS, Mechanisms
from rainsail.routing.warm_up_limiter import WarmUpBound
from rainsail.runtime.toml import parse_toml
from rainsail.tenancy.quota_terms import QuotaTerms
from rainsail.wire.address import parse_address

STEP = "settings.node"


class NodeKind(StrEnum):
    """The role of a node."""

    GATEWAY = "gateway"
    CONTROLLER = "controller"
    STORAGE = "storage"


PORT_OFFSETS = {NodeKind.CONTROLLER: 0, NodeKind.STORAGE: 1, NodeKind.GATEWAY: 2}
"""Offset of each role's port from ``peers.first_port``; the same on every machine."""


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra="ignore")


class NodeSection(_Section):
    """Identity of the node."""

    name: str = Field(min_length=1, description="Name of the machine, for operators")
    role: NodeKind = Field(description="gateway, controller or storage")
    zone: str = Field(default="", description="Zone of the machine")
    region: str = Field(default="", description="Region of the machine's zone")
    ip: str = Field(description="IP address at which the other nodes reach it")
    data_folder: str = Field(default="", description="Folder of the node's durable state")
    founding: bool = Field(
        default=False,
        description="Bootstrap: the whole fleet starts for the first time, with empty disks",
    )
    losses: int = Field(
        default=1, ge=0, description="Machines with a disk that may be lost at the same time"
    )
    zones: dict[str, str] = Field(
        default={}, description="The region of each zone of the fleet, by the zone's name"
    )


class PeersSection(_Section):
    """How the node finds the other nodes."""

    first_port: int = Field(gt=0, lt=65536, description="First of the ports between nodes")
    last_port: int = Field(gt=0, lt=65536, description="Last of the ports between nodes")
    seeds: tuple[str, ...] = Field(description="IP:PORT of machines with a controller")


class ListenSection(_Section):
    """Addresses on which the node serves clients, runners, operators and probes."""

    clients: str = Field(default="", description="IP:PORT for clients (gateway)")
    readiness: str = Field(default="", description="IP:PORT for readiness checks (gateway)")
    control: str = Field(default="", description="IP:PORT for runners and operators (controller)")
    metrics: str = Field(default="", description="IP:PORT of the metrics page, empty for none")


class LimitsSection(_Section):
    """Resources of the machine."""

    disk_mb: int = Field(default=0, ge=0, description="Disk of the machine in MB")
    memory_mb: int = Field(
        default=0, ge=0, description="Memory that the process may use in MB; 0: no known limit"
    )
    descriptors: int = Field(
        default=0,
        ge=0,
        description="Descriptors that the process may have open; 0: the operating system's limit",
    )
    held_mb: int = Field(
        default=0,
        ge=0,
        description="Memory in MB that all clients may hold together; 0: 0.6 of what `memory_mb` "
        "leaves beside the process itself, 8 at least, and 256 without a known limit",
    )
    client_connections: int = Field(
        default=0,
        ge=0,
        description="Connections of clients; 0: 0.45 of the descriptors beside 64 of the process's "
        "own, and 4096 without a known limit",
    )
    stall_timeout_s: float = Field(
        default=10.0,
        gt=0,
        description="A client that takes nothing of its answer for this long is closed",
    )


class BoundsSection(_Section):
    """Time limits that the operator sets; each key names its unit."""

    grace_s: float = Field(default=8.0, gt=0, description="Time between SIGTERM and SIGKILL")
    keys_trusted_ms: float | None = Field(
        default=None,
        gt=0,
        description="How long keys stay valid while too few controllers answer (none: always)",
    )
    results_kept_s: float = Field(
        default=600.0, gt=0, description="How long the results of a finished job are kept"
    )


class QuotaSection(_Section):
    """How closely tenants' request rates are enforced across all gateways."""

    window_s: float = Field(
        default=5.0,
        gt=0,
        description="Length of the windows that admitted requests are counted in",
    )
    overshoot: float = Field(
        default=0.1, ge=0, description="Fraction by which a window may exceed rate x window + burst"
    )
    slack: float = Field(
        default=20.0,
        ge=0,
        description="Requests by which a window may further exceed that limit",
    )

    def terms(self) -> QuotaTerms:
        """Return the terms for the allocation of quotas."""
        return QuotaTerms(self.window_s, self.overshoot, self.slack)


class WarmUpSection(_Section):
    """How closely the request rate of warming runners is enforced across the fleet.

    In any second a warming runner gets at most rate x overshoot + slack requests.
    """

    overshoot: float = Field(
        default=1.0, ge=1, description="Multiple of its rate that a runner may get in a second"
    )
    slack: float = Field(
        default=0.0, ge=0, description="Requests that it may get in a second in addition"
    )

    def bound(self) -> WarmUpBound:
        """Return the bound for the warm-up limiter."""
        return WarmUpBound(self.overshoot, self.slack)


class NodeSettings(_Section):
    """All settings of one node."""

    node: NodeSection = Field(description="Identity of the node")
    peers: PeersSection = Field(description="How the node finds the other nodes")
    listen: ListenSection = Field(
        default=ListenSection(),
        description="Addresses on which the node serves clients, runners, operators and probes",
    )
    limits: LimitsSection = Field(default=LimitsSection(), description="Resources of the machine")
    bounds: BoundsSection = Field(
        default=BoundsSection(), description="Time limits that the operator sets"
    )
    quota: QuotaSection = Field(
        default=QuotaSection(), description="How closely tenants' request rates are enforced"
    )
    warm_up: WarmUpSection = Field(
        default=WarmUpSection(),
        description="How closely the request rate of warming runners is enforced",
    )
    mechanisms: Mechanisms = Field(
        default=DEFAULTS, description="Policies that can be turned off to measure them"
    )

    @model_validator(mode="after")
    def _check(self) -> "NodeSettings":
        if self.node.role != NodeKind.GATEWAY and not self.node.data_folder:
            raise ValueError("node.data_folder: a controller or storage node needs one")
        if self.node.role == NodeKind.GATEWAY and not self.listen.clients:
            raise ValueError("listen.clients: a gateway needs it")
        if self.node.role == NodeKind.CONTROLLER and not self.listen.control:
            raise ValueError("listen.control: a controller needs it")
        if self.peers.last_port - self.peers.first_port < max(PORT_OFFSETS.values()):
            raise ValueError("peers: too few ports from first_port to last_port")
        for seed in self.peers.seeds:
            _check_seed(seed)
        return self

    def transport_port(self) -> int:
        """Return the port on which this node listens for other nodes."""
        return self.peers.first_port + PORT_OFFSETS[self.node.role]

    def budget_limits(self, resident_bytes: int, descriptor_limit: int) -> BudgetLimits:
        """Return what all clients of the process may hold together.

        ``resident_bytes`` is what the process itself needs, ``descriptor_limit`` the operating
        system's limit on open descriptors, 0 for none.
        """
        limits = self.limits
        stated = [each for each in (limits.descriptors, descriptor_limit) if each]
        return budget_limits(
            limits.memory_mb * MEGABYTE,
            resident_bytes,
            min(stated, default=0),
            limits.held_mb * MEGABYTE,
            limits.client_connections,
        )

    def process_name(self) -> str:
        """Return the name of the process: the IP:PORT that its transport listens on."""
        return f"{self.node.ip}:{self.transport_port()}"

    def seed_controllers(self) -> tuple[str, ...]:
        """Return the process names of the controllers on the seeds' machines, sorted."""
        port = self.peers.first_port + PORT_OFFSETS[NodeKind.CONTROLLER]
        return tuple(sorted({f"{parse_address(seed).host}:{port}" for seed in self.peers.seeds}))


def _check_seed(seed: str) -> None:
    try:
        parse_address(seed)
    except ValueError as error:
        raise ValueError(f"peers.seeds: {error}") from None


def load_node_settings(path: Path) -> Result[NodeSettings, Fault]:
    """Read and validate a settings file; an INVALID fault names the file, key and problem."""
    try:
        values = parse_toml(path.read_text(encoding="utf-8"))
        return Ok(NodeSettings.model_validate(values))
    except ValidationError as error:
        return Error(_fault(path, _first_problem(error)))
    except (OSError, ValueError) as error:
        return Error(_fault(path, str(error)))


def _first_problem(error: ValidationError) -> str:
    problem = error.errors()[0]
    place = ".".join(str(part) for part in problem["loc"])
    return f"{place}: {problem['msg']}" if place else str(problem["msg"])


def _fault(path: Path, detail: str) -> Fault:
    return Fault(FaultCode.INVALID, STEP, f"{path}: {detail}")
