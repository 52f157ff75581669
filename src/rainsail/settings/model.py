"""All settings of one process: its own sections, and one section per component."""

from collections.abc import Iterable

from pydantic import Field, model_validator
from pydantic_settings import (
    BaseSettings,
    PydanticBaseSettingsSource,
    SettingsConfigDict,
)

from rainsail.batch.settings import BatchSettings
from rainsail.consensus.settings import ConsensusSettings
from rainsail.control.controllers.settings import ReconcilerSettings
from rainsail.control.settings import ControlSettings
from rainsail.emulator.settings import EngineSettings, MachineListSettings, WeightStoreSettings
from rainsail.experiment.trace.settings import RecordingSettings
from rainsail.gateway.openai.settings import CallerApiSettings
from rainsail.gateway.settings import GatewaySettings
from rainsail.settings.process import (
    AddressSection,
    ClientSection,
    EmulatorSection,
    EngineEntry,
    EnginePreset,
    GatewayEntry,
    LogSection,
    Name,
    PeerEntry,
    PlatformSection,
    ProcessSection,
    ReplicaEntry,
    RoleName,
)
from rainsail.state.settings import StateSettings
from rainsail.storage.settings import StorageSettings
from rainsail.wire.address import parse_address
from rainsail.wire.settings import TlsSettings, WireSettings

ENVIRONMENT_PREFIX = "RAINSAIL_"
NESTED_DELIMITER = "__"


class ProcessSettings(BaseSettings):
    """All settings of one process. Built by ``rainsail.settings.load``."""

    model_config = SettingsConfigDict(
        frozen=True,
        extra="forbid",
        env_prefix=ENVIRONMENT_PREFIX,
        env_nested_delimiter=NESTED_DELIMITER,
    )

    process: ProcessSection = Field(description="Identity of this process")
    addresses: AddressSection = Field(
        default=AddressSection(), description="Addresses that this process listens on"
    )
    peers: dict[Name, PeerEntry] = Field(
        default={}, description="Peers besides the replicas, by process name"
    )
    replicas: tuple[ReplicaEntry, ...] = Field(
        default=(), description="Replicas that the root group starts with"
    )
    gateways: tuple[GatewayEntry, ...] = Field(default=(), description="Gateways that `up` starts")
    engines: tuple[EngineEntry, ...] = Field(
        default=(), description="Emulated engines that the emulator role starts"
    )
    clients: ClientSection = Field(
        default=ClientSection(), description="What all clients of the process may hold together"
    )
    tls: TlsSettings | None = Field(
        default=None, description="Files for mutual TLS; without them only loopback is allowed"
    )
    platform: PlatformSection = Field(
        default=PlatformSection(), description="Services of the platform besides the engines"
    )
    logs: LogSection = Field(default=LogSection(), description="The ring buffer of log records")
    wire: WireSettings = Field(default=WireSettings(), description="Connections between processes")
    consensus: ConsensusSettings = Field(
        default=ConsensusSettings.model_validate({}), description="Replicated groups"
    )
    control: ControlSettings = Field(
        default=ControlSettings.model_validate({}),
        description="Resources, watches and their clients",
    )
    controllers: ReconcilerSettings = Field(
        default=ReconcilerSettings.model_validate({}), description="Reconcile loops of the leader"
    )
    state: StateSettings = Field(
        default=StateSettings.model_validate({}), description="The replicated state"
    )
    storage: StorageSettings = Field(
        default=StorageSettings.model_validate({}), description="The durable log"
    )
    gateway: GatewaySettings = Field(
        default=GatewaySettings.model_validate({}), description="Online serving"
    )
    caller_api: CallerApiSettings = Field(
        default=CallerApiSettings.model_validate({}), description="The callers' HTTP API"
    )
    recording: RecordingSettings = Field(
        default=RecordingSettings.model_validate({}), description="Recording of callers' traffic"
    )
    batch: BatchSettings = Field(default=BatchSettings.model_validate({}), description="Batch work")
    engine: EngineSettings = Field(
        default=EngineSettings.model_validate({}), description="Emulated engines"
    )
    emulator: EmulatorSection = Field(default=EmulatorSection(), description="The emulator role")
    weight_store: WeightStoreSettings = Field(
        default=WeightStoreSettings.model_validate({}), description="The emulated weight store"
    )
    machine_list: MachineListSettings = Field(
        default=MachineListSettings.model_validate({}), description="The emulated list of machines"
    )

    @classmethod
    def settings_customise_sources(
        cls,
        settings_cls: type[BaseSettings],
        init_settings: PydanticBaseSettingsSource,
        env_settings: PydanticBaseSettingsSource,
        dotenv_settings: PydanticBaseSettingsSource,
        file_secret_settings: PydanticBaseSettingsSource,
    ) -> tuple[PydanticBaseSettingsSource, ...]:
        """Use arguments only: ``settings.load`` has merged file, environment and flags already."""
        return (init_settings,)

    @model_validator(mode="after")
    def _check_fleet(self) -> "ProcessSettings":
        _check_unique("replicas: name", [entry.name for entry in self.replicas])
        _check_unique("gateways: name", [entry.name for entry in self.gateways])
        _check_unique("engines: runner", [entry.runner for entry in self.engines])
        _check_unique("address", self._listening())
        self._check_loopback()
        self._check_replica_role()
        return self

    def engine_settings(self, entry: EngineEntry) -> EngineSettings:
        """Return the settings of one emulated engine, by its preset."""
        if entry.preset == EnginePreset.POSITION:
            return EngineSettings.position()
        return self.engine

    def _listening(self) -> list[str]:
        found = [entry.address for entry in self.replicas]
        found += [entry.operator_api for entry in self.replicas if entry.operator_api]
        found += [entry.caller_api for entry in self.gateways]
        found += [entry.address for entry in self.gateways if entry.address]
        return found + [entry.address for entry in self.engines]

    def _check_loopback(self) -> None:
        if self.tls is not None:
            return
        internal = [self.addresses.internal, *(entry.address for entry in self.replicas)]
        internal += [entry.address for entry in self.peers.values()]
        for text in internal:
            if not parse_address(text).is_loopback():
                raise ValueError(f"tls: expected a section, as {text} is not a loopback address")

    def _check_replica_role(self) -> None:
        names = [entry.name for entry in self.replicas]
        if RoleName.REPLICA not in self.process.roles or not names:
            return
        if self.process.name not in names and not self.gateways:
            raise ValueError(
                f"process.name: expected one of the replicas ({', '.join(names)}) "
                f"for the replica role, got {self.process.name!r}"
            )


def _check_unique(what: str, values: Iterable[str]) -> None:
    seen: dict[str, None] = {}
    for value in values:
        if value in seen:
            raise ValueError(f"{what}: expected distinct values, {value!r} appears twice")
        seen[value] = None
