"""Configuration of a replica node."""

from dataclasses import dataclass, field

from rainsail.batch.settings import BatchSettings
from rainsail.consensus.settings import ConsensusSettings
from rainsail.control.controllers.settings import ReconcilerSettings
from rainsail.control.settings import ControlSettings
from rainsail.state.settings import StateSettings
from rainsail.storage.settings import StorageSettings


@dataclass(frozen=True, slots=True)
class ReplicaConfig:
    """The replica's name, its fleet, the list of all replicas, and its settings."""

    name: str
    fleet: str
    replicas: tuple[str, ...]
    consensus: ConsensusSettings = field(default_factory=ConsensusSettings)
    control: ControlSettings = field(default_factory=ControlSettings)
    controllers: ReconcilerSettings = field(default_factory=ReconcilerSettings)
    state: StateSettings = field(default_factory=StateSettings)
    storage: StorageSettings = field(default_factory=StorageSettings)
    batch: BatchSettings = field(default_factory=BatchSettings)
