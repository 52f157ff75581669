"""The replicas of a group in this process, over loopback sockets and real data folders."""

from collections.abc import Callable, Generator
from pathlib import Path
from random import Random
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from rainsail.assembly.replica import ReplicaConfig, ReplicaNode
from rainsail.assembly.seams import NodeSeams, ReplicaSeams
from rainsail.consensus.settings import ConsensusSettings
from rainsail.control.leader_client import LeaderClient
from rainsail.control.settings import ControlSettings
from rainsail.errors import RainsailError
from rainsail.runtime.clock import MonotonicClock
from rainsail.storage.interface import FileSystem
from rainsail.storage.local_files import LocalFileSystem
from rainsail.wire.address import PeerAddress
from rainsail.wire.messenger import Messenger, Transport
from rainsail.wire.tcp import TcpTransport

LOOPBACK = "127.0.0.1"
FLEET = "bench"
POLL_S = 0.01
LEADER_WAIT_S = 20.0

Wrap = Callable[[Transport], Transport]
"""Puts a meter between a replica and its transport."""
OpenFolder = Callable[[Path, Any], FileSystem]
"""Opens a data folder under a reactor."""


def ok(result: Result[Any, Any]) -> Any:
    """Return the value of a result; raises ``RainsailError`` for a fault."""
    if result.is_error():
        raise RainsailError(result.error)
    return result.ok


class LoopbackReplica:
    """One replica: its folder outlives its starts."""

    def __init__(
        self,
        config: ReplicaConfig,
        folder: Path,
        reactor: Any,
        wrap: Wrap,
        open_folder: OpenFolder,
    ) -> None:
        self.name = config.name
        self._wrap = wrap
        self._open_folder = open_folder
        self.port = 0
        self.node: ReplicaNode | None = None
        self._config = config
        self._folder = folder
        self._reactor = reactor
        self._starts = 0
        self._transport: TcpTransport | None = None

    @inlineCallbacks
    def listen(self) -> Generator[Deferred[Any], Any, None]:
        """Make a new process's transport and put it on a free port."""
        self._starts += 1
        self._transport = TcpTransport(self.name, {}, self._reactor, None, fleet=FLEET)
        listening = yield self._transport.listen_on(LOOPBACK, 0)
        self.port = ok(listening)

    @inlineCallbacks
    def start(self, peers: dict[str, PeerAddress]) -> Generator[Deferred[Any], Any, None]:
        """Open the data folder and join the group."""
        assert self._transport is not None
        self.learn(peers)
        clock = MonotonicClock(self._reactor)
        draw = Random(f"{self.name}/{self._starts}")
        seams = NodeSeams(clock, self._wrap(self._transport), draw, lambda: 0.0)
        files = self._open_folder(self._folder, self._reactor)
        self.node = ReplicaNode(self._config, ReplicaSeams(seams, files))
        started = yield self.node.start()
        ok(started)

    def learn(self, peers: dict[str, PeerAddress]) -> None:
        """Learn where the other replicas listen."""
        assert self._transport is not None
        for name, address in peers.items():
            if name != self.name:
                self._transport.set_peer(name, address)

    @inlineCallbacks
    def stop(self) -> Generator[Deferred[Any], Any, None]:
        """Stop at once, as a killed process would."""
        if self.node is None or self._transport is None:
            return
        self.node.stop()
        self.node = None
        yield Deferred.fromCoroutine(self._transport.stop())


class LoopbackGroup:
    """A group of replicas over loopback sockets."""

    def __init__(
        self,
        count: int,
        folder: Path,
        reactor: Any,
        consensus: ConsensusSettings | None = None,
        wrap: Wrap = lambda transport: transport,
        open_folder: OpenFolder = LocalFileSystem,
    ) -> None:
        self.names = tuple(f"r{number + 1}" for number in range(count))
        self._reactor = reactor
        settings = consensus or ConsensusSettings.model_validate({})
        self.replicas = {
            name: LoopbackReplica(
                ReplicaConfig(name, FLEET, self.names, settings),
                folder / name,
                reactor,
                wrap,
                open_folder,
            )
            for name in self.names
        }
        self._clients: list[TcpTransport] = []

    @inlineCallbacks
    def start(self) -> Generator[Deferred[Any], Any, None]:
        """Start every replica and wait for a leader."""
        for replica in self.replicas.values():
            yield replica.listen()
        for replica in self.replicas.values():
            yield replica.start(self.addresses())
        yield self.wait_for_leader()

    @inlineCallbacks
    def restart(self, name: str) -> Generator[Deferred[Any], Any, None]:
        """Start a stopped replica on its folder; fires when it has opened its log."""
        yield self.replicas[name].listen()
        for replica in self.replicas.values():
            replica.learn(self.addresses())
        yield self.replicas[name].start(self.addresses())

    @inlineCallbacks
    def stop(self) -> Generator[Deferred[Any], Any, None]:
        """Stop the clients and every replica."""
        for transport in self._clients:
            yield Deferred.fromCoroutine(transport.stop())
        for replica in self.replicas.values():
            yield replica.stop()

    def addresses(self) -> dict[str, PeerAddress]:
        """Return where each replica listens."""
        return {name: PeerAddress(LOOPBACK, each.port) for name, each in self.replicas.items()}

    def leader(self) -> LoopbackReplica | None:
        """Return the replica that leads under its lease."""
        for replica in self.replicas.values():
            group = replica.node.group if replica.node is not None else None
            if group is not None and group.is_leader():
                return replica
        return None

    @inlineCallbacks
    def wait_for_leader(self) -> Generator[Deferred[Any], Any, None]:
        """Wait until a replica leads."""
        deadline_s = self._reactor.seconds() + LEADER_WAIT_S
        while self.leader() is None:
            if self._reactor.seconds() > deadline_s:
                raise TimeoutError(f"no leader within {LEADER_WAIT_S:g} s")
            yield deferLater(self._reactor, POLL_S, lambda: None)

    def client(self, name: str) -> LeaderClient:
        """Return a client of a process of its own name, over its own sockets."""
        client, transport = connect_client(name, self.addresses(), self._reactor)
        self._clients.append(transport)
        return client


def connect_client(
    name: str, addresses: dict[str, PeerAddress], reactor: Any
) -> tuple[LeaderClient, TcpTransport]:
    """Return a client of replicas at given addresses, and its transport to stop."""
    transport = TcpTransport(name, addresses, reactor, None, fleet=FLEET)
    clock = MonotonicClock(reactor)
    messenger = Messenger(transport, clock)
    settings = ControlSettings.model_validate({})
    client = LeaderClient(messenger, tuple(addresses), clock, Random(name), settings)
    return client, transport
