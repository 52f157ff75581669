"""Replica processes on loopback for the benches, each with its own data folder."""

import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from twisted.internet import reactor
from twisted.internet.task import deferLater

from rainsail.benchmarks.loopback_replicas import FLEET, LOOPBACK
from rainsail.state.commands import NoOperation
from rainsail.wire.address import PeerAddress

PROGRAM = "from rainsail.cli.main import main; main()"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
FOUND_RETRY_S = 0.1


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class ReplicaProcesses:
    """``rainsail run`` processes of replicas r1 to rN; ended by their ids."""

    def __init__(self, count: int, folder: Path) -> None:
        self.names = tuple(f"r{number + 1}" for number in range(count))
        self._folder = folder
        ports = free_ports(2 * count)
        self._ports = dict(zip(self.names, ports[:count], strict=True))
        self._operator_ports = dict(zip(self.names, ports[count:], strict=True))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def addresses(self) -> dict[str, PeerAddress]:
        """Return where each replica listens."""
        return {name: PeerAddress(LOOPBACK, port) for name, port in self._ports.items()}

    def start(self, names: Sequence[str] = ()) -> None:
        """Start the named replicas, or all."""
        for name in names or self.names:
            settings = self._folder / f"{name}.toml"
            settings.write_text(self._settings_text(name))
            command = [sys.executable, "-c", PROGRAM, "run", f"--settings={settings}"]
            self._processes[name] = subprocess.Popen(command)

    def _settings_text(self, name: str) -> str:
        lines = [
            "[process]",
            f'name = "{name}"',
            f'fleet = "{FLEET}"',
            'zone = "local"',
            'roles = ["replica"]',
            f'data_folder = "{self._folder / name}"',
            "[addresses]",
            f'internal = "{LOOPBACK}:{self._ports[name]}"',
            f'operator_api = "{LOOPBACK}:{self._operator_ports[name]}"',
        ]
        for each, port in self._ports.items():
            lines += ["[[replicas]]", f'name = "{each}"', 'zone = "local"']
            lines.append(f'address = "{LOOPBACK}:{port}"')
        return "\n".join(lines) + "\n"

    def kill(self, name: str) -> None:
        """End one replica at once."""
        process = self._processes.pop(name)
        process.kill()
        process.wait(STOP_TIMEOUT_S)

    def stop(self) -> None:
        """End the processes that this run started."""
        for process in self._processes.values():
            process.terminate()
        for process in self._processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()


async def first_commit(client: Any) -> None:
    """Wait until the group commits."""
    deadline_s = reactor.seconds() + START_TIMEOUT_S
    while True:
        committed = await client.propose(NoOperation(), 1.0)
        if committed.is_ok():
            return
        if reactor.seconds() > deadline_s:
            raise SystemExit(f"no commit within {START_TIMEOUT_S:g} s: {committed.error}")
        await deferLater(reactor, FOUND_RETRY_S, lambda: None)
