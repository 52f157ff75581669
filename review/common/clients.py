"""Clients as PROTOCOL.md describes them: batch jobs, and streams that are taken up again."""

import base64
import json
import re
import socket
import time
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from common.fleet import FRONT_PORT, Fleet, call

HOST = "ficu95.example"
EVENT = re.compile(rb"id: (\d+)\r?\ndata: ([^\r\n]*)\r?\n\r?\n")
END_OF_CHUNKS = b"\r\n0\r\n\r\n"


def service(name: str) -> dict[str, Any]:
    """Return a service with model runners, with the figures of ``fll-rainsail``."""
    engine = {
        "slots": 12,
        "kvCacheTokens": 147261,
        "kvTokenBytes": 327680,
        "linkMbps": 740000.0,
        "backups": True,
        "stride": 10,
        "maxQueuedTokens": 12,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": "m"}],
    }
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 200,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }


def batch_route(name: str, prefix: str, to: str) -> dict[str, Any]:
    """Return a route for batch jobs, with the figures of ``manifest-batch``."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "batch",
        "timeoutMs": 25000,
        "targetLatencyMs": 400,
        "completionTargetMs": 20000,
        "keepS": 60,
        "priority": 2,
        "service": to,
        "maxAttempts": 3,
        "sticky": True,
        "resumable": True,
        "gapTargetMs": 500,
    }


def stream_route(name: str, prefix: str, to: str) -> dict[str, Any]:
    """Return a route for streams that may be taken up, with the figures of ``contract-review``."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "streaming",
        "timeoutMs": 5000,
        "targetLatencyMs": 500,
        "priority": 0,
        "service": to,
        "maxAttempts": 2,
        "sticky": True,
        "resumable": True,
        "gapTargetMs": 500,
    }


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a whole configuration."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits}


# --- batch jobs --------------------------------------------------------------------------


def submit(
    fleet: Fleet, front: str, prefix: str, job: str, count: int, out: int = 40, part: str = "9c2e41"
) -> int:
    """Hand a batch job in at a front machine; returns the status, 0 for no answer.

    Each item may have ``out`` tokens and shares the prompt part ``part`` with the others.
    """
    items = [
        {
            "id": f"{job}-{number}",
            "path": f"{prefix}{job}/{number}",
            "headers": {
                "Model": "m",
                "Token-Usage": f"540,{out}",
                "Prompt-Prefix": f"{part}:300,{crc32(f'{job}-{number}'.encode()):08x}:240",
            },
            "body": base64.b64encode(f"body of {job}-{number}".encode()).decode(),
            "tokens": 540 + out,
        }
        for number in range(count)
    ]
    headers = {
        "Host": HOST,
        "Request-Id": job,
        "Content-Type": "application/json",
        "Deadline-Ms": "4000",
    }
    content = json.dumps({"items": items}).encode()
    ip = fleet.nodes[front].ip
    status, _ = call(ip, FRONT_PORT, "POST", f"{prefix}{job}", content, headers)
    fleet.record.note("job", job=job, items=count, front=front, status=status)
    return status


def results(fleet: Fleet, front: str, job: str) -> dict[str, Any] | None:
    """Read a job's results from the start; None if the read is not answered with 200."""
    ip = fleet.nodes[front].ip
    path = f"/api/lots/{job}?after=0"
    status, body = call(ip, FRONT_PORT, "GET", path, headers={"Host": HOST})
    return json.loads(body) if status == 200 else None


def listed(fleet: Fleet, front: str, job: str) -> list[dict[str, Any]]:
    """Return the listed results of a job, none if they can't be read now."""
    page = results(fleet, front, job)
    return [] if page is None else list(page["results"])


# --- streams -----------------------------------------------------------------------------


@dataclass
class Stream:
    """What a client has of one stream, over all its attempts."""

    name: str
    events: list[tuple[int, str]] = field(default_factory=list)
    attempts: list[str] = field(default_factory=list)
    is_complete: bool = False

    @property
    def last_event(self) -> int:
        """The number of the last event, 0 for none."""
        return self.events[-1][0] if self.events else 0


def attempt(fleet: Fleet, front: str, prefix: str, stream: Stream, left_s: float) -> int:
    """Make one client attempt, which goes on behind the last event; returns the status."""
    number = len(stream.attempts)
    request = f"{stream.name}{number:02x}"
    stream.attempts.append(request)
    headers = {
        "Host": HOST,
        "Request-Id": request,
        "Model": "m",
        "Token-Usage": "1050,30",
        "Prompt-Prefix": f"5c1e07a2:800,{stream.name}:250",
        "Deadline-Ms": str(int(left_s * 1000)),
        "Content-Length": "4",
    }
    after = stream.last_event
    if after:
        headers["Last-Event-Id"] = str(after)
        headers["Resumes"] = stream.attempts[0]
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    text = f"POST {prefix}2f HTTP/1.1\r\n{lines}\r\nabcd".encode()
    received = _exchange(fleet.nodes[front].ip, text, left_s)
    status = int(received.split(b" ", 2)[1]) if received.startswith(b"HTTP/1.1 ") else 0
    new = [(int(event), data.decode()) for event, data in EVENT.findall(received)]
    stream.events += new
    stream.is_complete = status == 200 and received.endswith(END_OF_CHUNKS)
    fleet.record.note(
        "attempt",
        request=request,
        front=front,
        after=after,
        status=status,
        events=[f"{event}:{data}" for event, data in new],
        complete=stream.is_complete,
    )
    return status


def _exchange(ip: str, request: bytes, left_s: float) -> bytes:
    """Send a request and return all that comes until the answer or the connection ends."""
    until_s = time.monotonic() + left_s
    received = b""
    try:
        with socket.create_connection((ip, FRONT_PORT), timeout=1.0) as connection:
            connection.sendall(request)
            while not _is_over(received):
                connection.settimeout(max(0.01, until_s - time.monotonic()))
                data = connection.recv(65536)
                if not data:
                    break
                received += data
    except OSError:
        pass
    return received


def _is_over(received: bytes) -> bool:
    head, separator, _ = received.partition(b"\r\n\r\n")
    is_empty = bool(separator) and b"content-length: 0" in head.lower()
    return is_empty or received.endswith(END_OF_CHUNKS)
