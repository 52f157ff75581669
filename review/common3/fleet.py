"""A small deployment on loopback: the project's processes, servers, an operator and clients.

The processes are started with the commands of ``deploy/system.toml`` and settings files like those
that ``deploy/node.toml.template`` gives. Servers, the operator and clients speak what the users'
pages say. Standard library only. All waits are in seconds of the steady clock.
"""

import asyncio
import base64
import contextlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "platform/serve.py"]
"""The ``run`` line of all roles in ``deploy/system.toml``."""
HOST = "ficu95.example"
CONTROL, CLIENTS, READY, METRICS, RUNNER = 8146, 8144, 8140, 9464, 8101
FIRST_PORT, LAST_PORT = 7660, 7675
ZONES = ("guishan-hall", "luzhu-hall", "dayuan-hall")
HEARTBEAT_S = 1.2
THIRD_OCTET = {"controller": 1, "storage": 2, "gateway": 3, "runner": 4}
MEMORY_MB = {"controller": 296, "storage": 290, "gateway": 260}
DISK_MB = {"controller": 128, "storage": 470, "gateway": 0}
SETTINGS = """\
[node]
name = "{name}"
role = "{role}"
zone = "{zone}"
region = "taoyuan"
ip = "{ip}"
data_folder = "{folder}"
founding = {founding}
losses = 1

[peers]
first_port = {first}
last_port = {last}
seeds = {seeds}

[listen]
clients = "{clients}"
readiness = "{ready}"
control = "{control}"
metrics = "{ip}:{metrics}"

[limits]
disk_mb = {disk}
memory_mb = {memory}
descriptors = 4200

[bounds]
grace_s = 8.0

[node.zones]
"guishan-hall" = "taoyuan"
"luzhu-hall" = "taoyuan"
"dayuan-hall" = "taoyuan"
"""


class CaseError(Exception):
    """The case could not run."""


