"""Settings sections that no single component owns: the process, its addresses, its fleet."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from rainsail.budget.sizing import DEFAULT_HELD_BYTES, BudgetLimits, budget_limits
from rainsail.wire.address import parse_address

FROZEN = ConfigDict(frozen=True, extra="forbid")
NAME_PATTERN = r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
"""Lower-case letters, digits, dots and dashes, at most 63 characters."""


def _check_address(text: str) -> str:
    parse_address(text)
    return text


Address = Annotated[str, AfterValidator(_check_address)]
"""``IP:PORT`` with an IP address, never a host name."""


class RoleName(StrEnum):
    """The roles that a process can run."""

    REPLICA = "replica"
    GATEWAY = "gateway"
    EMULATOR = "emulator"


class ProcessSection(BaseModel):
    """Identity of this process."""

    model_config = FROZEN

    name: Name = Field(description="Name of the process, unique in the fleet")
    fleet: Name = Field(description="Name of the fleet; processes of other fleets are refused")
    region: Name = Field(default="local", description="Region of the process")
    zone: Name = Field(description="Zone of the process")
    roles: tuple[RoleName, ...] = Field(
        default=(RoleName.REPLICA, RoleName.GATEWAY, RoleName.EMULATOR),
        min_length=1,
        description="Roles of `rainsail run`: replica, gateway, emulator; `up` runs all",
    )
    data_folder: Path = Field(
        default=Path("data"), description="Folder that holds every file the process writes"
    )


class AddressSection(BaseModel):
    """Addresses that this process listens on."""

    model_config = FROZEN

    internal: Address = Field(
        default="127.0.0.1:7300", description="IP:PORT of the protocol between processes"
    )
    operator_api: Address = Field(
        default="127.0.0.1:7301", description="IP:PORT of the operator API (replica role)"
    )
    caller_api: Address = Field(
        default="127.0.0.1:7302", description="IP:PORT of the caller API (gateway role)"
    )
    status: Address | None = Field(
        default=None, description="IP:PORT of /healthz, /readyz and /metrics; not served by default"
    )
    machine_list: Address | None = Field(
        default=None, description="IP:PORT of the emulated machine list (emulator role)"
    )


class PlatformSection(BaseModel):
    """Services of the platform besides the engines."""

    model_config = FROZEN

    machine_list: Address | None = Field(
        default=None,
        description="IP:PORT of the list of live and leaving machines, which replicas poll",
    )


class PeerEntry(BaseModel):
    """A process that this one may connect to."""

    model_config = FROZEN

    address: Address = Field(description="IP:PORT of the peer's internal protocol")
    zone: Name = Field(default="local", description="Zone of the peer")


class ReplicaEntry(BaseModel):
    """A replica of the root group."""

    model_config = FROZEN

    name: Name = Field(description="Process name of the replica")
    region: Name = Field(default="local", description="Region of the replica")
    zone: Name = Field(description="Zone of the replica")
    address: Address = Field(description="IP:PORT of its internal protocol")
    operator_api: Address | None = Field(
        default=None, description="IP:PORT of its operator API; for `up` and the command line"
    )


class GatewayEntry(BaseModel):
    """A gateway that `up` starts."""

    model_config = FROZEN

    name: Name = Field(description="Process name of the gateway")
    region: Name = Field(default="local", description="Region of the gateway")
    zone: Name = Field(description="Zone of the gateway")
    caller_api: Address = Field(description="IP:PORT of its caller API")
    address: Address | None = Field(
        default=None, description="IP:PORT of its internal protocol, when it listens"
    )


class ClientSection(BaseModel):
    """What callers, operators and readers of metrics may hold together in this process."""

    model_config = FROZEN

    held_bytes: int = Field(
        default=DEFAULT_HELD_BYTES, gt=0, description="Bytes that they may hold together"
    )
    connections: int = Field(
        default=0,
        ge=0,
        description="Their connections; 0: 0.45 of the descriptors beside 64 of the process's own",
    )

    def limits(self, descriptors: int) -> BudgetLimits:
        """Return the limits for a process that may have so many descriptors open, 0 for any."""
        return budget_limits(0, 0, descriptors, self.held_bytes, self.connections)


class EnginePreset(StrEnum):
    """Presets of the rates at which an emulated engine runs."""

    LANGUAGE_MODEL = "language_model"
    POSITION = "position"


class EngineEntry(BaseModel):
    """An emulated engine that the emulator role starts."""

    model_config = FROZEN

    runner: Name = Field(description="Name of the runner")
    region: Name = Field(default="local", description="Region of the runner")
    zone: Name = Field(description="Zone of the runner")
    service: Name = Field(description="Service that the runner belongs to")
    address: Address = Field(description="IP:PORT of the engine's HTTP API")
    process: Name | None = Field(
        default=None,
        description="Process that starts it under `rainsail run`; any with the role when left out",
    )
    preset: EnginePreset = Field(
        default=EnginePreset.LANGUAGE_MODEL,
        description="Rates: language_model (section `engine`) or position (very short answers)",
    )


class EmulatorSection(BaseModel):
    """What the emulator role records for tests that check executions."""

    model_config = FROZEN

    record_executions: bool = Field(
        default=False,
        description="Write each attempt that an engine runs to executions.jsonl of the data folder",
    )
    record_limit_bytes: int = Field(
        default=64 * 1024 * 1024, gt=0, description="Largest size of executions.jsonl"
    )


class LogSection(BaseModel):
    """The ring buffer of log records in memory."""

    model_config = FROZEN

    ring_records: int = Field(default=4096, gt=0, description="Records that the ring holds")
    print_level: str = Field(
        default="WARNING",
        pattern="^(DEBUG|INFO|WARNING|ERROR|CRITICAL)$",
        description="Records from this level up are printed to stderr as well",
    )
