"""Measure a gateway in a process of its own, with engines and callers in other processes.

Prints one JSON object. Short requests and relayed token chunks are counted per second of the
gateway's own processor time, so that other work on the machine hardly moves them; the rate on the
wall clock and the share of a core that the gateway got stand beside them. Memory is the resident
set of the gateway's process.

    python bench/gateway_fleet_bench.py [--seconds S] [--runs N] [--engines E] [--callers C]

With --profile FILE the gateway's process writes its profile (cProfile) there.
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

SHORT_TOKENS = 4
STREAM_TOKENS = 200
SHORT_CONCURRENCY = 32
STREAM_CONCURRENCY = 32
LATENCY_SAMPLES = 300
MEMORY_STEPS = (0, 200, 400, 600, 800)
SETTLE_S = 2.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
PROCESS = Path(__file__).with_name("gateway_fleet_process.py")


class Child:
    """A process of the fleet and its lines."""

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, str(PROCESS), *arguments]
        pipe = subprocess.PIPE
        self.process = subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True)

    def send(self, **command: Any) -> None:
        """Send a command."""
        assert self.process.stdin is not None
        print(json.dumps(command), file=self.process.stdin, flush=True)

    def receive(self) -> dict[str, Any]:
        """Wait for the answer to the last command."""
        assert self.process.stdout is not None
        answer: dict[str, Any] = json.loads(self.process.stdout.readline())
        return answer

    def call(self, **command: Any) -> dict[str, Any]:
        """Send a command and wait for its answer."""
        self.send(**command)
        return self.receive()

    def resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        return int(fields[1]) * PAGE_BYTES

    def close(self) -> None:
        """Let the process end."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait(timeout=30)


class Fleet:
    """Engines, one gateway and callers."""

    def __init__(self, engines: int, callers: int, slow: bool, profile: str = "") -> None:
        self.engines = [Child("engine", *(["--slow"] if slow else [])) for _ in range(engines)]
        self.gateway = Child("gateway", "--profile", profile)
        self.relay = Child("relay")
        self.callers = [Child("caller") for _ in range(callers)]
        self.engine_addresses = [each.call()["address"] for each in self.engines]
        self.relay_address = self.relay.call(engine=self.engine_addresses[0])["address"]
        self.address = self.gateway.call(engines=self.engine_addresses)["address"]

    def load(
        self, addresses: list[str], measured: list[Child], concurrency: int, **how: Any
    ) -> dict[str, float]:
        """Load from every caller; rates are per wall second and per processor second."""
        before_s = [each.call()["processor_s"] for each in measured]
        share = max(1, concurrency // len(self.callers))
        for caller in self.callers:
            caller.send(do="load", addresses=addresses, concurrency=share, **how)
        answers = [caller.receive() for caller in self.callers]
        after_s = [each.call()["processor_s"] for each in measured]
        processor_s = sum(after_s) - sum(before_s)
        wall_s = statistics.mean(answer["wall_s"] for answer in answers)
        whole = sum(answer["whole"] for answer in answers)
        return {
            "per_s": whole / wall_s,
            "per_processor_s": whole / processor_s,
            "core_share": processor_s / wall_s,
            "not_whole": sum(answer["other"] for answer in answers),
        }

    def close(self) -> None:
        """End every process."""
        for child in (*self.callers, self.gateway, self.relay, *self.engines):
            child.close()


def measure_rates(options: argparse.Namespace) -> dict[str, Any]:
    """Measure latency, short requests and relayed chunks, each several times."""
    fleet = Fleet(options.engines, options.callers, slow=False, profile=options.profile)
    latencies, shorts, streams, direct = [], [], [], []
    try:
        for _ in range(options.runs):
            latencies.append(
                fleet.callers[0].call(
                    do="latency",
                    addresses={
                        "direct": fleet.engine_addresses[0],
                        "relay": fleet.relay_address,
                        "through": fleet.address,
                    },
                    samples=LATENCY_SAMPLES,
                )
            )
            how: dict[str, Any] = {"seconds": options.seconds, "tokens": SHORT_TOKENS}
            shorts.append(
                fleet.load([fleet.address], [fleet.gateway], SHORT_CONCURRENCY, stream=False, **how)
            )
            direct.append(
                fleet.load(
                    fleet.engine_addresses, fleet.engines, SHORT_CONCURRENCY, stream=False, **how
                )
            )
            how["tokens"] = STREAM_TOKENS
            answered = fleet.load(
                [fleet.address], [fleet.gateway], STREAM_CONCURRENCY, stream=True, **how
            )
            streams.append(chunk_rates(answered))
    finally:
        fleet.close()
    added = [each["through_ms"] - each["direct_ms"] for each in latencies]
    relay_added = [each["relay_ms"] - each["direct_ms"] for each in latencies]
    return {
        "latency_ms": latencies,
        "added_median_ms": added,
        "relay_added_median_ms": relay_added,
        "short_requests": shorts,
        "direct_short_requests": direct,
        "chunks": streams,
    }


def chunk_rates(answered: dict[str, float]) -> dict[str, float]:
    """Return rates of chunks from rates of streams; an engine's chunk is one token."""
    return {
        **answered,
        "per_s": answered["per_s"] * STREAM_TOKENS,
        "per_processor_s": answered["per_processor_s"] * STREAM_TOKENS,
    }


def measure_memory() -> dict[str, Any]:
    """Return resident bytes per open stream and per idle session, as slopes."""
    fleet = Fleet(1, 1, slow=True)
    resident = []
    try:
        opened = 0
        for step in MEMORY_STEPS:
            fleet.callers[0].call(do="open", address=fleet.address, count=step - opened)
            opened = step
            time.sleep(SETTLE_S)
            resident.append(fleet.gateway.resident_bytes())
    finally:
        fleet.close()
    return {
        "streams": MEMORY_STEPS,
        "resident_bytes": resident,
        "bytes_per_open_stream": slope(MEMORY_STEPS, resident),
        **measure_sessions(),
    }


def measure_sessions() -> dict[str, Any]:
    """Return resident bytes per idle session with one short turn."""
    fleet = Fleet(1, 1, slow=False)
    resident = []
    steps = tuple(step * 5 for step in MEMORY_STEPS)
    try:
        opened = 0
        for step in steps:
            names = fleet.gateway.call(sessions=step - opened)["sessions"]
            fleet.callers[0].call(do="sessions", address=fleet.address, names=names)
            opened = step
            time.sleep(SETTLE_S)
            resident.append(fleet.gateway.resident_bytes())
    finally:
        fleet.close()
    return {
        "sessions": steps,
        "session_resident_bytes": resident,
        "bytes_per_idle_session": slope(steps, resident),
    }


def slope(amounts: tuple[int, ...], values: list[int]) -> float:
    """Return the least-squares slope."""
    return statistics.linear_regression(amounts, values).slope


def main() -> None:
    """Run the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", default="")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--engines", type=int, default=2)
    parser.add_argument("--callers", type=int, default=2)
    parser.add_argument("--no-memory", action="store_true")
    options = parser.parse_args()
    figures = {"load_average": os.getloadavg(), **measure_rates(options)}
    if not options.no_memory:
        figures.update(measure_memory())
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
