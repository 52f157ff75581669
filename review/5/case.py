"""A gateway is killed while a service is being released: its streams are taken up again."""

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.common2.case import has_trouble, logs_folder, play
from review.common2.clients import HOST, Answer, call
from review.common2.fleet import Fleet, fleet
from review.common2.record import Record
from review.common2.runners import Runner

GATEWAYS = ("gateway-1", "gateway-2", "gateway-3", "gateway-4")
RUNNERS = 6
STREAMS = 64
EVENTS = 26
EVENT_PAUSE_S = 0.25
RELEASED_AFTER_S = 1.0
"""The first runner of the new version starts this long after the streams."""
GATEWAY_KILLED_AFTER_S = 1.5
"""The gateway is killed this long after that."""
LEAST_RESUMED = 12
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r-stream",
            "host": HOST,
            "pathPrefix": "/stream/",
            "kind": "streaming",
            "timeoutMs": 8000,
            "targetLatencyMs": 500,
            "priority": 0,
            "service": "model",
            "maxAttempts": 2,
            "sticky": True,
            "resumable": True,
            "gapTargetMs": 500,
        }
    ],
    "services": [{"name": "model", "healthPath": "/healthz", "maxConnections": 200}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


@dataclass
class Stream:
    """One client's stream: its first try, and those that take it up again."""

    first: Answer
    resumed: list[Answer]

    @property
    def goes_on(self) -> bool:
        """Whether a try that took it up again brought an event."""
        return any(each.events for each in self.resumed)


async def read(running: Fleet, record: Record, number: int) -> Stream:
    """Read a stream; take it up again at other gateways if it breaks off, as clients do."""
    gateway = GATEWAYS[number % len(GATEWAYS)]
    name, path = f"s{number}", f"/stream/{number}"
    first = await call(running, record, gateway, "POST", path, name, b"question")
    stream = Stream(first, [])
    others = [each for each in GATEWAYS if each != gateway]
    for attempt in range(3):
        if first.is_whole or not first.events or stream.goes_on:
            break
        more = {"Last-Event-Id": str(first.events[-1][0]), "Resumes": name}
        again = f"{name}-{attempt}"
        other = others[(number + attempt) % len(others)]
        answer = await call(running, record, other, "POST", path, again, b"question", 3.0, **more)
        stream.resumed.append(answer)
        if answer.status in (429, 503):
            await asyncio.sleep(min(1.0, float(answer.fields.get("retry-after", "0.1"))))
    return stream


async def case(record: Record) -> bool:
    """Play the case; return whether the rule was broken."""
    with fleet(len(GATEWAYS), logs_folder()) as running:
        runners = [
            Runner(
                running,
                record,
                f"i-{n}",
                n,
                "model",
                events=EVENTS,
                pause_s=EVENT_PAUSE_S,
            )
            for n in range(1, RUNNERS + 1)
        ]
        await running.until(
            "the configuration is acknowledged",
            lambda: running.control("POST", "/api/Config.Replace", CONFIGURATION) == 200,
        )
        for each in runners:
            await each.start()
        await running.wait_ready()
        await asyncio.sleep(5.0)
        reading = [asyncio.create_task(read(running, record, n)) for n in range(STREAMS)]
        await asyncio.sleep(RELEASED_AFTER_S)
        newer = Runner(running, record, "i-new", RUNNERS + 1, "model", version="v2")
        newer.events, newer.pause_s = EVENTS, EVENT_PAUSE_S
        if has_trouble():
            await newer.start()
        runners.append(newer)
        await asyncio.sleep(GATEWAY_KILLED_AFTER_S)
        record.note(f"{GATEWAYS[0]} is killed")
        running.kill(GATEWAYS[0])
        new = [asyncio.create_task(read(running, record, STREAMS + n)) for n in (1, 2, 3, 5, 6, 7)]
        streams = await asyncio.gather(*reading)
        begun = await asyncio.gather(*new)
        for each in runners:
            await each.end()
    resumed = [each for each in streams if each.resumed]
    going_on = sum(each.goes_on for each in resumed)
    beginning = sum(bool(each.first.events) for each in begun)
    record.conclude(f"{going_on} of {len(resumed)} streams that were taken up again went on")
    record.conclude(f"{beginning} of {len(begun)} new streams began at the same time")
    if len(resumed) < LEAST_RESUMED:
        return False
    return going_on / len(resumed) < beginning / len(begun) / 2


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
