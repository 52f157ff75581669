"""A stand-in of the users' platform on loopback: nodes as processes, runners, clients, an operator.

Follows the platform's documentation. Runners answer on connections of the test's own reactor; nodes
are real processes of the adapter, which are signalled only by their process ids.
"""

import base64
import contextlib
import http.client
import json
import os
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any

from features.support.command_line import ROOT
from features.support.loopback import LoopbackNetwork
from features.support.reactor_thread import in_reactor, reactor
from features.support.soak_history import failure_body
from features.support.stand_in_faults import (
    ChunkedStream,
    Crash,
    StandInStream,
    StreamFaults,
    UnframedStream,
)
from rig.daemon import die_with_parent

from rainsail.http.exchange import Exchange
from rainsail.http.headers import header_text
from rainsail.http.server import HttpLimits, HttpServer
from rainsail.runtime.clock import MonotonicClock

LIMIT_S = 40.0
LOOK_PERIOD_S = 0.05
FIRST_PORT = 17600
CONTROL_PORT = 17650
CLIENT_PORT = 17660
READY_PORT = 17670
RUNNER_PORT = 17700
METRICS_PORT = 17680
HOST = "a.example"
EVENTS = 5
ZONE_DRAIN_S = 5.0
"""This long after the acknowledgement of a zone's drain its runners get no more requests."""
LARGE_PATH = b"/large/"
"""A request on this path is answered with as many bytes as its last segment says."""
FATAL_BODY = b"fatal"
"""A runner process ends when it starts to run this body."""
FATAL_PART_AFTER_S = 0.05
"""A runner process ends this long after it has started to run a fatal prompt part."""
BACK_AFTER_S = 1.5
"""A runner process that has ended restarts after this time."""
SETTINGS = """
[node]
name = "{name}"
role = "{role}"
zone = "{zone}"
ip = "{ip}"
data_folder = "{folder}"
founding = {founding}
losses = 1

[peers]
first_port = {first_port}
last_port = {last_port}
seeds = [{seeds}]

[listen]
clients = "{ip}:{client_port}"
readiness = "{ip}:{ready_port}"
control = "{ip}:{control_port}"
metrics = "{ip}:{metrics_port}"

[limits]
disk_mb = 64
memory_mb = {memory_mb}

[bounds]
grace_s = 8
"""
TENANT = "shop"
KEY = "stand-in-key-7f3a"


