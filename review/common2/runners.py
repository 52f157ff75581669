"""Stand-ins of runners, by the users' protocol page: one asyncio server for each incarnation."""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.common2.fleet import CONTROL_PORT, Fleet
from review.common2.record import Record

RUNNER_PORT = 17700
HEARTBEAT_S = 1.2
NO_ROOM = 503
LOOK_S = 0.05
"""How often a runner looks whether the connection of a request has closed."""


@dataclass
class Request:
    """A request as a runner read it."""

    method: str
    path: str
    fields: dict[str, str]
    body: bytes

    @property
    def name(self) -> str:
        """Its ``Request-Id``."""
        return self.fields.get("request-id", "")


@dataclass
class Run:
    """One request that a runner has begun to work on, and the seconds of the case."""

    request: str
    runner: str
    version: str
    began_s: float
    after: str = ""
    ended_s: float | None = None
    ended: str = "under way"


@dataclass
class Runner:
    """One runner under one id; ``start`` begins an incarnation, ``crash`` ends it.

    ``events`` and ``pause_s`` say how many events a stream has and how long each takes.
    ``is_fatal`` tells which requests end the process that begins to run them.
    """

    fleet: Fleet
    record: Record
    name: str
    number: int
    service: str
    version: str = "v1"
    slots: int = 12
    events: int = 20
    pause_s: float = 0.1
    work_s: float = 0.02
    first_s: float = 0.0
    """How long a runner reads an item's prompt before its first event."""
    names_version: bool = True
    is_fatal: Callable[[Request], bool] = lambda request: False
    on_fatal: Callable[["Runner", Request], None] = lambda runner, request: None
    born_ms: int = 0
    clock_ahead_ms: int = 0
    """How far the time of day of this runner's machine is ahead of true time."""
    sequence: int = 0
    state: str = "ready"
    runs: list[Run] = field(default_factory=list)
    acknowledged_s: dict[str, float] = field(default_factory=dict)
    """When a state was first acknowledged to the incarnation that is up."""
    is_up: bool = False
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set["asyncio.Task[None]"] = field(default_factory=set)
    _beats: "asyncio.Task[None] | None" = None

    @property
    def ip(self) -> str:
        """The address of its machine."""
        return self.fleet.ip(f"runner-{self.number}")

    @property
    def zone(self) -> str:
        """The zone of its machine."""
        return ("hall-a", "hall-b", "hall-c")[self.number % 3]

    async def start(self, first_beat_after_s: float = 0.0) -> None:
        """Begin an incarnation: it knows nothing of before, and its counts start anew."""
        self.born_ms = int(time.time() * 1000) + self.clock_ahead_ms
        self.sequence = 0
        self.state = "ready"
        self.acknowledged_s = {}
        self._server = await asyncio.start_server(self._serve, self.ip, RUNNER_PORT)
        self.is_up = True
        self.record.note(
            f"runner {self.name} starts: version {self.version}, born {self.born_ms}, "
            f"first heartbeat after {first_beat_after_s:g} s"
        )
        self._beats = asyncio.create_task(self._beat(first_beat_after_s))

    def crash(self) -> None:
        """End like a process that is killed: its connections and its port are gone."""
        self.record.note(f"runner {self.name} of version {self.version} crashes")
        self.is_up = False
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()
        for task in list(self._tasks):
            task.cancel()

    def stop_beats(self) -> None:
        """Send no more heartbeats of this incarnation."""
        if self._beats is not None:
            self._beats.cancel()

    async def end(self) -> None:
        """End in order, at the end of the case."""
        if self.is_up:
            self.crash()

    # --- heartbeats ------------------------------------------------------------------------

    async def _beat(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self) -> int:
        """Send one heartbeat; the next controller gets it if one does not acknowledge it."""
        self.sequence += 1
        state = self.state
        body = {
            "service": self.service,
            "address": f"{self.ip}:{RUNNER_PORT}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        return await self._tell(f"/api/Instances.Heartbeat/{self.name}", body, state)

    async def deregister(self) -> int:
        """Say that this incarnation ends."""
        path = f"/api/Instances.Deregister/{self.name}"
        return await self._tell(path, {"born": self.born_ms}, "gone")

    async def _tell(self, path: str, body: dict[str, object], state: str) -> int:
        controllers = [each for each in self.fleet.names if each.startswith("controller")]
        status, born_ms = 0, self.born_ms
        for name in controllers:
            call = (name, CONTROL_PORT, "POST", path, body)
            status, _ = await asyncio.to_thread(self.fleet.call, *call)
            if 200 <= status < 300:
                break
        if state != "ready" or self.sequence == 1 or not 200 <= status < 300:
            line = f"runner {self.name} says {state} (born {born_ms}): {status} from {name}"
            self.record.note(line)
        if 200 <= status < 300 and born_ms == self.born_ms:
            self.acknowledged_s.setdefault(state, self.record.now_s)
        return status

    # --- requests --------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                await self._answer(request, writer, reader)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: Request, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> None:
        if not request.name:
            await self._answer_other(request, writer)
            return
        if request.fields.get("expect-instance", self.name) != self.name:
            await _send(writer, 421, {"Not-Run": "1", "Request-Id": request.name})
            return
        running = sum(each.ended == "under way" for each in self.runs)
        if running >= self.slots:
            await _send(writer, NO_ROOM, {"Not-Run": "1", "Request-Id": request.name})
            return
        after = request.fields.get("last-event-id", "")
        run = Run(request.name, self.name, self.version, self.record.now_s, after)
        self.runs.append(run)
        self.record.note(
            f"runner {self.name} of {self.version} runs {request.name}"
            + (f" behind event {after}" if after else "")
        )
        if self.is_fatal(request):
            self.on_fatal(self, request)
            run.ended, run.ended_s = "crashed", self.record.now_s
            return
        work = asyncio.ensure_future(self._work(request, run, writer))
        try:
            while not (await asyncio.wait({work}, timeout=LOOK_S))[0]:
                if reader.at_eof() or reader.exception() is not None:
                    self.record.note(f"runner {self.name} drops {request.name}: its sender left")
                    raise ConnectionResetError
            work.result()
            run.ended = "whole"
        finally:
            work.cancel()
            if run.ended == "under way":
                run.ended = "broken off"
            run.ended_s = self.record.now_s

    async def _answer_other(self, request: Request, writer: asyncio.StreamWriter) -> None:
        fields = {"Instance-Id": self.name, "Content-Type": "application/json"}
        body = b"{}"
        if request.path == "/api/report":
            report = {"stage": "both", "models": [], "busySlots": False, "sequence": 0}
            counts = {"numWaiting": 0, "numRunning": 0, "kvUsed": 0, "kvTotal": 1, "handles": 0}
            body = json.dumps(report | counts).encode()
        status = 200 if request.path in ("/api/report", "/healthz") else 404
        await _send(writer, status, fields, body)

    async def _work(self, request: Request, run: Run, writer: asyncio.StreamWriter) -> None:
        head = {"Request-Id": request.name, "Response-Stamp": f"stamp.{run.runner}"}
        running = sum(each.ended == "under way" for each in self.runs)
        head["Server-Load"] = f"{running},0,{self.slots}"
        if not request.path.startswith(("/stream/", "/jobs/")):
            await asyncio.sleep(self.work_s)
            await _send(writer, 200, head, f"answer to {request.name}".encode())
            return
        head["Content-Type"] = "text/event-stream"
        head["Transfer-Encoding"] = "chunked"
        if request.path.startswith("/jobs/"):
            await asyncio.sleep(self.first_s)
        writer.write(_head(200, head))
        for number in range(int(run.after or 0) + 1, self.events + 1):
            await asyncio.sleep(self.pause_s)
            writer.write(_chunk(self._event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _event(self, number: int) -> bytes:
        said = f"piece {number}" + (f" by {self.version}" if self.names_version else "")
        return f"id: {number}\ndata: {said}\n\n".encode()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, path, _ = first.split(" ")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    body = b""
    if "chunked" in fields.get("transfer-encoding", ""):
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    elif length := int(fields.get("content-length", "0")):
        body = await reader.readexactly(length)
    return Request(method, path, fields, body)


def _head(status: int, fields: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def _send(
    writer: asyncio.StreamWriter, status: int, fields: dict[str, str], body: bytes = b""
) -> None:
    writer.write(_head(status, {**fields, "Content-Length": str(len(body))}) + body)
    with contextlib.suppress(OSError):
        await writer.drain()
