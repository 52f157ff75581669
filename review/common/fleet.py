"""Starts the project's own processes as the platform does, and is their operator.

Each process is what the ``run`` line of ``deploy/system.toml`` says, with the role's settings
template filled from fields like those of the small deployment ``fll-rainsail``. All machines have
addresses of their own under 127.0.0.0/8; their ports are the same on all machines.
"""

import ctypes
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from common.record import Record
from common.template import fill

ROOT = Path(__file__).resolve().parents[2]
ROLES = {"front": "gateway", "core": "controller", "store": "storage"}
THIRD_OCTET = {"core": 1, "store": 2, "front": 3, "runner": 4}
ZONES = ("guishan-hall", "luzhu-hall", "dayuan-hall")
FRONT_PORT = 8144
READY_PORT = 8140
CONTROL_PORT = 8146
METRICS_PORT = 9464
INTERNAL_PORTS = (7660, 7675)
PR_SET_PDEATHSIG = 1
START_LIMIT_S = 30.0
POLL_S = 0.05
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4.7,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "recoverS": 12,
    "passMs": 120,
    "againS": 0,
    "finishS": 18,
    "statusS": 120,
    "cancelMs": 3000,
    "settleMs": 1000,
    "quotaOvershoot": 0.1,
}
LIMITS = {
    "front": {"cpuShare": 0.537, "cores": 2, "memoryMb": 260, "maxFds": 4200, "diskMb": 0},
    "core": {"cpuShare": 0.645, "cores": 2, "memoryMb": 296, "maxFds": 4096, "diskMb": 128},
    "store": {"cpuShare": 0.717, "cores": 3, "memoryMb": 290, "maxFds": 8200, "diskMb": 470},
}


class CannotRunError(Exception):
    """The case could not be brought to the point at which its rule is judged."""


@dataclass
class Node:
    """One machine with one process of the system."""

    name: str
    machine_class: str
    ip: str
    zone: str
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    log: Path = field(default_factory=Path)


