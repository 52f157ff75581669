"""The roles of a process over the real seams: sockets, files, the monotonic clock."""

import time
from collections.abc import Generator
from pathlib import Path
from random import Random, SystemRandom
from typing import Any, Protocol

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from rainsail.assembly.gateway import GatewayConfig, GatewayNode
from rainsail.assembly.listening import listen_http, listen_site
from rainsail.assembly.replica import ReplicaConfig, ReplicaNode
from rainsail.assembly.seams import GatewaySeams, NodeSeams, ReplicaSeams
from rainsail.emulator.engine import EmulatedEngine
from rainsail.emulator.engine_server import EngineServer
from rainsail.emulator.weight_store import WeightStore
from rainsail.engine.http_client import HttpEngineClient
from rainsail.errors import Fault
from rainsail.gateway.http_api import CallerApi
from rainsail.runtime.clock import Clock, MonotonicClock
from rainsail.settings.model import ProcessSettings
from rainsail.settings.process import EngineEntry, GatewayEntry, ReplicaEntry
from rainsail.storage.local_files import LocalFileSystem
from rainsail.wire.address import PeerAddress, parse_address
from rainsail.wire.tcp import TcpTransport


class Role(Protocol):
    """One role of a process."""

    name: str

    def start(self) -> "Deferred[Result[None, Fault]]":
        """Start; a fault names what stands in the way."""
        ...

    def planned_stop(self) -> "Deferred[None]":
        """Finish what is in progress, then stop."""
        ...


def fresh_random() -> Random:
    """Return a generator seeded once from the system."""
    return Random(SystemRandom().getrandbits(64))


def real_seams(settings: ProcessSettings, reactor: Any, name: str) -> NodeSeams:
    """Return the seams of a daemon named ``name`` in this process."""
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
    )
    return NodeSeams(MonotonicClock(reactor), transport, draw, time.time)


class ReplicaRole:
    """A replica with its data folder, its internal port and its operator API."""

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
        self._seams = real_seams(settings, reactor, entry.name)
        self._ports: list[Any] = []
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
        files = LocalFileSystem(data_folder, reactor)
        self.node = ReplicaNode(config, ReplicaSeams(self._seams, files))

    @inlineCallbacks
    def start(self) -> Generator[Deferred[Any], Any, Result[None, Fault]]:
        """Open the data folder, join the group, listen."""
        started = yield self.node.start()
        if started.is_error():
            return Error(started.error)
        transport: Any = self._seams.transport
        listening = yield transport.listen_on(self._address.host, self._address.port)
        if listening.is_error():
            return Error(listening.error)
        assert self.node.operator_api is not None
        resource = self.node.operator_api.app.resource()
        port = listen_http(self._reactor, resource, self._operator_address)
        if port.is_error():
            return Error(port.error)
        self._ports.append(port.ok)
        return Ok(None)

    @inlineCallbacks
    def planned_stop(self) -> Generator[Deferred[Any], Any, None]:
        """Hand leadership over, close the ports, stop."""
        for port in self._ports:
            yield port.stopListening()
        yield self.node.planned_stop()
        transport: Any = self._seams.transport
        yield Deferred.fromCoroutine(transport.stop())

    @inlineCallbacks
    def abrupt_stop(self) -> Generator[Deferred[Any], Any, None]:
        """Stop at once, as a killed process would, and close the ports."""
        self.node.stop()
        for port in self._ports:
            yield port.stopListening()
        transport: Any = self._seams.transport
        yield Deferred.fromCoroutine(transport.stop())


class GatewayRole:
    """A gateway with its caller API."""

    def __init__(self, settings: ProcessSettings, entry: GatewayEntry, reactor: Any) -> None:
        self.name = entry.name
        self._reactor = reactor
        self._entry = entry
        self._seams = real_seams(settings, reactor, entry.name)
        self._engine = HttpEngineClient(self._seams.clock, reactor)
        config = GatewayConfig(
            entry.name,
            entry.region,
            entry.zone,
            tuple(each.name for each in settings.replicas),
            settings.control,
            settings.gateway,
            settings.batch,
        )
        self.node = GatewayNode(config, GatewaySeams(self._seams, self._engine))
        self.caller_api = CallerApi(
            self.node.core, self.node.view, self.node.intake, settings.caller_api, time.time
        )
        self._port: Any = None

    @inlineCallbacks
    def start(self) -> Generator[Deferred[Any], Any, Result[None, Fault]]:
        """Listen for callers, follow the configuration."""
        address = parse_address(self._entry.caller_api)
        port = listen_site(self._reactor, self.caller_api.site(), address)
        if port.is_error():
            return Error(port.error)
        self._port = port.ok
        if self._entry.address is not None:
            address = parse_address(self._entry.address)
            transport: Any = self._seams.transport
            listening = yield transport.listen_on(address.host, address.port)
            if listening.is_error():
                return Error(listening.error)
        self.node.start()
        return Ok(None)

    @inlineCallbacks
    def planned_stop(self) -> Generator[Deferred[Any], Any, None]:
        """Finish every request in progress, then stop."""
        yield self.node.planned_stop()
        if self._port is not None:
            yield self._port.stopListening()
        yield self._engine.close()
        transport: Any = self._seams.transport
        yield Deferred.fromCoroutine(transport.stop())


class EmulatorRole:
    """The emulated engines of one process, which share one weight store."""

    def __init__(
        self, settings: ProcessSettings, entries: tuple[EngineEntry, ...], reactor: Any
    ) -> None:
        self.name = f"emulator-{settings.process.name}"
        self._reactor = reactor
        self._entries = entries
        self._clock: Clock = MonotonicClock(reactor)
        store = WeightStore(self._clock, settings.weight_store)
        self.engines: dict[str, EmulatedEngine] = {}
        for entry in entries:
            rates = settings.engine_settings(entry)
            draw = fresh_random()
            self.engines[entry.runner] = EmulatedEngine(
                entry.runner, self._clock, draw, rates, store
            )
        self._ports: list[Any] = []

    @inlineCallbacks
    def start(self) -> Generator[Deferred[Any], Any, Result[None, Fault]]:
        """Put every engine on its port."""
        yield succeed(None)
        for entry in self._entries:
            server = EngineServer(self.engines[entry.runner], self._clock)
            address = parse_address(entry.address)
            port = listen_http(self._reactor, server.app.resource(), address)
            if port.is_error():
                return Error(port.error)
            self._ports.append(port.ok)
        return Ok(None)

    @inlineCallbacks
    def planned_stop(self) -> Generator[Deferred[Any], Any, None]:
        """Close the ports."""
        for port in self._ports:
            yield port.stopListening()