@dataclass
class NodeProcess:
    """One node: its settings file and its process."""

    name: str
    role: str
    ip: str
    path: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Tell whether the process is running."""
        return self.process is not None and self.process.poll() is None


@dataclass
class StandInRunner:
    """A runner: the requests that it has run, and the faults of the next requests."""

    runner: str
    service: str
    address: str
    zone: str
    version: str = "v1"
    """The version of its software."""
    names_version: bool = False
    """Whether the data of its events ends with its version."""
    slots: int = 8
    ran: list[str] = field(default_factory=list)
    drained_since_s: float | None = None
    """When the drain of its zone was acknowledged; None while the zone is not drained."""
    ran_in_drain: list[str] = field(default_factory=list)
    """Requests that arrived more than ``ZONE_DRAIN_S`` after that acknowledgement."""
    misnamed: list[str] = field(default_factory=list)
    """Requests that arrived with an API key or without the name of their tenant."""
    broken_off: list[str] = field(default_factory=list)
    """Requests whose streams it has aborted."""
    resumed_after: list[str] = field(default_factory=list)
    refuse: int = 0
    break_after: int | None = None
    """Abort the next stream after this many events."""
    event_pause_s: float = 0.0
    together: list["StandInRunner"] = field(default_factory=list)
    """All runners: only the first one that streams aborts its stream."""
    faults: StreamFaults | None = None
    """Random generator for the faults of a soak."""
    leaving: bool = False
    is_down: bool = False
    sequence: int = 0
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    server: Any = None
    port: Any = None
    fatal_runs: list[float] = field(default_factory=list)
    """When the fatal body started to run here."""
    fatal_parts: frozenset[str] = frozenset()
    """Prompt parts that end the process, unless they are a prompt's last part."""
    part_runs: list[tuple[str, float]] = field(default_factory=list)
    """Which fatal part started to run here, and when."""
    ends: list[tuple[str, float]] = field(default_factory=list)
    """Which fatal part ended the process, and when."""
    come_back: Callable[[], None] = lambda: None

    def handle(self, exchange: Exchange) -> None:
        """Answer a request as the platform's runners do."""
        fields = exchange.request.headers
        request = header_text(fields, b"request-id")
        if header_text(fields, b"expect-instance") != self.runner:
            exchange.answer(421, ((b"Instance-Id", self.runner.encode()),), b"")
            return
        if self.refuse > 0:
            self.refuse -= 1
            exchange.answer(503, ((b"Not-Run", b"1"), (b"Request-Id", request.encode())), b"")
            return
        self.ran.append(request)
        since_s = self.drained_since_s
        if since_s is not None and time.monotonic() - since_s > ZONE_DRAIN_S:
            self.ran_in_drain.append(request)
        if header_text(fields, b"authorization") or header_text(fields, b"tenant") != TENANT:
            self.misnamed.append(request)
        if exchange.request.body == FATAL_BODY:
            self.fatal_runs.append(time.monotonic())
            self.die()
            return
        part = self._fatal_part(header_text(fields, b"prompt-prefix"))
        if part:
            self.part_runs.append((part, time.monotonic()))
            reactor.callLater(FATAL_PART_AFTER_S, self._die_of, part, self.born_ms)
            return
        answer = [(b"Request-Id", request.encode()), (b"Response-Stamp", b"stamp-1")]
        target = exchange.request.target
        after = header_text(fields, b"last-event-id")
        if self.faults and self.faults.fails(request, b"/jobs/" in target, bool(after)):
            exchange.answer(500, tuple(answer), failure_body(request))
        elif b"/stream/" in target or b"/jobs/" in target:
            self._stream(exchange, answer, after)
        elif LARGE_PATH in target:
            exchange.answer(200, tuple(answer), b"x" * int(target.rpartition(b"/")[2]))
        else:
            exchange.answer(200, tuple(answer), b"echo " + exchange.request.body)

    def _fatal_part(self, prompt: str) -> str:
        parts = [text.strip().partition(":")[0] for text in prompt.split(",")[:-1]]
        return next((part for part in parts if part in self.fatal_parts), "")

    def _die_of(self, part: str, born_ms: int) -> None:
        if born_ms == self.born_ms and not self.is_down:
            self.ends.append((part, time.monotonic()))
            self.die()

    def die(self) -> None:
        """End like a process: stop listening and close each connection gracefully."""
        self.is_down = True
        self.port.stopListening()
        for connection in list(self.server.connections):
            connection.transport.loseConnection()
        reactor.callLater(BACK_AFTER_S, self.come_back)

    def _stream(self, exchange: Exchange, answer: list[tuple[bytes, bytes]], after: str) -> None:
        if after:
            self.resumed_after.append(after)
        answer.append((b"Content-Type", b"text/event-stream"))
        first = int(after or 0) + 1
        is_item = b"/jobs/" in exchange.request.target
        unframed = self.faults is not None and self.faults.is_unframed()
        crash = self.faults and self.faults.crash(first, EVENTS, unframed, is_item)
        kind = UnframedStream if unframed else ChunkedStream
        self._send_event(exchange, kind(exchange, tuple(answer)), first, crash)

    def _send_event(
        self, exchange: Exchange, stream: StandInStream, number: int, crash: Crash | None
    ) -> None:
        if self.break_after is not None and number > self.break_after:
            self._note_broken(exchange)
            for each in self.together:
                each.break_after = None
            stream.write(b"id: 99\nda")
            exchange.abort()
            return
        if number > EVENTS:
            stream.end()
            return
        version = f" of {self.version}" if self.names_version else ""
        event = f"id: {number}\ndata: text {number}{version}\n\n".encode()
        if crash is not None and number == crash.event:
            self._note_broken(exchange)
            stream.write(event[: int(len(event) * crash.part)])
            stream.close()
            return
        stream.write(event)
        reactor.callLater(self.event_pause_s, self._send_event, exchange, stream, number + 1, crash)

    def _note_broken(self, exchange: Exchange) -> None:
        self.broken_off.append(header_text(exchange.request.headers, b"request-id"))


