"""Play one fault of runners against real processes, and count what clients were told as whole.

    python tools/answer_plays.py --fault crash --seed 1

Ten runners serve streams of four events to ten clients, half of them on a route that may be
resumed and half on one whose requests run once, and the items of a job. A share of the runs has the
fault. Prints one line; ends with code 1 if an incomplete stream was told as complete or an item was
listed as done with a part of its text. ``none`` plays whole answers, framed or not.
"""

import argparse
import asyncio
import random
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "review"))

from common.case import HELD, run_case  # noqa: E402
from common.clients import (  # noqa: E402
    Stream,
    attempt,
    batch_route,
    configuration,
    results,
    service,
    stream_route,
    submit,
)
from common.fleet import Fleet, wait_until  # noqa: E402
from common.runners import Run, Runner, Runners, _first  # noqa: E402

FRONTS = 3
RUNNERS = 10
SLOTS = 8
EVENTS = 4
EVENT_S = 0.05
CLIENTS = 10
STREAMS_OF_CLIENT = 12
ITEMS = 30
SERVICE = "play"
RESUMABLE, RUN_ONCE, BATCH = "/resumable/", "/once/", "/batch/"
JOB = "5e1b07c4a9d20001"
STREAM_DEADLINE_S = 5.0
CLIENT_ATTEMPTS = 4
JOB_LIMIT_S = 40.0
LONG_DOWN_S, SHORT_DOWN_S = 2.0, 0.1
REFUSALS = (429, 503)


class Fault(StrEnum):
    """What happens to a share of the runs."""

    NONE = "none"
    UNFRAMED = "unframed"
    """No fault: every answer has neither a length nor chunks, and ends with its connection."""
    CLOSE = "close"
    """Unframed; the connection is closed in order after an event."""
    CRASH = "crash"
    """The same, and all the runner's connections with it; it is back after two seconds."""
    CRASH_BRIEFLY = "crash-briefly"
    """The same, and it is back under its id after a tenth of a second."""
    CRASH_FRAMED = "crash-framed"
    """As ``CRASH_BRIEFLY``, of answers in chunks."""
    EMPTY = "empty"
    """A run from the start breaks off; a run that takes it up has no event and ends in chunks."""
    EMPTY_UNFRAMED = "empty-unframed"
    """The same without a length or chunks; the run from the start is closed after an event."""
    SIZE_ZERO = "size-zero"
    """The size of a chunk behind the first one is damaged to ``00``."""
    LAST_CHUNK = "last-chunk"
    """The size of a chunk behind the first one is damaged to a whole last chunk."""


UNFRAMED_FAULTS = (
    Fault.UNFRAMED,
    Fault.CLOSE,
    Fault.CRASH,
    Fault.CRASH_BRIEFLY,
    Fault.EMPTY_UNFRAMED,
)
CRASHES = (Fault.CRASH, Fault.CRASH_BRIEFLY, Fault.CRASH_FRAMED)


class FaultyRunner(Runner):
    """A runner that plays a fault in a share of its runs."""

    fault = Fault.NONE
    share = 0.25
    draw = random.Random(0)
    faults: Counter[str] = Counter()

    async def _stream(
        self, writer: asyncio.StreamWriter, run: Run, left: "asyncio.Future[bytes]", events: int
    ) -> None:
        fault = self._fault_of(run)
        fields = {"Content-Type": "text/event-stream"}
        unframed = self.fault in UNFRAMED_FAULTS
        if unframed:
            fields |= {"Connection": "close"}
        await self._write_head(writer, 200, run.request, fields)
        if fault in (Fault.EMPTY, Fault.EMPTY_UNFRAMED) and run.after:
            if not unframed:
                writer.write(b"0\r\n\r\n")
            self._close(writer)
            return
        last = run.after + self.draw.randint(1, max(1, events - run.after - 1))
        for number in range(run.after + 1, events + 1):
            await _first(asyncio.sleep(EVENT_S), left)
            data = f"id: {number}\ndata: text {number}\n\n".encode()
            size = b"%x\r\n" % len(data)
            if fault == Fault.SIZE_ZERO and number == last + 1:
                size = b"00\r\n"
            if fault == Fault.LAST_CHUNK and number == last + 1:
                size = b"0\r\n\r\n"
            writer.write(data if unframed else size + data + b"\r\n")
            await writer.drain()
            run.events.append(number)
            if number == last and fault in (Fault.CLOSE, Fault.EMPTY, Fault.EMPTY_UNFRAMED):
                self._close(writer)
                return
            if number == last and fault in CRASHES:
                await self._crash_in_order(fault)
                return
        if unframed:
            self._close(writer)
        else:
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    def _fault_of(self, run: Run) -> Fault:
        """Draw whether a run has the fault; the last event of a stream is never its only one."""
        is_drawn = self.draw.random() < self.share
        may_have = run.after < EVENTS - 1 or self.fault in (Fault.EMPTY, Fault.EMPTY_UNFRAMED)
        if self.fault in (Fault.NONE, Fault.UNFRAMED) or not is_drawn or not may_have:
            return Fault.NONE
        self.faults[self.fault] += 1
        return self.fault

    def _close(self, writer: asyncio.StreamWriter) -> None:
        writer.close()

    async def _crash_in_order(self, fault: Fault) -> None:
        """Close everything in order, as the kernel does for a process that ends."""
        if not self.is_up:
            return
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for each in list(self._connections):
            each.close()
        self._all.record.note("runner_crashed", runner=self.name)
        down_s = LONG_DOWN_S if fault == Fault.CRASH else SHORT_DOWN_S
        threading.Thread(target=self._back_after, args=(down_s,), daemon=True).start()

    def _back_after(self, down_s: float) -> None:
        time.sleep(down_s)
        self.start_again("v1")

    async def _write_head(
        self, writer: asyncio.StreamWriter, status: int, request: str, more: dict[str, str]
    ) -> None:
        if more.get("Connection") != "close":
            await super()._write_head(writer, status, request, more)
            return
        fields = {"Request-Id": request, "Response-Stamp": "3e1b.07.5a2.600.0.c9f2a4d1"}
        fields |= {"Weight-Versions": "1", **more}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode())
        await writer.drain()


