"""A small fleet on loopback: the deploy file's commands as processes, with filled settings."""

import asyncio
import contextlib
import http.client
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from review.common2.template import fill

ROOT = Path(__file__).resolve().parent.parent.parent
FIRST_PORT, LAST_PORT = 17600, 17615
CONTROL_PORT, CLIENT_PORT, READY_PORT = 17650, 17660, 17670
RESERVED_PORT = 17598
CLASSES = {"gateway": "front", "controller": "core", "storage": "store"}
ZONES = {"hall-a": "town", "hall-b": "town", "hall-c": "town"}
MEMORY_MB = {"front": 260, "core": 296, "store": 290}
DISK_MB = {"front": 0, "core": 128, "store": 470}
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
"""The bounds of the users' two small deployments."""


class CouldNotRunError(Exception):
    """The case could not be played."""


class Fleet:
    """The processes of one deployment; each machine is a loopback address of its own."""

    def __init__(self, gateways: int, controllers: int = 3, storage: int = 3) -> None:
        self._reserved, self.octet = _reserve_network()
        self.folder = Path(tempfile.mkdtemp(prefix="rainsail-case-"))
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self.names = [
            *(f"controller-{n}" for n in range(1, controllers + 1)),
            *(f"storage-{n}" for n in range(1, storage + 1)),
            *(f"gateway-{n}" for n in range(1, gateways + 1)),
        ]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def ip(self, name: str) -> str:
        """Return the loopback address of a machine, or of the runner ``runner-N``."""
        role, _, number = name.rpartition("-")
        third = {"controller": 1, "storage": 2, "gateway": 3, "runner": 4}[role]
        return f"127.{self.octet}.{third}.{number}"

    def start_all(self) -> None:
        """Start all machines for the first time, on empty disks."""
        for name in self.names:
            self.start(name, first=True)

    def start(self, name: str, first: bool = False) -> None:
        """Start a machine's process with settings filled as at this moment."""
        role, _, number = name.rpartition("-")
        fields = self._fields(name, role, int(number), first)
        deployed = self._roles[role]
        settings = self.folder / f"{name}.toml"
        settings.write_text(fill((ROOT / deployed["template"]).read_text(), fields))
        paths = [str(ROOT / "target" / "deps")]
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {"RAINSAIL_BOOT": str(settings), "PYTHONPATH": os.pathsep.join(paths)}
        environment |= {"PYTHONDONTWRITEBYTECODE": "1"}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                shlex.split(deployed["run"]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _fields(self, name: str, role: str, number: int, first: bool) -> dict[str, Any]:
        kind = CLASSES[role]
        ip = self.ip(name)
        data = self.folder / name
        data.mkdir(exist_ok=True)
        listen = {"control": f"{ip}:{CONTROL_PORT}"} if kind == "core" else {}
        if kind == "front":
            listen = {"front": f"{ip}:{CLIENT_PORT}", "readiness": f"{ip}:{READY_PORT}"}
        controllers = [each for each in self.names if each.startswith("controller")]
        zones = list(ZONES)
        return {
            "nodeName": name,
            "role": role,
            "machineClass": kind,
            "ip": ip,
            "zone": zones[number % len(zones)],
            "region": "town",
            "zones": ZONES,
            "listen": listen,
            "internalPorts": [FIRST_PORT, LAST_PORT],
            "seeds": [f"{self.ip(each)}:{CONTROL_PORT}" for each in controllers[:3]],
            "bootstrap": first,
            "limits": {
                "diskMb": DISK_MB[kind],
                "memoryMb": MEMORY_MB[kind],
                "maxFds": 4096,
            },
            "dataDir": str(data),
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a machine's process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a machine's process; its disk is kept."""
        process = self.processes[name]
        process.kill()
        process.wait()

    def running(self, name: str) -> bool:
        """Tell whether a machine's process runs."""
        return self.processes[name].poll() is None

    def close(self, keep_logs_in: Path | None = None) -> None:
        """End all processes that were started, and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if keep_logs_in is not None:
            keep_logs_in.mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob("*.log"):
                shutil.copy(log, keep_logs_in)
        shutil.rmtree(self.folder, ignore_errors=True)
        self._reserved.close()

    # --- the operator and the platform -----------------------------------------------------

    def call(
        self, name: str, port: int, method: str, path: str, body: Any = None, timeout_s: float = 1.0
    ) -> tuple[int, bytes]:
        """Make one call on a new connection; status 0 means no answer."""
        connection = http.client.HTTPConnection(self.ip(name), port, timeout=timeout_s)
        content = None if body is None else json.dumps(body).encode()
        fields = {} if content is None else {"Content-Type": "application/json"}
        try:
            connection.request(method, path, content, fields)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def control(self, method: str, path: str, body: Any = None) -> int:
        """Call the controllers in turn until one answers below 500, once round."""
        for name in [each for each in self.names if each.startswith("controller")]:
            status, _ = self.call(name, CONTROL_PORT, method, path, body)
            if 0 < status < 500 and status not in (408, 429):
                return status
        return 0

    async def until(self, what: str, condition: Any, within_s: float = 30.0) -> None:
        """Wait until a blocking condition holds."""
        end_s = time.monotonic() + within_s
        while not await asyncio.to_thread(condition):
            if time.monotonic() > end_s:
                raise CouldNotRunError(f"never came true: {what}")
            await asyncio.sleep(0.1)

    async def wait_ready(self) -> None:
        """Wait until all gateways call themselves ready."""
        gateways = [each for each in self.names if each.startswith("gateway")]
        for name in gateways:
            await self.until(
                f"{name} is ready",
                lambda name=name: self.call(name, READY_PORT, "GET", "/api/readyz")[0] == 200,
            )


def _reserve_network() -> tuple[socket.socket, int]:
    """Return a loopback network ``127.N`` that no other case uses, and what reserves it."""
    for number in range(40):
        octet = 211 + (os.getpid() + number) % 40
        reserved = socket.socket()
        try:
            reserved.bind((f"127.{octet}.0.1", RESERVED_PORT))
            reserved.listen()
        except OSError:
            reserved.close()
            continue
        return reserved, octet
    raise CouldNotRunError("no loopback network is free")


@contextlib.contextmanager
def fleet(gateways: int, logs: Path | None = None, **counts: int) -> Any:
    """Run a fleet, and end all of its processes whatever happens."""
    started = Fleet(gateways, **counts)
    try:
        started.start_all()
        yield started
    finally:
        started.close(logs)
