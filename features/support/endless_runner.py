"""Runners whose answers never end, on plain sockets, and a platform with them and sound ones.

All connections of a runner share one thread with non-blocking sockets. Nothing is sent beyond
``MOST_BYTES`` on a connection, and every connection ends with the runner.
"""

import contextlib
import json
import selectors
import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

from features.support.crowded_platform import CrowdedPlatform
from features.support.platform_stand_in import HOST, RUNNER_PORT

FAULTY = "faulty"
KIBIBYTE = 1024
PIECE_BYTES = 64 * KIBIBYTE
MOST_BYTES = 64 * KIBIBYTE * KIBIBYTE
POLL_S = 0.05
READ_BYTES = 64 * KIBIBYTE
HEARTBEAT_S = 1.0
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"
TERABYTE = 10**12


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _numbered(size: int) -> Iterator[bytes]:
    """Yield pieces of events with numbers from 1 on, each with ``size`` bytes of data."""
    number = 0
    while True:
        events = []
        for _ in range(max(1, PIECE_BYTES // (size + 20))):
            number += 1
            events.append(b"id: %d\ndata: %s\n\n" % (number, b"x" * size))
        yield _chunk(b"".join(events))


def _repeated(piece: bytes) -> Iterator[bytes]:
    while True:
        yield piece


def _answer(kind: str, identity: bytes) -> Iterator[bytes]:
    """Yield an answer that never ends; ``identity`` are the fields that name its request."""
    piece = b"x" * PIECE_BYTES
    tiny = _chunk(b"x" * 2) * (PIECE_BYTES // 7)
    ok = b"HTTP/1.1 200 OK\r\n" + identity
    first = b"id: 1\ndata: "
    if kind == "interim answers":
        yield from _repeated(b"HTTP/1.1 100 Continue\r\n\r\n" * 2000)
    elif kind == "an event":
        yield ok + EVENTS + CHUNKED + b"\r\n" + _chunk(first)
        yield from _repeated(_chunk(piece))
    elif kind == "an event without framing":
        yield ok + EVENTS + b"\r\n" + first
        yield from _repeated(piece)
    elif kind == "an event of a terabyte":
        yield ok + EVENTS + b"Content-Length: %d\r\n\r\n" % TERABYTE + first
        yield from _repeated(piece)
    elif kind == "an event in tiny chunks":
        yield ok + EVENTS + CHUNKED + b"\r\n" + _chunk(first)
        yield from _repeated(tiny)
    elif kind == "a body in tiny chunks":
        yield ok + CHUNKED + b"\r\n"
        yield from _repeated(tiny)
    elif kind == "events of 1 KiB":
        yield ok + EVENTS + CHUNKED + b"\r\n"
        yield from _numbered(KIBIBYTE)
    elif kind == "events of 4 bytes":
        yield ok + EVENTS + CHUNKED + b"\r\n"
        yield from _numbered(4)
    elif kind == "empty events":
        yield ok + EVENTS + CHUNKED + b"\r\n"
        yield from _repeated(_chunk(b"\n\n" * (PIECE_BYTES // 2)))
    else:
        raise AssertionError(kind)


class _Connection:
    """One connection of a caller: its request, then the answer without end."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        self.received = b""
        self.answer: Iterator[bytes] | None = None
        self.unsent = memoryview(b"")
        self.sent_bytes = 0


class EndlessRunner:
    """Answers each request with an answer of one kind that never ends."""

    def __init__(self, ip: str, kind: str) -> None:
        self.ip = ip
        self.kind = kind
        self.answers = 0
        self._selector = selectors.DefaultSelector()
        self._listening = socket.create_server((ip, RUNNER_PORT), backlog=400)
        self._listening.setblocking(False)
        self._selector.register(self._listening, selectors.EVENT_READ, None)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Close every connection."""
        self._stopped.set()
        self._thread.join(10)

    def _run(self) -> None:
        while not self._stopped.is_set():
            for key, events in self._selector.select(POLL_S):
                if key.data is None:
                    self._accept()
                else:
                    self._serve(key.data, events)
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()  # type: ignore[union-attr]

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError):
            accepted, _ = self._listening.accept()
            accepted.setblocking(False)
            self._selector.register(accepted, selectors.EVENT_READ, _Connection(accepted))

    def _serve(self, connection: _Connection, events: int) -> None:
        try:
            if connection.answer is None:
                self._read(connection)
            elif events & selectors.EVENT_WRITE:
                self._send(connection)
        except OSError:
            self._end(connection)

    def _read(self, connection: _Connection) -> None:
        data = connection.socket.recv(READ_BYTES)
        connection.received += data
        if not data:
            self._end(connection)
        elif b"\r\n\r\n" in connection.received:
            lines = connection.received.split(b"\r\n")
            request = next(line for line in lines if line.lower().startswith(b"request-id"))
            identity = request + b"\r\nResponse-Stamp: stamp-1\r\n"
            connection.answer = _answer(self.kind, identity)
            self.answers += 1
            self._selector.modify(connection.socket, selectors.EVENT_WRITE, connection)

    def _send(self, connection: _Connection) -> None:
        assert connection.answer is not None
        if not connection.unsent:
            connection.unsent = memoryview(next(connection.answer))
        sent = connection.socket.send(connection.unsent)
        connection.unsent = connection.unsent[sent:]
        connection.sent_bytes += sent
        if connection.sent_bytes > MOST_BYTES:
            self._selector.modify(connection.socket, selectors.EVENT_READ, connection)
            connection.answer = iter(())

    def _end(self, connection: _Connection) -> None:
        self._selector.unregister(connection.socket)
        connection.socket.close()


class EndlessPlatform(CrowdedPlatform):
    """A platform with a service whose runners' answers never end, beside the sound one."""

    def __init__(self, *counts: int) -> None:
        self.endless: list[EndlessRunner] = []
        self._beating = threading.Event()
        super().__init__(*counts)

    def configuration(self, version: int) -> dict[str, Any]:
        """Add the faulty service and its routes."""
        made = super().configuration(version)
        kinds = {"faulty-safe": "safe", "faulty-stream": "streaming", "faulty-jobs": "batch"}
        for name, kind in kinds.items():
            made["routes"].append(
                {
                    "name": name,
                    "host": HOST,
                    "pathPrefix": f"/{name}/",
                    "kind": kind,
                    "timeoutMs": 8000,
                    "targetLatencyMs": 5000,
                    "priority": 0,
                    "service": FAULTY,
                    "maxAttempts": 2,
                    "resumable": kind == "streaming",
                    "gapTargetMs": 2000,
                }
            )
        service = {"name": FAULTY, "healthPath": "/healthz", "maxConnections": 400}
        made["services"].append(service)
        return made

    def add_endless_runner(self, kind: str, slots: int) -> None:
        """Start a runner whose answers never end, and have it report itself until the end."""
        number = len(self.endless) + 1
        runner = EndlessRunner(f"127.{self.octet}.5.{number}", kind)
        self.endless.append(runner)
        threading.Thread(
            target=self._beat_endlessly, args=(runner, number, slots), daemon=True
        ).start()

    def _beat_endlessly(self, runner: EndlessRunner, number: int, slots: int) -> None:
        sequence = 0
        born = int(time.time() * 1000)
        while not self._beating.is_set():
            sequence += 1
            body = {
                "service": FAULTY,
                "address": f"{runner.ip}:{RUNNER_PORT}",
                "zone": f"zone-{number % 3}",
                "version": "v1",
                "slots": slots,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": sequence,
                "born": born,
            }
            self.control("POST", f"/api/Instances.Heartbeat/e-{number}", body)
            self._beating.wait(HEARTBEAT_S)

    def submit_faulty(self, gateway: str, job: str, count: int) -> int:
        """Submit a job for the faulty service; returns the status."""
        items = [
            {
                "id": f"{job}-{number}",
                "path": f"/faulty-jobs/{job}/{number}",
                "headers": {"Model": "m"},
                "body": "Ym9keQ==",
                "tokens": 1000,
            }
            for number in range(count)
        ]
        body = json.dumps({"items": items}).encode()
        status, _, _ = self.client(gateway, "POST", f"/faulty-jobs/{job}", body, Request_Id=job)
        return status

    def close(self) -> None:
        """Stop the runners and the nodes."""
        self._beating.set()
        super().close()
        for runner in self.endless:
            runner.close()
