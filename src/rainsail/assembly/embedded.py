"""``rainsail up``: a whole fleet in one process, over real loopback sockets."""

import sys
from typing import Any

from rainsail.assembly.emulator import EmulatorRole
from rainsail.assembly.process import Process
from rainsail.assembly.roles import GatewayRole, ReplicaRole
from rainsail.settings.model import ProcessSettings
from rainsail.settings.process import ReplicaEntry
from rainsail.wire.address import PeerAddress, parse_address


def run(settings: ProcessSettings) -> None:
    """Run the fleet until it is stopped, then exit with the process's exit code."""
    from twisted.internet import reactor

    process = Process(settings, reactor)
    EmbeddedFleet(settings, reactor).add_to(process)
    sys.exit(process.run())


class EmbeddedFleet:
    """Every role in the settings: replicas, gateways and emulated engines."""

    def __init__(self, settings: ProcessSettings, reactor: Any) -> None:
        self.settings = settings
        self._reactor = reactor
        self.emulator = EmulatorRole(settings, settings.engines, reactor)
        self.replicas = {entry.name: self.make_replica(entry.name) for entry in settings.replicas}
        self.gateways = {
            entry.name: GatewayRole(settings, entry, reactor) for entry in settings.gateways
        }

    def add_to(self, process: Process) -> None:
        """Add every role to a process; a fatal fault of a replica ends the process."""
        process.roles.append(self.emulator)
        for replica in self.replicas.values():
            replica.node.on_fatal(process.fail)
            process.roles.append(replica)
        process.roles += self.gateways.values()

    def make_replica(self, name: str) -> ReplicaRole:
        """Return a replica, not yet started, with its own subfolder of the data folder."""
        entry = next(each for each in self.settings.replicas if each.name == name)
        folder = self.settings.process.data_folder / name
        return ReplicaRole(
            self.settings, entry, self._operator_address(entry), folder, self._reactor
        )

    def _operator_address(self, entry: ReplicaEntry) -> PeerAddress:
        if entry.operator_api is not None:
            return parse_address(entry.operator_api)
        return PeerAddress("127.0.0.1", 0)
