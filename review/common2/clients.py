"""Stand-ins of clients, by the users' protocol page: each call on a new connection."""

import asyncio
import re
from dataclasses import dataclass, field

from review.common2.fleet import CLIENT_PORT, Fleet
from review.common2.record import Record

HOST = "case.example"
EVENT = re.compile(r"id: (\d+)\ndata: (.*)\Z", re.DOTALL)


@dataclass
class Answer:
    """What a client saw of one attempt."""

    request: str
    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    """The answer came to the end that its framing states."""

    @property
    def events(self) -> list[tuple[int, str]]:
        """The whole events of a stream: their ids and data."""
        *blocks, _ = self.body.decode().split("\n\n")
        found = map(EVENT.search, blocks)
        return [(int(each[1]), each[2]) for each in found if each is not None]


async def call(
    fleet: Fleet,
    record: Record,
    gateway: str,
    method: str,
    path: str,
    request: str,
    body: bytes = b"",
    within_s: float = 8.0,
    **more: str,
) -> Answer:
    """Send one attempt of a client, and read its answer until its end or the deadline."""
    answer = Answer(request)
    named = {name.replace("_", "-"): value for name, value in more.items()}
    fields = {
        "Host": HOST,
        "Request-Id": request,
        "Deadline-Ms": str(int(within_s * 1000)),
        "Content-Length": str(len(body)),
        "Connection": "close",
        **named,
    }
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    resumed = f" behind event {named['Last-Event-Id']}" if "Last-Event-Id" in named else ""
    record.note(f"client sends {request} to {gateway}: {method} {path}{resumed}")
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(fleet.ip(gateway), CLIENT_PORT)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await _read(reader, answer)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        record.note(f"client of {request}: {type(error).__name__}")
    finally:
        if writer is not None:
            writer.transport.abort()
    events = f", events {_range(answer.events)}" if answer.events else ""
    end = "whole" if answer.is_whole else "broken off"
    record.note(f"client of {request} has {answer.status}, {end}{events}")
    return answer


def _range(events: list[tuple[int, str]]) -> str:
    return f"{events[0][0]} to {events[-1][0]}"


async def _read(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    for line in lines:
        name, _, value = line.partition(":")
        answer.fields[name.lower()] = value.strip()
    answer.status = int(first.split(" ")[1])
    if "chunked" in answer.fields.get("transfer-encoding", ""):
        while size := int(await reader.readline(), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    elif "content-length" in answer.fields:
        answer.body = await reader.readexactly(int(answer.fields["content-length"]))
    else:
        answer.body = await reader.read()
    answer.is_whole = True