class StandInPlatform:
    """Starts nodes, and simulates runners, clients and the operator."""

    memory_mb: dict[str, int] = {}
    """Memory of the machines of a role; none for no known limit."""
    descriptors: dict[str, int] = {}
    """Limit on the open descriptors of a role's processes; none for that of this process."""

    def __init__(
        self,
        controllers: int = 3,
        storage: int = 3,
        gateways: int = 2,
        program: Path = ROOT / "platform" / "serve.py",
    ) -> None:
        """``program`` is what each node's process runs."""
        self._program = program
        self._spawner = ThreadPoolExecutor(1)
        """Thread that starts all nodes: the kernel ends them together with this thread."""
        self._folder = tempfile.TemporaryDirectory()
        self._network = LoopbackNetwork()
        self.octet = self._network.octet
        self.nodes: dict[str, NodeProcess] = {}
        self.runners: list[StandInRunner] = []
        self.version = 0
        self._is_closed = False
        counts = {"controller": controllers, "storage": storage, "gateway": gateways}
        self.seeds = [self._ip("controller", number) for number in range(1, controllers + 1)]
        for role, count in counts.items():
            for number in range(1, count + 1):
                self.start(f"{role}-{number}", founding=True)

    def _ip(self, role: str, number: int) -> str:
        third = {"controller": 1, "storage": 2, "gateway": 3, "runner": 4}[role]
        return f"127.{self.octet}.{third}.{number}"

    # --- nodes ---------------------------------------------------------------------------

    def start(self, name: str, founding: bool = False) -> None:
        """Start a node's process with newly written settings."""
        role, _, number = name.partition("-")
        ip = self._ip(role, int(number))
        folder = Path(self._folder.name) / name
        folder.mkdir(exist_ok=True)
        path = Path(self._folder.name) / f"{name}.toml"
        seeds = ", ".join(f'"{seed}:{CONTROL_PORT}"' for seed in self.seeds)
        path.write_text(
            SETTINGS.format(
                name=name,
                role=role,
                zone=f"zone-{int(number) % 3}",
                ip=ip,
                folder=folder,
                founding=str(founding).lower(),
                first_port=FIRST_PORT,
                last_port=FIRST_PORT + 9,
                seeds=seeds,
                client_port=CLIENT_PORT,
                ready_port=READY_PORT,
                control_port=CONTROL_PORT,
                metrics_port=METRICS_PORT,
                memory_mb=self.memory_mb.get(role, 0),
            )
        )
        node = NodeProcess(name, role, ip, path)
        log = Path(self._folder.name) / f"{name}.log"
        start = self._spawner.submit(
            self.spawn, path, log, self._program, self.descriptors.get(role, 0)
        )
        node.process = start.result()
        self.nodes[name] = node

    @staticmethod
    def spawn(
        path: Path,
        log: Path,
        program: Path = ROOT / "platform" / "serve.py",
        descriptors: int = 0,
    ) -> subprocess.Popen[bytes]:
        """Start the adapter's program on a settings file.

        ``descriptors`` is the limit on its open descriptors, 0 for that of this process.
        """

        def prepare() -> None:
            die_with_parent()
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        with log.open("ab") as output:
            return subprocess.Popen(
                [sys.executable, str(program)],
                env={**os.environ, "RAINSAIL_BOOT": str(path)},
                stdout=output,
                stderr=subprocess.STDOUT,
                preexec_fn=prepare,
            )

    def kill(self, name: str) -> None:
        """Kill a node's process."""
        process = self.nodes[name].process
        assert process is not None
        process.kill()
        process.wait()

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a node's process."""
        process = self.nodes[name].process
        assert process is not None
        process.send_signal(signal.SIGTERM)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a node's process."""
        process = self.nodes[name].process
        assert process is not None
        process.send_signal(number)

    def wipe(self, name: str) -> None:
        """Empty the data folder of a node whose process has ended."""
        folder = Path(self._folder.name) / name
        shutil.rmtree(folder)
        folder.mkdir()

    def log_lines(self, name: str) -> list[dict[str, Any]]:
        """Return the JSON lines that a node has written."""
        text = (Path(self._folder.name) / f"{name}.log").read_text()
        lines = [line for line in text.splitlines() if line.startswith("{")]
        return [json.loads(line) for line in lines]

    def log_path(self, name: str) -> Path:
        """Return the file of a node's output."""
        return Path(self._folder.name) / f"{name}.log"

    def keep_logs(self, folder: Path) -> None:
        """Copy the nodes' output to a permanent folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for name in self.nodes:
            shutil.copy(self.log_path(name), folder)

    def close(self) -> None:
        """Stop everything that was started."""
        self._is_closed = True
        for node in self.nodes.values():
            if node.running:
                assert node.process is not None
                node.process.kill()
                node.process.wait()
        self._spawner.shutdown()
        for runner in self.runners:
            in_reactor(runner.port.stopListening)
        self._network.close()
        self._folder.cleanup()

    # --- the operator --------------------------------------------------------------------

    def call(
        self, ip: str, port: int, method: str, path: str, body: bytes = b"", **headers: str
    ) -> tuple[int, bytes, dict[str, str]]:
        """Make one call on a new connection; status 0 means no answer."""
        connection = http.client.HTTPConnection(ip, port, timeout=10)
        try:
            named = {name.replace("_", "-"): value for name, value in headers.items()}
            connection.request(method, path, body or None, named)
            response = connection.getresponse()
            return response.status, response.read(), dict(response.getheaders())
        except (OSError, http.client.HTTPException):
            return 0, b"", {}
        finally:
            connection.close()

    def control(self, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
        """Call the controllers in turn until one answers with a status below 500."""
        content = b"" if body is None else json.dumps(body).encode()
        status, answer = 0, b""
        for name in [n for n in self.nodes if n.startswith("controller")]:
            status, answer, _ = self.call(self.nodes[name].ip, CONTROL_PORT, method, path, content)
            if 0 < status < 500:
                break
        return status, answer

    def drain_zone(self, zone: str) -> int:
        """Drain a zone; returns the status."""
        status, _ = self.control("POST", f"/api/Evacuate.Start/{zone}")
        if status == 200:
            self._note_drain(zone, time.monotonic())
        return status

    def end_drain(self, zone: str) -> int:
        """End a zone's drain; returns the status."""
        self._note_drain(zone, None)
        return self.control("POST", f"/api/Evacuate.Finish/{zone}")[0]

    def _note_drain(self, zone: str, since_s: float | None) -> None:
        for runner in self.runners:
            if runner.zone == zone:
                runner.drained_since_s = since_s

    def configuration(self, version: int) -> dict[str, Any]:
        """Return a configuration of four routes on one service."""
        kinds = {"safe": "safe", "once": "unsafe", "stream": "streaming", "jobs": "batch"}
        routes = [
            {
                "name": name,
                "host": HOST,
                "pathPrefix": f"/{name}/",
                "kind": kind,
                "timeoutMs": 8000,
                "targetLatencyMs": 500,
                "priority": 0,
                "service": "model",
                "maxAttempts": 2,
                "resumable": name == "stream",
                "gapTargetMs": 500,
            }
            for name, kind in kinds.items()
        ]
        services = [{"name": "model", "healthPath": "/healthz", "maxConnections": 50}]
        tenants = [{"name": TENANT, "apiKeys": [KEY], "ratePerS": 2000, "burst": 2000}]
        return {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {},
            "tenants": tenants,
        }

    def configure(self) -> None:
        """Send the next configuration until it is acknowledged."""
        self.version += 1
        body = self.configuration(self.version)
        path = "/api/Config.Replace"
        wait_until(lambda: self.control("POST", path, body)[0] == 200, "the configuration")

    # --- runners -------------------------------------------------------------------------

    def add_runner(self, version: str = "v1") -> StandInRunner:
        """Start a runner of a software version, and send its first heartbeat."""
        number = len(self.runners) + 1
        ip = self._ip("runner", number)
        address = f"{ip}:{RUNNER_PORT}"
        runner = StandInRunner(f"i-{number}", "model", address, f"zone-{number % 3}", version)
        runner.server = HttpServer(runner.handle, MonotonicClock(reactor), HttpLimits())
        runner.port = in_reactor(reactor.listenTCP, RUNNER_PORT, runner.server, 50, ip)
        self.runners.append(runner)
        runner.together = self.runners
        runner.come_back = lambda: self._come_back(runner, ip)
        self.beat(runner)
        return runner

    def _come_back(self, runner: StandInRunner, ip: str) -> None:
        """Restart a runner under its id, in the reactor's thread, and report it to the platform."""
        if self._is_closed:
            return
        runner.port = reactor.listenTCP(RUNNER_PORT, runner.server, 50, ip)
        runner.sequence = 0
        runner.is_down = False
        runner.born_ms = int(time.time() * 1000)
        reactor.callInThread(self.beat, runner)

    def beat(self, runner: StandInRunner, state: str = "ready") -> int:
        """Send one heartbeat; returns the status."""
        runner.sequence += 1
        body = {
            "service": runner.service,
            "address": runner.address,
            "zone": runner.zone,
            "version": runner.version,
            "slots": runner.slots,
            "state": state,
            "coldLeftMs": 0,
            "sequence": runner.sequence,
            "born": runner.born_ms,
        }
        status, _ = self.control("POST", f"/api/Instances.Heartbeat/{runner.runner}", body)
        return status

    # --- clients -------------------------------------------------------------------------

    def client(
        self, gateway: str, method: str, path: str, body: bytes = b"", **headers: str
    ) -> tuple[int, bytes, dict[str, str]]:
        """Make a client's call at a gateway, on a new connection."""
        ip = self.nodes[gateway].ip
        return self.call(ip, CLIENT_PORT, method, path, body, **client_fields(**headers))

    def metric(self, node: str, name: str, **labels: str) -> float:
        """Return a value from a node's metrics page, 0 if it is missing."""
        _, body, _ = self.call(self.nodes[node].ip, METRICS_PORT, "GET", "/metrics")
        wanted = "".join(f'{key}="{value}"' for key, value in labels.items())
        for line in body.decode().splitlines():
            if line.startswith(f"rainsail_{name}") and wanted in line.replace(",", ""):
                return float(line.rpartition(" ")[2])
        return 0.0

    def is_up(self, node: str) -> bool:
        """Tell whether a node's process has started, that is, whether its metrics can be read."""
        ip = self.nodes[node].ip
        return self.call(ip, METRICS_PORT, "GET", "/metrics")[0] == HTTPStatus.OK

    def is_ready(self, gateway: str) -> bool:
        """Send a readiness check to a gateway, as the ingress does."""
        status, _, _ = self.call(self.nodes[gateway].ip, READY_PORT, "GET", "/api/readyz")
        return status == 200

    def listens(self, gateway: str) -> bool:
        """Tell whether a gateway's process is up: the clients' port opens before this one."""
        status, _, _ = self.call(self.nodes[gateway].ip, READY_PORT, "GET", "/api/readyz")
        return status != 0

    def submit(self, gateway: str, job: str, count: int) -> int:
        """Submit a job; returns the status."""
        items = [
            {
                "id": f"{job}-{number}",
                "path": f"/jobs/{job}/{number}",
                "headers": {"Model": "m"},
                "body": base64.b64encode(b"item body").decode(),
                "tokens": 10,
            }
            for number in range(count)
        ]
        body = json.dumps({"items": items}).encode()
        status, _, _ = self.client(gateway, "POST", f"/jobs/{job}", body, Request_Id=job)
        return status

    def results(self, gateway: str, job: str, after: int = 0) -> dict[str, Any] | None:
        """Read a job's results; None if the read is not answered."""
        status, body, _ = self.client(gateway, "GET", f"/api/lots/{job}?after={after}")
        return json.loads(body) if status == 200 else None


def client_fields(**more: str) -> dict[str, str]:
    """Return the header fields of a client's call."""
    return {
        "Host": HOST,
        "Deadline-Ms": "6000",
        "Authorization": f"Token {KEY}",
        "Tenant": "somebody-else",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds."""
    until_s = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < until_s, f"never came true: {what}"
        time.sleep(LOOK_PERIOD_S)


@contextlib.contextmanager
def platform(**counts: int) -> Any:
    """Run a platform and stop it at the end."""
    running = StandInPlatform(**counts)
    try:
        yield running
    finally:
        running.close()
