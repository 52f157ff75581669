"""The settings file of a node of a fleet that relays: one TOML file for each process."""

from enum import StrEnum
from pathlib import Path

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from rainsail.errors import Fault, FaultCode
from rainsail.mechanisms import DEFAULTS, Mechanisms
from rainsail.routing.warm_up_limiter import WarmUpBound
from rainsail.runtime.toml import parse_toml
from rainsail.tenancy.quota_terms import QuotaTerms
from rainsail.wire.address import parse_address

STEP = "settings.node"


class NodeKind(StrEnum):
    """Which role a process has."""

    GATEWAY = "gateway"
    CONTROLLER = "controller"
    STORAGE = "storage"


PORT_OFFSETS = {NodeKind.CONTROLLER: 0, NodeKind.STORAGE: 1, NodeKind.GATEWAY: 2}
"""Which of the peers' ports a role listens on: the same on every machine."""


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra="ignore")


class NodeSection(_Section):
    """Who the node is."""

    name: str = Field(min_length=1, description="Name of the machine, as operators call it")
    role: NodeKind = Field(description="gateway, controller or storage")
    zone: str = Field(default="", description="Zone of the machine")
    region: str = Field(default="", description="Region of the machine's zone")
    ip: str = Field(description="IP number that the other nodes reach it by")
    data_folder: str = Field(default="", description="Folder of its durable state")
    founding: bool = Field(
        default=False, description="The whole fleet starts for the first time, on empty disks"
    )
    losses: int = Field(
        default=1, ge=0, description="Machines with a disk that may be lost at one time"
    )
    zones: dict[str, str] = Field(
        default={}, description="The region of each zone of the fleet, by the zone's name"
    )


class PeersSection(_Section):
    """How the node finds the others."""

    first_port: int = Field(gt=0, lt=65536, description="First of the ports between nodes")
    last_port: int = Field(gt=0, lt=65536, description="Last of the ports between nodes")
    seeds: tuple[str, ...] = Field(description="IP:PORT of machines with a controller")


class ListenSection(_Section):
    """Where the node serves others than nodes."""

    clients: str = Field(default="", description="IP:PORT for clients (gateway)")
    readiness: str = Field(default="", description="IP:PORT for readiness checks (gateway)")
    control: str = Field(default="", description="IP:PORT for runners and operators (controller)")
    metrics: str = Field(default="", description="IP:PORT of the metrics page, empty for none")


class LimitsSection(_Section):
    """What the machine has."""

    disk_mb: int = Field(default=0, ge=0, description="Disk of the machine in MB")
    memory_mb: int = Field(
        default=0, ge=0, description="Memory that the process may use in MB; 0: no limit is known"
    )


class BoundsSection(_Section):
    """Times that the operator promises to others, in seconds."""

    grace_s: float = Field(default=8.0, gt=0, description="From SIGTERM until SIGKILL")
    keys_trusted_ms: float | None = Field(
        default=None,
        gt=0,
        description="How long keys are taken while too few controllers answer (none: always)",
    )
    results_kept_s: float = Field(
        default=600.0, gt=0, description="Results of a job that is over stay for this long"
    )


class QuotaSection(_Section):
    """How closely tenants' rates are kept over all gateways together."""

    window_s: float = Field(
        default=5.0, gt=0, description="Length of the windows in which admitted requests count"
    )
    overshoot: float = Field(
        default=0.1, ge=0, description="Share by which a window may pass rate x window + burst"
    )
    slack: float = Field(
        default=20.0, ge=0, description="Requests by which a window may pass it besides"
    )

    def terms(self) -> QuotaTerms:
        """Return what the quotas' decisions need."""
        return QuotaTerms(self.window_s, self.overshoot, self.slack)


class WarmUpSection(_Section):
    """How closely the rate of runners that warm up is kept over the fleet.

    In any second such a runner gets at most rate x overshoot + slack requests.
    """

    overshoot: float = Field(
        default=1.0, ge=1, description="Multiple of its rate that a runner may get in a second"
    )
    slack: float = Field(
        default=0.0, ge=0, description="Requests that it may get in a second besides"
    )

    def bound(self) -> WarmUpBound:
        """Return what the decisions on warm-ups need."""
        return WarmUpBound(self.overshoot, self.slack)


class NodeSettings(_Section):
    """The whole file."""

    node: NodeSection = Field(description="Who the node is")
    peers: PeersSection = Field(description="How the node finds the others")
    listen: ListenSection = Field(
        default=ListenSection(), description="Where the node serves others than nodes"
    )
    limits: LimitsSection = Field(default=LimitsSection(), description="What the machine has")
    bounds: BoundsSection = Field(
        default=BoundsSection(), description="Times that the operator promises to others"
    )
    quota: QuotaSection = Field(
        default=QuotaSection(), description="How closely tenants' rates are kept"
    )
    warm_up: WarmUpSection = Field(
        default=WarmUpSection(), description="How closely the rate of warming runners is kept"
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
            raise ValueError("peers: too few ports")
        for seed in self.peers.seeds:
            _check_seed(seed)
        return self

    def transport_port(self) -> int:
        """Return the port on which this node listens for other nodes."""
        return self.peers.first_port + PORT_OFFSETS[self.node.role]

    def process_name(self) -> str:
        """Return the name of the process: where its transport listens."""
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
    """Read and check a settings file; an INVALID fault names the place and what is wrong."""
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
