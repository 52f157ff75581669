"""Measure what following engines' load reports costs a gateway over real sockets.

A child process runs emulated engines, each on a port of its own; this process subscribes with the
product's HTTP client, as a gateway does. Slopes over the number of engines give processor time
and bytes per report and resident memory per subscription. Beside them stands the memory of a
process that has loaded a daemon and started nothing. Prints one JSON object.

    python bench/feed_bench.py [--engines 100,200,400] [--seconds 10] [--output FILE]
"""

import argparse
import gc
import json
import os
import resource
import subprocess
import sys
import time
from collections.abc import Generator
from datetime import UTC, datetime
from pathlib import Path
from random import Random
from typing import Any

import numpy as np
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred, inlineCallbacks
from twisted.internet.task import deferLater

from rainsail.assembly.listening import listen_http
from rainsail.emulator.engine import EmulatedEngine
from rainsail.emulator.engine_server import EngineServer
from rainsail.emulator.settings import EngineSettings
from rainsail.emulator.weight_store import WeightStore
from rainsail.engine import http_events
from rainsail.engine.http_client import HttpEngineClient
from rainsail.runtime.clock import MonotonicClock
from rainsail.wire.address import PeerAddress

SETTLE_S = 2.0
VERSION = "v1"


def serve(count: int) -> None:
    """Run engines until killed and print their ports."""
    clock = MonotonicClock(reactor)
    store = WeightStore(clock)
    ports = []
    for number in range(count):
        name = f"runner-{number:05d}"
        engine = EmulatedEngine(name, clock, Random(number), EngineSettings(), store)
        engine.preload(VERSION)
        app = EngineServer(engine, clock).app
        ports.append(listen_http(reactor, app.resource(), PeerAddress("127.0.0.1", 0)).ok)
    print(json.dumps([port.getHost().port for port in ports]), flush=True)
    reactor.run()


class CountedStream(http_events.EventStream):
    """An event stream whose body bytes are counted."""

    received_bytes = 0

    def dataReceived(self, data: bytes) -> None:
        """Count and take bytes."""
        CountedStream.received_bytes += len(data)
        super().dataReceived(data)


class Follower:
    """Subscribes to engines and counts their reports."""

    def __init__(self, ports: list[int]) -> None:
        self.reports = 0
        self.lost = 0
        self._client = HttpEngineClient(MonotonicClock(reactor), reactor)
        self._cancels = [
            self._client.subscribe(
                f"http://127.0.0.1:{port}", self._take, lambda event: None, self._lose
            )
            for port in ports
        ]

    def _take(self, report: Any) -> None:
        self.reports += 1

    def _lose(self, fault: Any) -> None:
        self.lost += 1

    def close(self) -> Deferred[None]:
        """End every subscription."""
        for cancel in self._cancels:
            cancel()
        return self._client.close()


def bare_gateway_bytes() -> int:
    """Return the resident memory of a process that has loaded a daemon and started nothing."""
    code = (
        "import rainsail.assembly.daemon, resource\n"
        "pages = int(open('/proc/self/statm').read().split()[1])\n"
        "print(pages * resource.getpagesize())"
    )
    command = [sys.executable, "-c", code]
    return int(subprocess.run(command, check=True, capture_output=True, text=True).stdout)


def resident_bytes() -> int:
    """Return this process's resident memory."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()


@inlineCallbacks
def follow(count: int, seconds: float) -> Generator[Any, Any, dict[str, float]]:
    """Follow ``count`` engines for some seconds."""
    command = [sys.executable, __file__, "--serve", str(count)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as child:
        try:
            assert child.stdout is not None
            ports = json.loads(child.stdout.readline())
            before_bytes = resident_bytes()
            follower = Follower(ports)
            yield deferLater(reactor, SETTLE_S, lambda: None)
            used_bytes = resident_bytes() - before_bytes
            reports, received = follower.reports, CountedStream.received_bytes
            processor_s, started_s = time.process_time(), time.monotonic()
            yield deferLater(reactor, seconds, lambda: None)
            took_s = time.monotonic() - started_s
            row = {
                "engines": count,
                "reports_per_s": (follower.reports - reports) / took_s,
                "bytes_per_s": (CountedStream.received_bytes - received) / took_s,
                "processor_share": (time.process_time() - processor_s) / took_s,
                "resident_bytes": used_bytes,
                "lost_subscriptions": follower.lost,
            }
            yield follower.close()
            return row
        finally:
            child.kill()


def slope(rows: list[dict[str, float]], over: str, field: str) -> float:
    """Return the least-squares slope of a field over another."""
    return float(np.polyfit([row[over] for row in rows], [row[field] for row in rows], 1)[0])


async def main(counts: list[int], seconds: float, output: str) -> None:
    """Measure every count and print the report."""
    from rainsail.engine import http_client

    http_client.EventStream = CountedStream  # type: ignore[misc]
    load_before = os.getloadavg()[0]
    await follow(counts[0], 1.0)
    rows = [await follow(count, seconds) for count in counts]
    report = {
        "command": f"python bench/feed_bench.py --engines {','.join(map(str, counts))}",
        "date": datetime.now(UTC).strftime("%Y-%m-%d"),
        "cores": os.cpu_count(),
        "load_average_before": round(load_before, 1),
        "bare_gateway_resident_bytes": bare_gateway_bytes(),
        "rows": rows,
        "reports_per_s_per_runner": slope(rows, "engines", "reports_per_s"),
        "bytes_per_report": slope(rows, "reports_per_s", "bytes_per_s"),
        "processor_s_per_report": slope(rows, "reports_per_s", "processor_share"),
        "resident_bytes_per_subscription": slope(rows, "engines", "resident_bytes"),
    }
    text = json.dumps(report, indent=1)
    if output:
        Path(output).write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--engines", default="100,200,400")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--output", default="")
    parser.add_argument("--serve", type=int, default=0)
    options = parser.parse_args()
    if options.serve:
        serve(options.serve)
    else:
        sizes = [int(part) for part in options.engines.split(",")]
        ended = ensureDeferred(main(sizes, options.seconds, options.output))
        ended.addErrback(lambda failure: print(failure.getTraceback(), file=sys.stderr))
        ended.addBoth(lambda _: reactor.callLater(0, reactor.stop))
        reactor.run()