class Fleet:
    """The processes of a small deployment, by the names of their machines."""

    def __init__(self, record: Record, fronts: int, cores: int = 3, stores: int = 3) -> None:
        self.record = record
        self._libc = ctypes.CDLL(None)
        # The kernel ends a child with the thread that started it, so one thread starts them all.
        self._spawner = ThreadPoolExecutor(1)
        self._folder = Path(tempfile.mkdtemp(prefix="rainsail-review-"))
        self._reservation, self.octet = _reserve_network()
        self._roles = _roles_by_class()
        self.nodes: dict[str, Node] = {}
        counts = {"core": cores, "store": stores, "front": fronts}
        for machine_class, count in counts.items():
            for number in range(1, count + 1):
                self._add(machine_class, number)
        self._seeds = [f"{node.ip}:{CONTROL_PORT}" for node in self.of_class("core")][:3]

    def _add(self, machine_class: str, number: int) -> None:
        name = f"{machine_class}-{number}"
        folder = self._folder / name
        (folder / "data").mkdir(parents=True)
        zone = ZONES[(number - 1) % len(ZONES)]
        node = Node(name, machine_class, self.address(machine_class, number), zone, folder)
        node.log = folder / "log"
        self.nodes[name] = node

    def address(self, machine_class: str, number: int) -> str:
        """Return the address of a machine, also of a runner's."""
        return f"127.{self.octet}.{THIRD_OCTET[machine_class]}.{number}"

    def of_class(self, machine_class: str) -> list[Node]:
        """Return the machines of a class."""
        return [each for each in self.nodes.values() if each.machine_class == machine_class]

    # --- processes -----------------------------------------------------------------------

    def start_all(self) -> None:
        """Start all processes for the first time, on empty disks."""
        for name in self.nodes:
            self.start(name, bootstrap=True)

    def start(self, name: str, bootstrap: bool = False) -> None:
        """Start a machine's process with the settings that are current now."""
        node = self.nodes[name]
        role = self._roles[node.machine_class]
        template = (ROOT / role["template"]).read_text()
        settings = node.folder / "settings.toml"
        settings.write_text(fill(template, self._fields(node, role["name"], bootstrap)))
        node.process = self._spawner.submit(self._spawn, node, role["run"], settings).result()
        self.record.note("start", machine=name, pid=node.process.pid)

    def _fields(self, node: Node, role: str, bootstrap: bool) -> dict[str, Any]:
        listen = {"control": f"{node.ip}:{CONTROL_PORT}"}
        if node.machine_class == "front":
            listen = {"front": f"{node.ip}:{FRONT_PORT}", "readiness": f"{node.ip}:{READY_PORT}"}
        elif node.machine_class == "store":
            listen = {}
        return {
            "nodeName": node.name,
            "role": role,
            "zone": node.zone,
            "region": "taoyuan",
            "zones": dict.fromkeys(ZONES, "taoyuan"),
            "ip": node.ip,
            "listen": listen,
            "internalPorts": list(INTERNAL_PORTS),
            "seeds": self._seeds,
            "bootstrap": bootstrap,
            "lossCounts": node.machine_class != "front",
            "limits": {**LIMITS[node.machine_class], "linkMbps": 1000.0},
            "dataDir": None if node.machine_class == "front" else str(node.folder / "data"),
            "heartbeatMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }

    def _spawn(self, node: Node, run: str, settings: Path) -> subprocess.Popen[bytes]:
        program, *arguments = run.split(" ")
        with node.log.open("ab") as output:
            return subprocess.Popen(
                [sys.executable if program == "python3" else program, *arguments],
                cwd=ROOT,
                env={**_libraries(), "RAINSAIL_BOOT": str(settings)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                preexec_fn=self._die_with_parent,
            )

    def _die_with_parent(self) -> None:
        self._libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this case has started."""
        process = self.nodes[name].process
        assert process is not None
        process.send_signal(number)
        self.record.note("signal", machine=name, signal=number.name)

    def freeze(self, name: str) -> None:
        """Freeze a machine's process."""
        self.signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.signal(name, signal.SIGCONT)

    def close(self) -> None:
        """End all processes that were started, and remove their folders."""
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        self._spawner.shutdown()
        self._reservation.close()
        kept = os.environ.get("KEEP_LOGS", "")
        if kept:
            for node in self.nodes.values():
                shutil.copy(node.log, Path(kept) / f"{node.name}.log")
        shutil.rmtree(self._folder, ignore_errors=True)

    # --- what the platform and the operator see -------------------------------------------

    def is_ready(self, front: str) -> bool:
        """Ask a front machine's readiness address, as the platform does."""
        return call(self.nodes[front].ip, READY_PORT, "GET", "/api/readyz")[0] == 200

    def leader(self, machine_class: str) -> str:
        """Return the machine that its own metrics page names as leader; empty for none.

        Only the way in which a machine is picked for a disruption: no rule is judged by it.
        """
        for node in self.of_class(machine_class):
            _, body = call(node.ip, METRICS_PORT, "GET", "/metrics")
            if re.search(rb"^rainsail_group_leads\S* 1\.0$", body, re.MULTILINE):
                return node.name
        return ""

    def replace(self, core: str, configuration: dict[str, Any]) -> int:
        """Send a configuration to a control address; returns the status, 0 for no answer."""
        content = json.dumps(configuration).encode()
        ip = self.nodes[core].ip
        status, _ = call(ip, CONTROL_PORT, "POST", "/api/Config.Replace", content)
        version = configuration["version"]
        self.record.note("configuration", machine=core, version=version, status=status)
        return status

    def configure(self, configuration: dict[str, Any]) -> None:
        """Send a configuration again and again, to each control address in turn, until taken."""
        cores = [node.name for node in self.of_class("core")]
        limit_s = time.monotonic() + START_LIMIT_S
        turn = 0
        while self.replace(cores[turn % len(cores)], configuration) != 200:
            if time.monotonic() > limit_s:
                raise CannotRunError("the configuration was not taken")
            turn += 1
            time.sleep(0.3)

    def wait_ready(self) -> None:
        """Wait until all front machines call themselves ready."""
        for node in self.of_class("front"):
            wait_until(lambda node=node: self.is_ready(node.name), f"{node.name} ready")


def wait_until(
    condition: Callable[[], bool], what: str, limit_s: float = START_LIMIT_S, period_s: float = 0.05
) -> None:
    """Wait until a condition holds; raises ``CannotRunError`` if it doesn't in time."""
    until_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > until_s:
            raise CannotRunError(f"never came true: {what}")
        time.sleep(period_s)


def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, bytes]:
    """Make one call on a new connection; returns status and body, status 0 for no answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def _reserve_network() -> tuple[socket.socket, int]:
    """Return a network 127.octet.0.0/16 that no other run uses, and the socket that holds it."""
    reservation = socket.socket()
    for number in range(200):
        octet = 20 + (os.getpid() + number) % 200
        try:
            reservation.bind((f"127.{octet}.0.1", 17599))
        except OSError:
            continue
        reservation.listen()
        return reservation, octet
    raise CannotRunError("every loopback network is in use")


def _roles_by_class() -> dict[str, dict[str, str]]:
    """Return the role of each class of machines in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return {role["on"]: {**role, "name": name} for name, role in deploy["roles"].items()}


def _libraries() -> dict[str, str]:
    """Return the environment of a process: as on the platform, with the libraries of the build."""
    kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
    built = ROOT / "target" / "deps"
    return {**kept, "PYTHONPATH": str(built)} if built.is_dir() else kept
