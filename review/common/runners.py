"""Model runners as PROTOCOL.md describes them: an HTTP/1.1 server each, on one event loop.

A runner works on ``slots`` requests at once and queues a few more; the others are rejected with
503 and ``Not-Run``. It answers 421 if ``Expect-Instance`` names another runner. A stream has one
event every ``event_s``; with ``Last-Event-Id`` n it goes on at n + 1, at whatever version. The data
of an event may name the runner's software version, so that a reader can tell who wrote it. A runner
with 0 ``events`` sends one for each ``STRIDE`` tokens that ``Token-Usage`` names as the most out.
"""

import asyncio
import json
import random
import socket
import struct
import threading
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from common.fleet import CONTROL_PORT, Fleet, call
from common.record import Record

PORT = 8080
HEARTBEAT_S = 1.2
QUEUE = 48
STRIDE = 10
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
RESETS_S = 0.05
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class Run:
    """One run at a runner: which request, from which event on, by which version, and when."""

    request: str
    runner: str
    version: str
    after: int
    began_s: float
    ended_s: float | None = None
    events: list[int] = field(default_factory=list)


class Runners:
    """All runners of a case and the event loop on which they work."""

    def __init__(self, fleet: Fleet, record: Record, names_version: bool = False) -> None:
        """``names_version``: the data of each event ends with the runner's software version."""
        self.fleet = fleet
        self.record = record
        self.names_version = names_version
        self.runs: list[Run] = []
        self.all: list[Runner] = []
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self._stopped = threading.Event()
        threading.Thread(target=self._beat_all, daemon=True).start()

    def add(
        self, service: str, zone: str, slots: int, events: int, event_s: float, version: str = "v1"
    ) -> "Runner":
        """Start a runner, and have it report itself."""
        number = len(self.all) + 1
        ip = self.fleet.address("runner", number)
        runner = Runner(self, f"i-{number:08x}", service, ip, zone, slots, events, event_s, version)
        self.wait(runner.listen())
        self.all.append(runner)
        runner.beat()
        return runner

    def wait(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the runners' loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def crash(self, runners: "list[Runner]") -> None:
        """Crash several runners at the same moment."""

        async def crash_together() -> None:
            await asyncio.gather(*(runner.crash() for runner in runners))

        self.wait(crash_together())

    def _beat_all(self) -> None:
        while not self._stopped.wait(HEARTBEAT_S):
            for runner in list(self.all):
                if runner.is_up:
                    threading.Thread(target=runner.beat, daemon=True).start()

    def close(self) -> None:
        """End the heartbeats and the loop."""
        self._stopped.set()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)