class Record:
    """``record.txt``: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def add(self, event: str, **fields: Any) -> None:
        """Write a line."""
        with self._lock:
            at_s = time.monotonic() - self._began_s
            text = " ".join(f"{name}={value}" for name, value in fields.items())
            self._file.write(f"{at_s:8.3f} {event} {text}\n")
            self._file.flush()


@dataclass
class Node:
    """One machine with one process."""

    name: str
    role: str
    ip: str
    process: "subprocess.Popen[bytes] | None" = None


class Fleet:
    """The project's processes; use as a context manager, which ends all of them."""

    def __init__(
        self, record: Record, controllers: int = 3, storage: int = 3, gateways: int = 2
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.octet = _free_octet()
        self.nodes: dict[str, Node] = {}
        self.servers: list[Server] = []
        self._counts = {"controller": controllers, "storage": storage, "gateway": gateways}
        self.seeds = [f"{self.ip('controller', n)}:{CONTROL}" for n in range(1, 4)][:controllers]
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._stopped = threading.Event()
        self._beats: threading.Thread | None = None

    def __enter__(self) -> "Fleet":
        self._thread.start()
        for role, count in self._counts.items():
            for number in range(1, count + 1):
                self.start(f"{role}-{number}", founding=True)
        return self

    def __exit__(self, *_: Any) -> None:
        self._stopped.set()
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if self._beats is not None:
            self._beats.join()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    # --- processes -----------------------------------------------------------------------

    def ip(self, role: str, number: int) -> str:
        """Return the address of a machine."""
        return f"127.{self.octet}.{THIRD_OCTET[role]}.{number}"

    def start(self, name: str, founding: bool = False) -> None:
        """Write a node's settings and start its process."""
        role, _, number = name.partition("-")
        ip = self.ip(role, int(number))
        data = self.folder / name
        data.mkdir(exist_ok=True)
        path = self.folder / f"{name}.toml"
        text = SETTINGS.format(
            name=name,
            role=role,
            zone=ZONES[(int(number) - 1) % len(ZONES)],
            ip=ip,
            folder="" if role == "gateway" else data,
            founding=str(founding).lower(),
            first=FIRST_PORT,
            last=LAST_PORT,
            seeds=json.dumps(self.seeds),
            clients=f"{ip}:{CLIENTS}" if role == "gateway" else "",
            ready=f"{ip}:{READY}" if role == "gateway" else "",
            control=f"{ip}:{CONTROL}" if role == "controller" else "",
            metrics=METRICS,
            disk=DISK_MB[role],
            memory=MEMORY_MB[role],
        )
        path.write_text(text)
        libraries = str(ROOT / "target" / "deps")
        environment = {**os.environ, "RAINSAIL_BOOT": str(path), "PYTHONPATH": libraries}
        with (self.folder / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=output, stderr=subprocess.STDOUT
            )
        self.nodes[name] = Node(name, role, ip, process)
        self.record.add("process started", node=name, address=ip)

    def signal(self, name: str, number: int) -> None:
        """Signal a process that this script has started."""
        process = self.nodes[name].process
        assert process is not None
        process.send_signal(number)
        self.record.add("signal", node=name, signal=signal.Signals(number).name)

    def kill(self, name: str) -> None:
        """Kill a node's process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        process = self.nodes[name].process
        assert process is not None
        process.wait()

    def wipe(self, name: str) -> None:
        """Empty the disk of a node whose process has ended."""
        shutil.rmtree(self.folder / name)
        (self.folder / name).mkdir()
        self.record.add("disk lost", node=name)

    def log_lines(self, name: str) -> list[dict[str, Any]]:
        """Return the JSON lines that a node has logged."""
        text = (self.folder / f"{name}.log").read_text(errors="replace")
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def metric(self, name: str, metric: str) -> float | None:
        """Return a node's metric, None if it does not answer."""
        status, body, _ = call(self.nodes[name].ip, METRICS, "GET", "/metrics", timeout_s=1.0)
        if status != 200:
            return None
        for line in body.decode().splitlines():
            if line.startswith(f"rainsail_{metric} ") or line.startswith(f"rainsail_{metric}{{"):
                return float(line.rpartition(" ")[2])
        return None

    # --- the operator --------------------------------------------------------------------

    def control(self, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
        """Make an operator's or server's call, moving to another node after a failure."""
        content = b"" if body is None else json.dumps(body).encode()
        status, answer = 0, b""
        names = [name for name in self.nodes if name.startswith("controller")]
        random.shuffle(names)
        for name in names:
            status, answer, _ = call(
                self.nodes[name].ip, CONTROL, method, path, content, JSON, timeout_s=1.0
            )
            if 0 < status < 500:
                break
        return status, answer

    def configure(self, configuration: dict[str, Any], within_s: float = 30.0) -> None:
        """Send a configuration again and again until it is acknowledged."""

        def taken() -> bool:
            return self.control("POST", "/api/Config.Replace", configuration)[0] == 200

        wait_until(taken, "the configuration is acknowledged", within_s)
        self.record.add("configuration acknowledged", version=configuration["version"])

    # --- servers -------------------------------------------------------------------------

    def add_server(self, server: "Server") -> None:
        """Start a server; it sends heartbeats until the end."""
        server.fleet = self
        asyncio.run_coroutine_threadsafe(server.listen(), self._loop).result(10)
        self.servers.append(server)
        if self._beats is None:
            self._beats = threading.Thread(target=self._beat, daemon=True)
            self._beats.start()

    def _beat(self) -> None:
        while not self._stopped.is_set():
            for server in list(self.servers):
                if server.beats:
                    server.beat()
            self._stopped.wait(HEARTBEAT_S)

    def wait_ready(self, within_s: float = 30.0) -> None:
        """Wait until every gateway says that it is ready."""
        names = [name for name in self.nodes if name.startswith("gateway")]

        def ready() -> bool:
            answers = [call(self.nodes[n].ip, READY, "GET", "/api/readyz")[0] for n in names]
            return all(status == 200 for status in answers)

        wait_until(ready, "every gateway is ready", within_s)

    # --- clients -------------------------------------------------------------------------

    def client(
        self,
        gateway: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Make a client's call on a new connection; status 0: no complete answer."""
        fields = {"Host": HOST, **(headers or {})}
        return call(self.nodes[gateway].ip, CLIENTS, method, path, body, fields, timeout_s)


JSON = {"Content-Type": "application/json"}


@dataclass
class Server:
    """A sound model server. ``events_of`` gives the data of the events of a request's stream."""

    runner: str
    service: str
    address: str
    zone: str
    slots: int
    events_of: Callable[["Request"], list[str]]
    event_pause_s: float = 0.0
    version: str = "v1"
    beats: bool = True
    state: str = "ready"
    fleet: Any = None
    sequence: int = 0
    running: int = 0
    most_running: int = 0
    runs: list[str] = field(default_factory=list)
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    listener: Any = None

    async def listen(self) -> None:
        """Begin to accept connections."""
        ip, _, port = self.address.partition(":")
        self.listener = await asyncio.start_server(self.serve, ip, int(port), backlog=200)

    def beat(self) -> int:
        """Send a heartbeat; returns the status."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        path = f"/api/Instances.Heartbeat/{self.runner}"
        return int(self.fleet.control("POST", path, body)[0])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one request at a time on a connection."""
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                await self.answer(request, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, request: "Request", writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        if request.path.startswith("/healthz"):
            head = [f"Instance-Id: {self.runner}", f"Server-Load: {self.running},0,{self.slots}"]
            await send(writer, 200, head, b"")
            return
        if request.path.startswith("/api/"):
            await send(writer, 404, [], b"")
            return
        own = [f"Request-Id: {request.headers.get('request-id', '')}"]
        if request.headers.get("expect-instance", self.runner) != self.runner:
            await send(writer, 421, [*own, "Not-Run: 1"], b"")
            return
        if self.running >= self.slots:
            await send(writer, 503, [*own, "Not-Run: 1"], b"")
            return
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self.runs.append(request.headers.get("request-id", ""))
        try:
            await self.stream(request, writer, own)
        finally:
            self.running -= 1

    def pause_s(self, request: "Request") -> float:
        """Return the pause between two events of a request's stream."""
        return self.event_pause_s

    async def stream(
        self, request: "Request", writer: asyncio.StreamWriter, own: list[str]
    ) -> None:
        """Send the events behind the one that the request names, in chunks."""
        head = [
            *own,
            "Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1",
            "Content-Type: text/event-stream",
            "Weight-Versions: 1",
            "Transfer-Encoding: chunked",
            f"Server-Load: {self.running},0,{self.slots}",
        ]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(head) + "\r\n\r\n").encode())
        events = self.events_of(request)
        after = int(request.headers.get("last-event-id", "0") or "0")
        pause_s = self.pause_s(request)
        for number, data in enumerate(events[after:], start=after + 1):
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            if pause_s or not number % 16:
                await writer.drain()
                await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


@dataclass(frozen=True)
class Request:
    """A request as a server got it; header names in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, path, headers, body)


async def send(writer: asyncio.StreamWriter, status: int, head: list[str], body: bytes) -> None:
    """Send an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *head, f"Content-Length: {len(body)}"]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()


def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, bytes, dict[str, str]]:
    """Make one call on a new connection; status 0 means that no complete answer came."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        return response.status, response.read(), dict(response.getheaders())
    except (OSError, http.client.HTTPException):
        return 0, b"", {}
    finally:
        connection.close()


def wait_until(condition: Callable[[], bool], what: str, within_s: float) -> None:
    """Wait until a condition holds; raises ``CaseError`` if it does not in time."""
    until_s = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > until_s:
            raise CaseError(f"never came true: {what}")
        time.sleep(0.1)


def batch_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with one batch route, with the values of a small deployment."""
    route = {
        "name": "r-batch",
        "host": HOST,
        "pathPrefix": "/pule252/",
        "kind": "batch",
        "timeoutMs": 25000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": "huvo11a",
        "maxAttempts": 3,
        "sticky": True,
        "resumable": True,
        "gapTargetMs": 500,
        "completionTargetMs": 20000,
        "keepS": 60,
    }
    service = {
        "name": "huvo11a",
        "healthPath": "/healthz",
        "maxConnections": 200,
        "protocol": "h1",
        "tls": False,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": version, "routes": [route], "services": [service], "limits": limits}


def job_body(job: str, items: int, body_bytes: int = 64) -> bytes:
    """Return the JSON body of a batch job."""
    content = base64.b64encode(random.Random(job).randbytes(body_bytes)).decode()
    entries = [
        {
            "id": f"{job}{number:04x}",
            "path": f"/pule252/{job}/{number}",
            "headers": {
                "Model": "m",
                "Token-Usage": "540,400",
                "Prompt-Prefix": f"9c2e41:300,{number:08x}:240",
            },
            "body": content,
            "tokens": 940,
        }
        for number in range(items)
    ]
    return json.dumps({"items": entries}).encode()


def _free_octet() -> int:
    """Return a second octet of a loopback network on which none of the ports is in use."""
    for octet in random.sample(range(20, 250), 50):
        with contextlib.ExitStack() as stack:
            try:
                for third in THIRD_OCTET.values():
                    for port in (CONTROL, CLIENTS, READY, METRICS, RUNNER, FIRST_PORT):
                        taken = stack.enter_context(socket.socket())
                        taken.bind((f"127.{octet}.{third}.1", port))
            except OSError:
                continue
            return octet
    raise CaseError("no free loopback addresses")


def has_trouble() -> bool:
    """Tell whether the disruption is to happen: not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, case: Callable[[Record], str]) -> None:
    """Run a case, which returns what broke the rule, empty if it held; ends the process."""
    record = Record(folder / "record.txt")
    try:
        broken = case(record)
    except CaseError as error:
        record.add("the case could not run", reason=repr(str(error)))
        print(f"could not run: {error}")
        sys.exit(2)
    record.add("broken" if broken else "held", what=repr(broken))
    print(f"BROKEN: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
