"""The consensus bench against five real processes over TCP, each with its own data folder.

Starts five ``rainsail run`` processes on loopback, drives them through the product's own client
and ends them. Prints one JSON object; ``--folder`` must lie on the disk to be measured.

    python bench/replicas.py [--folder FOLDER] [--seconds S] [--output FOLDER]
"""

import argparse
import json
import os
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from rainsail.benchmarks.consensus import REPLICAS, measure_commits
from rainsail.benchmarks.loopback_replicas import FLEET, LOOPBACK, connect_client
from rainsail.benchmarks.report import BenchReport, no_progress, write_report
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


def settings_text(name: str, folder: Path, ports: dict[str, int], operator_port: int) -> str:
    """Return the settings file of one replica."""
    lines = [
        "[process]",
        f'name = "{name}"',
        f'fleet = "{FLEET}"',
        'zone = "local"',
        'roles = ["replica"]',
        f'data_folder = "{folder / name}"',
        "[addresses]",
        f'internal = "{LOOPBACK}:{ports[name]}"',
        f'operator_api = "{LOOPBACK}:{operator_port}"',
    ]
    for each, port in ports.items():
        lines += ["[[replicas]]", f'name = "{each}"', 'zone = "local"']
        lines.append(f'address = "{LOOPBACK}:{port}"')
    return "\n".join(lines) + "\n"


def start_replicas(folder: Path, ports: dict[str, int]) -> list[subprocess.Popen[bytes]]:
    """Start one process per replica."""
    processes = []
    for name, operator_port in zip(ports, free_ports(len(ports)), strict=True):
        settings = folder / f"{name}.toml"
        settings.write_text(settings_text(name, folder, ports, operator_port))
        command = [sys.executable, "-c", PROGRAM, "run", f"--settings={settings}"]
        processes.append(subprocess.Popen(command))
    return processes


def stop_replicas(processes: list[subprocess.Popen[bytes]]) -> None:
    """End the processes that this run started."""
    for process in processes:
        process.terminate()
    for process in processes:
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()


async def measure(folder: Path, seconds: float) -> BenchReport:
    """Start the replicas, wait for a first commit, measure, stop them."""
    names = [f"r{number + 1}" for number in range(REPLICAS)]
    ports = dict(zip(names, free_ports(REPLICAS), strict=True))
    processes = start_replicas(folder, ports)
    try:
        addresses = {name: PeerAddress(LOOPBACK, port) for name, port in ports.items()}
        client, transport = connect_client("client", addresses, reactor)
        await first_commit(client)
        report = await measure_commits("replicas", client, folder, no_progress, seconds)
        await transport.stop()
        return report
    finally:
        stop_replicas(processes)


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


async def main(arguments: argparse.Namespace) -> None:
    """Measure in a temporary folder and print the report."""
    load_before = os.getloadavg()[0]
    with tempfile.TemporaryDirectory(prefix="replicas-", dir=arguments.folder) as folder:
        report = await measure(Path(folder), arguments.seconds)
    if arguments.output:
        write_report(report, Path(arguments.output))
    figures = {**report.to_json(), "load_before": load_before, "load_after": os.getloadavg()[0]}
    print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Measure five replica processes on loopback.")
    parser.add_argument("--folder", default=".")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--output", default="")
    ended = ensureDeferred(main(parser.parse_args()))
    ended.addErrback(lambda failure: print(failure.getTraceback(), file=sys.stderr))
    ended.addBoth(lambda _: reactor.callLater(0, reactor.stop))
    reactor.run()