class Runner:
    """One runner; ``born`` is the Unix millisecond of its start."""

    def __init__(
        self,
        runners: Runners,
        name: str,
        service: str,
        ip: str,
        zone: str,
        slots: int,
        events: int,
        event_s: float,
        version: str,
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.is_up = True
        self._all = runners
        self._ip = ip
        self._zone = zone
        self._events = events
        self._event_s = event_s
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    # --- life ----------------------------------------------------------------------------

    async def listen(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, self._ip, PORT, backlog=200)

    def beat(self) -> None:
        """Send one heartbeat, to the control addresses in random order until one takes it."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self._ip}:{PORT}",
            "zone": self._zone,
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self._sequence,
            "born": self._born,
        }
        content = json.dumps(body).encode()
        cores = self._all.fleet.of_class("core")
        for node in random.sample(cores, len(cores)):
            path = f"/api/Instances.Heartbeat/{self.name}"
            status, _ = call(node.ip, CONTROL_PORT, "POST", path, content, timeout_s=1.0)
            if 200 <= status < 300:
                return

    async def crash(self) -> None:
        """Crash: the process's connections are reset, its address refuses new ones.

        Connections under way are accepted and reset first: the event loop would leave one that it
        has accepted while it closes the port open and silent.
        """
        self.is_up = False
        for writer in list(self._connections):
            _reset(writer)
        await asyncio.sleep(RESETS_S)
        if self._server is not None:
            self._server.close()
        self._all.record.note("runner_crashed", runner=self.name, service=self.service)

    def start_again(self, version: str) -> None:
        """Start again under the same id and address; counts and ``born`` start anew."""
        self.version = version
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._running = self._waiting = 0
        self._free = asyncio.Semaphore(self.slots)
        self._all.wait(self.listen())
        self.is_up = True
        self._all.record.note("runner_started", runner=self.name, version=version, born=self._born)
        self.beat()

    # --- requests ------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.is_up:
            _reset(writer)
            return
        self._connections.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await _read_head(reader)
        if head is None:
            return False
        method, path, headers = head
        await reader.readexactly(int(headers.get("content-length", "0")))
        request = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            await self._answer(writer, 421, request, {"Not-Run": "1", "Instance-Id": self.name})
        elif method == "GET" and path == "/healthz":
            await self._answer(writer, 200, request, {"Instance-Id": self.name})
        elif self._waiting >= QUEUE:
            await self._answer(writer, 503, request, {"Not-Run": "1"})
        else:
            await self._run(reader, writer, request, headers)
        return True

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: str,
        headers: dict[str, str],
    ) -> None:
        self._waiting += 1
        left = asyncio.ensure_future(reader.read(1))
        free = self._free
        try:
            await _first(free.acquire(), left)
        finally:
            self._waiting -= 1
        after = int(headers.get("last-event-id") or 0)
        run = Run(request, self.name, self.version, after, self._all.record.now_s())
        self._all.runs.append(run)
        self._all.record.note(
            "run", request=request, runner=self.name, version=self.version, after=after
        )
        self._running += 1
        try:
            await self._stream(writer, run, left, self._events or _events_of(headers))
        finally:
            run.ended_s = self._all.record.now_s()
            self._running = max(0, self._running - 1)
            free.release()
            left.cancel()
            await asyncio.gather(left, return_exceptions=True)

    async def _stream(
        self, writer: asyncio.StreamWriter, run: Run, left: "asyncio.Future[bytes]", events: int
    ) -> None:
        await self._write_head(writer, 200, run.request, {"Content-Type": "text/event-stream"})
        for number in range(run.after + 1, events + 1):
            await _first(asyncio.sleep(self._event_s), left)
            version = f" of {run.version}" if self._all.names_version else ""
            data = f"id: {number}\ndata: text {number}{version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            run.events.append(number)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _write_head(
        self, writer: asyncio.StreamWriter, status: int, request: str, more: dict[str, str]
    ) -> None:
        fields = {
            "Request-Id": request,
            "Response-Stamp": STAMP,
            "Weight-Versions": "1",
            "Server-Load": f"{self._running},{self._waiting},{self.slots}",
            "Transfer-Encoding": "chunked",
            **more,
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode())
        await writer.drain()

    async def _answer(
        self, writer: asyncio.StreamWriter, status: int, request: str, more: dict[str, str]
    ) -> None:
        await self._write_head(writer, status, request, more)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, str, dict[str, str]] | None:
    """Return method, path and headers (lower-case names) of the next request; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *rest = raw.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    headers = (line.partition(":") for line in rest if line)
    return method, path, {name.lower(): value.strip() for name, _, value in headers}


def _events_of(headers: dict[str, str]) -> int:
    """Return how many events the answer to a request has, by the tokens that it may have."""
    most_out = headers.get("token-usage", "").rpartition(",")[2]
    return max(1, int(most_out or STRIDE) // STRIDE)


async def _first(work: Coroutine[Any, Any, Any], left: "asyncio.Future[bytes]") -> None:
    """Wait for some work; raises ``OSError`` if the caller's connection ends before."""
    task = asyncio.ensure_future(work)
    await asyncio.wait({task, left}, return_when=asyncio.FIRST_COMPLETED)
    if left.done():
        left.exception()  # Otherwise the loop reports it as not retrieved.
    if not task.done():
        task.cancel()
        raise ConnectionResetError("the caller has closed its connection")
    await task


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    handle = writer.get_extra_info("socket")
    if handle is not None:
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    writer.transport.abort()
