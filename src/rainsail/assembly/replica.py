"""A replica: one member of the root group with its control service and controllers."""

from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, inlineCallbacks

from rainsail.assembly.machine_watch import MachineWatch
from rainsail.assembly.seams import ReplicaSeams
from rainsail.batch.settings import BatchSettings
from rainsail.consensus.driver import GroupDriver
from rainsail.consensus.membership import MemberSpec
from rainsail.consensus.settings import ConsensusSettings
from rainsail.control.controllers.manager import ControllerManager
from rainsail.control.controllers.settings import ControllerSettings
from rainsail.control.leader_client import LeaderClient
from rainsail.control.operator_api import OperatorApi
from rainsail.control.service import ControlService
from rainsail.control.settings import ControlSettings
from rainsail.errors import Fault
from rainsail.state.commands import ROOT_GROUP
from rainsail.state.machine import ReplicatedState
from rainsail.state.settings import StateSettings
from rainsail.storage.group_storage import open_group_storage
from rainsail.storage.identity import load_or_create_identity
from rainsail.storage.settings import StorageSettings
from rainsail.wire.messenger import Messenger


@dataclass(frozen=True, slots=True)
class ReplicaConfig:
    """What a replica is told: its name, its fleet and the replicas of the root group."""

    name: str
    fleet: str
    replicas: tuple[str, ...]
    consensus: ConsensusSettings = field(default_factory=ConsensusSettings)
    control: ControlSettings = field(default_factory=ControlSettings)
    controllers: ControllerSettings = field(default_factory=ControllerSettings)
    state: StateSettings = field(default_factory=StateSettings)
    storage: StorageSettings = field(default_factory=StorageSettings)
    batch: BatchSettings = field(default_factory=BatchSettings)


class ReplicaNode:
    """Opens the data folder, joins the group and serves control messages."""

    def __init__(self, config: ReplicaConfig, seams: ReplicaSeams) -> None:
        self.config = config
        self._seams = seams
        self._on_fatal: Callable[[Fault], None] = lambda fault: None
        self.state = ReplicatedState(config.state)
        self.messenger = Messenger(seams.node.transport, seams.node.clock)
        self.group: GroupDriver | None = None
        self.service: ControlService | None = None
        self.controllers: ControllerManager | None = None
        self.operator_api: OperatorApi | None = None
        self._machines: MachineWatch | None = None
        self.client = LeaderClient(
            self.messenger,
            config.replicas,
            seams.node.clock,
            seams.node.random,
            config.control,
        )

    def on_fatal(self, listener: Callable[[Fault], None]) -> None:
        """Call ``listener`` when the replica can't go on (a failed sync, a damaged log)."""
        self._on_fatal = listener

    @inlineCallbacks
    def start(self) -> Generator[Deferred[Any], Any, Result[None, Fault]]:
        """Start everything; a fault names the file or step that stands in the way."""
        node = self._seams.node
        config = self.config
        identity = yield load_or_create_identity(
            self._seams.files, config.fleet, config.name, node.random
        )
        if identity.is_error():
            return Error(identity.error)
        storage = yield open_group_storage(self._seams.files, ROOT_GROUP, config.storage)
        if storage.is_error():
            return Error(storage.error)
        members = tuple(MemberSpec(name, "", True) for name in config.replicas)
        self.group = GroupDriver(
            ROOT_GROUP,
            config.name,
            identity.ok,
            storage.ok,
            self.state,
            self.messenger,
            node.clock,
            node.random,
            config.consensus,
            members,
        )
        self.group.on_fatal(self._fatal)
        self._start_control(self.group)
        self.group.start()
        return Ok(None)

    def _start_control(self, group: GroupDriver) -> None:
        node = self._seams.node
        config = self.config
        if self._seams.machine_list is not None:
            self._machines = MachineWatch(self._seams.machine_list, node.clock)
            self._machines.start()
        self.service = ControlService(
            {ROOT_GROUP: group},
            {ROOT_GROUP: self.state},
            self.messenger,
            node.clock,
            config.control,
        )
        self.service.start()
        self.controllers = ControllerManager(
            group,
            self.state,
            node.clock,
            node.random,
            config.controllers,
            node.wall_clock,
            self._machines,
        )
        self.controllers.start()
        self.operator_api = OperatorApi(
            group,
            self.state,
            self.client,
            node.clock,
            config.control,
            random=node.random,
            wall_clock=node.wall_clock,
            batch=config.batch,
        )

    def _fatal(self, fault: Fault) -> None:
        self.stop()
        self._on_fatal(fault)

    def stop(self) -> None:
        """Stop at once; durable state stays as synced."""
        if self._machines is not None:
            self._machines.stop()
        if self.controllers is not None:
            self.controllers.stop()
        if self.service is not None:
            self.service.stop()
        if self.group is not None:
            self.group.stop()

    @inlineCallbacks
    def planned_stop(self) -> Generator[Deferred[Any], Any, None]:
        """Hand leadership over, then stop."""
        if self.group is not None and self.group.is_leader():
            yield self.group.transfer_leadership()
        self.stop()
