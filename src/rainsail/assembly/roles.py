"""The roles of a process, built over real sockets, files and the monotonic clock."""

import time
from collections.abc import Generator
from pathlib import Path
from random import Random, SystemRandom
from typing import Any, Protocol

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.web.client import Agent

from rainsail.assembly.client_connections import process_budget
from rainsail.assembly.dependencies import (
    GatewayDependencies,
    NodeDependencies,
    ReplicaDependencies,
)
from rainsail.assembly.folder_lock import FolderLock
from rainsail.assembly.gateway import GatewayConfig, NativeGatewayNode
from rainsail.assembly.listening import HTTP_IDLE_TIMEOUT_S, listen_site
from rainsail.assembly.recording import open_recorder
from rainsail.assembly.replica import ReplicaNode
from rainsail.assembly.replica_config import ReplicaConfig
from rainsail.assembly.served_connections import ServedConnections
from rainsail.control.operator_site import make_operator_site
from rainsail.engine.http_client import HttpEngineClient
from rainsail.errors import Fault
from rainsail.experiment.trace.recorder import TraceRecorder
from rainsail.experiment.trace.recording import RecordingGateway, RecordingIntake
from rainsail.gateway.http_api import CallerApi
from rainsail.gateway.interface import Gateway
from rainsail.gateway.metering import MeteredGateway
from rainsail.gateway.openai.job_intake import Intake
from rainsail.machines.machine_list import HttpMachineListClient, MachineListClient
from rainsail.runtime.clock import MonotonicClock
from rainsail.settings.model import ProcessSettings
from rainsail.settings.process import GatewayEntry, ReplicaEntry
from rainsail.storage.local_files import LocalFileSystem
from rainsail.wire.address import PeerAddress, parse_address
from rainsail.wire.hello import ProcessRole, RoleOf
from rainsail.wire.tcp import TcpTransport

MACHINE_LIST_CONNECT_TIMEOUT_S = 2.0
RESPONSE_FLUSH_LIMIT_S = 10.0
"""Time for the last responses to be sent at a graceful stop, after the gateway's grace period."""


class RunningRole(Protocol):
    """One role of a process."""

    name: str

    def start(self) -> "Deferred[Result[None, Fault]]":
        """Start; a fault names what failed."""
        ...

    def planned_stop(self) -> "Deferred[None]":
        """Finish what is in progress, then stop."""
        ...


def fresh_random() -> Random:
    """Return a generator seeded from the operating system."""
    return Random(SystemRandom().getrandbits(64))


def make_node_dependencies(settings: ProcessSettings, reactor: Any, name: str) -> NodeDependencies:
    """Return the dependencies of the node named ``name`` in this process."""
    peers = {entry.name: parse_address(entry.address) for entry in settings.replicas}
    peers.update({each: parse_address(entry.address) for each, entry in settings.peers.items()})
    peers.pop(name, None)
    draw = fresh_random()
    transport = TcpTransport(
        name,
        peers,
        reactor,
        settings.tls,
        settings.wire,
        settings.process.fleet,
        draw,
        role_in_fleet(settings),
    )
    return NodeDependencies(MonotonicClock(reactor), transport, draw, time.time)


def role_in_fleet(settings: ProcessSettings) -> RoleOf:
    """Return the lookup of roles by name: replicas of the settings; any other is a gateway."""
    replicas = frozenset(entry.name for entry in settings.replicas)
    return lambda name: ProcessRole.REPLICA if name in replicas else ProcessRole.GATEWAY


def machine_list_client(settings: ProcessSettings, reactor: Any) -> MachineListClient | None:
    """Return the client of the platform's machine list; None when none is configured."""
    if settings.platform.machine_list is None:
        return None
    agent = Agent(reactor, connectTimeout=MACHINE_LIST_CONNECT_TIMEOUT_S)
    return HttpMachineListClient(agent, f"http://{settings.platform.machine_list}")


