"""A replica node: members of the groups placed on it, control service and controllers."""

from collections.abc import Callable, Generator
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks

from rainsail.assembly.dependencies import ReplicaDependencies
from rainsail.assembly.hosted_group import HostedGroup, hosted_ids, open_group
from rainsail.assembly.machine_watch import MachineWatch
from rainsail.assembly.replica_config import ReplicaConfig
from rainsail.consensus.driver import GroupDriver
from rainsail.consensus.router import GroupRouter
from rainsail.control.controllers.manager import ControllerManager
from rainsail.control.leader_client import LeaderClient
from rainsail.control.operator_api import OperatorApi
from rainsail.control.service import ControlService
from rainsail.errors import Fault
from rainsail.state.commands import ROOT_GROUP, GroupId
from rainsail.state.durable_schemas import durable_fingerprint
from rainsail.state.machine import ReplicatedState
from rainsail.storage.identity import load_or_create_identity
from rainsail.wire.messenger import Messenger


class ReplicaNode:
    """Opens the data folder, joins the replica's groups and serves control messages.

    ``group`` and ``state`` belong to the root group. The operator API is served from them, on the
    replicas that host a member of the root group.
    """

    def __init__(self, config: ReplicaConfig, dependencies: ReplicaDependencies) -> None:
        self.config = config
        self._dependencies = dependencies
        self._on_fatal: Callable[[Fault], None] = lambda fault: None
        self.state = ReplicatedState(config.state)
        self.hosted: dict[GroupId, HostedGroup] = {}
        self.messenger = Messenger(dependencies.node.transport, dependencies.node.clock)
        self.service: ControlService | None = None
        self.controllers: list[ControllerManager] = []
        self.operator_api: OperatorApi | None = None
        self._machines: MachineWatch | None = None
        self.client = LeaderClient(
            self.messenger,
            config.replicas,
            dependencies.node.clock,
            dependencies.node.random,
            config.control,
        )

    @property
    def group(self) -> GroupDriver | None:
        """The root group's driver; None unless this replica hosts a member and has opened it."""
        root = self.hosted.get(ROOT_GROUP)
        return None if root is None else root.driver

    def on_fatal(self, listener: Callable[[Fault], None]) -> None:
        """Call ``listener`` on a fatal fault, such as a failed disk sync or a damaged log."""
        self._on_fatal = listener

    @inlineCallbacks
    def start(self) -> Generator[Deferred[Any], Any, Result[None, Fault]]:
        """Open every group and start all services; a fault names the file or step that failed."""
        node = self._dependencies.node
        config = self.config
        identity = yield load_or_create_identity(
            self._dependencies.files, config.fleet, config.name, durable_fingerprint(), node.random
        )
        if identity.is_error():
            return Error(identity.error)
        router = GroupRouter(self.messenger, node.clock)
        for group in hosted_ids(config):
            state = self.state if group == ROOT_GROUP else ReplicatedState(config.state)
            opened = yield open_group(group, config, self._dependencies, identity.ok, state, router)
            if opened.is_error():
                return Error(opened.error)
            self.hosted[group] = opened.ok
        self._start_control()
        for hosted in self.hosted.values():
            hosted.driver.on_fatal(self._fatal)
            hosted.driver.start()
        return Ok(None)

    def _start_control(self) -> None:
        node = self._dependencies.node
        if self._dependencies.machine_list is not None:
            self._machines = MachineWatch(self._dependencies.machine_list, node.clock)
            self._machines.start()
        self.service = ControlService(
            {number: hosted.driver for number, hosted in self.hosted.items()},
            {number: hosted.state for number, hosted in self.hosted.items()},
            self.messenger,
            node.clock,
            self.config.control,
        )
        self.service.start()
        for hosted in self.hosted.values():
            self._start_controllers(hosted)
        root = self.hosted.get(ROOT_GROUP)
        if root is not None:
            self._make_operator_api(root)

    def _start_controllers(self, hosted: HostedGroup) -> None:
        node = self._dependencies.node
        manager = ControllerManager(
            hosted.driver,
            hosted.state,
            node.clock,
            node.random,
            self.config.controllers,
            node.wall_clock,
            self._machines,
        )
        manager.start()
        self.controllers.append(manager)

    def _make_operator_api(self, root: HostedGroup) -> None:
        node = self._dependencies.node
        others = [hosted.driver for hosted in self.hosted.values() if hosted is not root]
        self.operator_api = OperatorApi(
            root.driver,
            root.state,
            self.client,
            node.clock,
            self.config.control,
            random=node.random,
            wall_clock=node.wall_clock,
            batch=self.config.batch,
            ledger_groups=tuple(others),
        )

    def _fatal(self, fault: Fault) -> None:
        self.stop()
        self._on_fatal(fault)

    def stop(self) -> None:
        """Stop at once; the durable state stays as last synced."""
        if self._machines is not None:
            self._machines.stop()
        for manager in self.controllers:
            manager.stop()
        if self.service is not None:
            self.service.stop()
        for hosted in self.hosted.values():
            hosted.driver.stop()

    @inlineCallbacks
    def planned_stop(self) -> Generator[Deferred[Any], Any, None]:
        """Transfer the leadership of every group that this replica leads, then stop."""
        led = [hosted.driver for hosted in self.hosted.values() if hosted.driver.is_leader()]
        yield gatherResults([driver.transfer_leadership() for driver in led])
        self.stop()