class FaultyRunners(Runners):
    """Runners that play a fault."""

    def add_faulty(self, zone: str) -> None:
        """Start a runner, and have it report itself."""
        number = len(self.all) + 1
        ip = self.fleet.address("runner", number)
        name = f"i-{number:08x}"
        runner = FaultyRunner(self, name, SERVICE, ip, zone, SLOTS, EVENTS, EVENT_S, "v1")
        self.wait(runner.listen())
        self.all.append(runner)
        runner.beat()

    def close(self) -> None:
        """End the heartbeats, what runners still do, and the loop."""
        self.wait(self._cancel_tasks())
        super().close()

    async def _cancel_tasks(self) -> None:
        tasks = [each for each in asyncio.all_tasks() if each is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _play(counts: Counter[str]) -> Callable[[Fleet, Runners, bool], bool]:
    def play(fleet: Fleet, runners: Runners, trouble: bool) -> bool:
        once = stream_route("r-once", RUN_ONCE, SERVICE) | {"resumable": False}
        resumable = stream_route("r-resumable", RESUMABLE, SERVICE) | {"maxAttempts": 3}
        batch = batch_route("r-batch", BATCH, SERVICE)
        fleet.configure(configuration(1, [resumable, once, batch], [service(SERVICE)]))
        faulty = FaultyRunners(fleet, fleet.record)
        try:
            for number in range(RUNNERS):
                faulty.add_faulty(("guishan-hall", "luzhu-hall", "dayuan-hall")[number % 3])
            fleet.wait_ready()
            time.sleep(2.0)
            wait_until(
                lambda: submit(fleet, "front-1", BATCH, JOB, ITEMS, EVENTS * 10) == 202, "the job"
            )
            clients = [
                threading.Thread(target=_be_client, args=(fleet, number, counts))
                for number in range(CLIENTS)
            ]
            for client in clients:
                client.start()
            for client in clients:
                client.join()
            _count_items(fleet, counts)
        finally:
            faulty.close()
        return any(counts[name] for name in counts if name.startswith("short"))

    return play


def _be_client(fleet: Fleet, number: int, counts: Counter[str]) -> None:
    is_resumable = number % 2 == 0
    prefix, route = (RESUMABLE, "resumable") if is_resumable else (RUN_ONCE, "once")
    for count in range(STREAMS_OF_CLIENT):
        stream = Stream(f"9c41d07b{number:02x}{count:04x}")
        for tried in range(CLIENT_ATTEMPTS):
            front = f"front-{1 + (number + count + tried) % FRONTS}"
            status = attempt(fleet, front, prefix, stream, STREAM_DEADLINE_S)
            if stream.is_complete or not (is_resumable or status in REFUSALS):
                break
            time.sleep(0.2)
        whole = [event for event, _ in stream.events] == list(range(1, EVENTS + 1))
        kind = "whole" if whole else "short"
        counts[f"{kind} {route}" if stream.is_complete else f"not complete {route}"] += 1


def _count_items(fleet: Fleet, counts: Counter[str]) -> None:
    until_s = time.monotonic() + JOB_LIMIT_S
    text = "\n".join(f"text {number}" for number in range(1, EVENTS + 1))
    listed: list[dict[str, Any]] = []
    while len(listed) < ITEMS and time.monotonic() < until_s:
        time.sleep(0.5)
        page = results(fleet, "front-1", JOB)
        listed = listed if page is None else list(page["results"])
    for entry in listed:
        if entry["state"] != "done":
            counts[f"items {entry['state']}"] += 1
        else:
            counts["items done" if entry["text"] == text else "short items"] += 1
    counts["items not listed"] += ITEMS - len(listed)


def main() -> int:
    """Play the fault that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fault", choices=[each.value for each in Fault], default="none")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--share", type=float, default=0.25, help="share of the runs with the fault"
    )
    arguments = parser.parse_args()
    FaultyRunner.fault = Fault(arguments.fault)
    FaultyRunner.share = arguments.share
    FaultyRunner.draw = random.Random(arguments.seed)
    counts: Counter[str] = Counter()
    folder = Path(tempfile.mkdtemp(prefix="rainsail-play-"))
    code = run_case(folder, _play(counts), FRONTS)
    told = ", ".join(f"{name}: {count}" for name, count in sorted(counts.items()) if count)
    played = FaultyRunner.faults[arguments.fault]
    print(f"{arguments.fault} seed {arguments.seed}: {played} runs with the fault; {told}")
    print(f"code {code}, record in {folder}")
    return 0 if code == HELD else 1


if __name__ == "__main__":
    sys.exit(main())