class ReplicaRole:
    """A replica node with its data folder, internal port and operator API."""

    def __init__(
        self,
        settings: ProcessSettings,
        entry: ReplicaEntry,
        operator_address: PeerAddress,
        data_folder: Path,
        reactor: Any,
    ) -> None:
        self.name = entry.name
        self._reactor = reactor
        self._address = parse_address(entry.address)
        self._operator_address = operator_address
        self._dependencies = make_node_dependencies(settings, reactor, entry.name)
        self._ports: list[Any] = []
        self._served: ServedConnections | None = None
        config = ReplicaConfig(
            entry.name,
            settings.process.fleet,
            tuple(each.name for each in settings.replicas),
            settings.consensus,
            settings.control,
            settings.controllers,
            settings.state,
            settings.storage,
            settings.batch,
        )
        self._budget = process_budget(settings, reactor)
        self._lock = FolderLock(data_folder)
        files = LocalFileSystem(data_folder, reactor)
        machine_list = machine_list_client(settings, reactor)
        self.node = ReplicaNode(
            config, ReplicaDependencies(self._dependencies, files, machine_list)
        )

    @inlineCallbacks
    def start(self) -> Generator[Deferred[Any], Any, Result[None, Fault]]:
        """Lock the data folder, start the node and listen on the internal and operator ports."""
        locked = self._lock.acquire()
        if locked.is_error():
            return Error(locked.error)
        started = yield self.node.start()
        if started.is_error():
            return Error(started.error)
        transport: Any = self._dependencies.transport
        listening = yield transport.listen_on(self._address.host, self._address.port)
        if listening.is_error():
            return Error(listening.error)
        assert self.node.operator_api is not None
        site = make_operator_site(self.node.operator_api.app.resource(), HTTP_IDLE_TIMEOUT_S)
        self._served = ServedConnections(site, self._dependencies.clock)
        port = listen_site(self._reactor, site, self._operator_address, self._budget)
        if port.is_error():
            return Error(port.error)
        self._ports.append(port.ok)
        return Ok(None)

    @inlineCallbacks
    def planned_stop(self) -> Generator[Deferred[Any], Any, None]:
        """Drain and close the operator port, transfer leadership, then stop."""
        if self._served is not None:
            for port in self._ports:
                yield self._served.stop_accepting(port)
            yield self._served.finish(RESPONSE_FLUSH_LIMIT_S)
        yield self.node.planned_stop()
        transport: Any = self._dependencies.transport
        yield Deferred.fromCoroutine(transport.stop())
        self._lock.release()

    @inlineCallbacks
    def abrupt_stop(self) -> Generator[Deferred[Any], Any, None]:
        """Stop without draining, as a killed process would, and close the ports."""
        self.node.stop()
        for port in self._ports:
            yield port.stopListening()
        transport: Any = self._dependencies.transport
        yield Deferred.fromCoroutine(transport.stop())
        self._lock.release()


class GatewayRole:
    """A gateway node with its caller API."""

    def __init__(self, settings: ProcessSettings, entry: GatewayEntry, reactor: Any) -> None:
        self.name = entry.name
        self._reactor = reactor
        self._entry = entry
        self._dependencies = make_node_dependencies(settings, reactor, entry.name)
        self._budget = process_budget(settings, reactor)
        self._engine = HttpEngineClient(self._dependencies.clock, reactor)
        config = GatewayConfig(
            entry.name,
            entry.region,
            entry.zone,
            tuple(each.name for each in settings.replicas),
            settings.control,
            settings.gateway,
            settings.batch,
        )
        self.node = NativeGatewayNode(config, GatewayDependencies(self._dependencies, self._engine))
        self._recorder = self._make_recorder(settings)
        self.caller_api = self._make_caller_api(settings)
        self._port: Any = None
        self._served: ServedConnections | None = None

    def _make_recorder(self, settings: ProcessSettings) -> TraceRecorder | None:
        if not settings.recording.enabled:
            return None
        return open_recorder(
            settings.process.data_folder,
            self._entry,
            self.node.view,
            self._dependencies,
            settings.recording,
        )

    def _make_caller_api(self, settings: ProcessSettings) -> CallerApi:
        core: Gateway = self.node.core
        intake: Intake = self.node.intake
        self.metered = MeteredGateway(core, self._dependencies.clock)
        core = self.metered
        if self._recorder is not None:
            core = RecordingGateway(core, self._recorder)
            intake = RecordingIntake(intake, self._recorder)
        api = CallerApi(core, self.node.view, intake, settings.caller_api, time.time)
        api.add_explain_routes(self.name, self.node.core, settings.control.operator_key_hashes)
        return api

    @inlineCallbacks
    def start(self) -> Generator[Deferred[Any], Any, Result[None, Fault]]:
        """Listen for callers and peers, then start the node."""
        address = parse_address(self._entry.caller_api)
        site = self.caller_api.site()
        self._served = ServedConnections(site, self._dependencies.clock)
        port = listen_site(self._reactor, site, address, self._budget)
        if port.is_error():
            return Error(port.error)
        self._port = port.ok
        if self._entry.address is not None:
            address = parse_address(self._entry.address)
            transport: Any = self._dependencies.transport
            listening = yield transport.listen_on(address.host, address.port)
            if listening.is_error():
                return Error(listening.error)
        self.node.start()
        return Ok(None)

    @inlineCallbacks
    def planned_stop(self) -> Generator[Deferred[Any], Any, None]:
        """Finish every request in progress, close the caller port, then stop."""
        yield self.node.planned_stop()
        if self._recorder is not None:
            self._recorder.close()
        if self._served is not None and self._port is not None:
            yield self._served.stop_accepting(self._port)
            yield self._served.finish(RESPONSE_FLUSH_LIMIT_S)
        yield self._engine.close()
        transport: Any = self._dependencies.transport
        yield Deferred.fromCoroutine(transport.stop())
