"""Measure a gateway in a process of its own, with engines and callers in other processes.

Prints one JSON object. Short requests and relayed token chunks are counted per second of the
gateway's own processor time, so that other work on the machine hardly moves them; the rate on the
wall clock and the share of a core that the gateway got stand beside them. Memory is the resident
set of the gateway's process.

    python bench/gateway_fleet_bench.py [--seconds S] [--runs N] [--engines E] [--callers C]

With --profile FILE the gateway's process writes its profile (cProfile) there.
"""

import argparse
import cProfile
import json
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from twisted.internet import reactor as any_reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.threads import deferToThread
from twisted.protocols.portforward import ProxyFactory

from rainsail.benchmarks.gateway_bed import (
    FAST_ENGINE,
    LOOPBACK,
    SLOW_ENGINE,
    EngineBed,
    GatewayBed,
)
from rainsail.benchmarks.gateway_load import Callers, fresh_question
from rainsail.runtime.collector import exempt_startup_objects

SHORT_TOKENS = 4
STREAM_TOKENS = 200
SHORT_CONCURRENCY = 32
STREAM_CONCURRENCY = 32
LATENCY_SAMPLES = 300
MEMORY_STEPS = (0, 200, 400, 600, 800)
MEMORY_STREAM_TOKENS = 1000
READY_CHECK_S = 0.05
SETTLE_S = 2.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MILLISECONDS = 1e3

reactor: Any = any_reactor


# --- one process of the fleet -------------------------------------------------------------------


def say(**fields: Any) -> None:
    """Write one line for the driver."""
    print(json.dumps(fields), flush=True)


def answer_commands(handle: Callable[[dict[str, Any]], Any]) -> None:
    """Answer each JSON line on standard input; the end of the input ends the process."""

    async def loop() -> None:
        while line := await deferToThread(sys.stdin.readline):
            say(**await handle(json.loads(line)))
        reactor.stop()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(loop()).addErrback(fail))


def fail(failure: Any) -> None:
    """Write a failure and end."""
    failure.printTraceback(file=sys.stderr)
    if reactor.running:
        reactor.stop()


def run_engine(slow: bool) -> None:
    """Be one engine."""
    bed = EngineBed(reactor, 1, SLOW_ENGINE if slow else FAST_ENGINE)

    async def handle(command: dict[str, Any]) -> dict[str, Any]:
        return {"address": bed.addresses[0], "processor_s": time.process_time()}

    answer_commands(handle)
    reactor.run()


def run_gateway(profile: str) -> None:
    """Be the gateway."""
    beds: list[GatewayBed] = []

    async def handle(command: dict[str, Any]) -> dict[str, Any]:
        if "engines" in command:
            beds.append(GatewayBed(reactor, command["engines"]))
            while not beds[0].is_ready():
                await sleep(READY_CHECK_S)
            exempt_startup_objects()
        names = beds[0].open_sessions(command.get("sessions", 0))
        return {
            "address": beds[0].address,
            "processor_s": time.process_time(),
            "sessions": names,
        }

    answer_commands(handle)
    if not profile:
        reactor.run()
        return
    profiler = cProfile.Profile()
    profiler.runcall(reactor.run)
    profiler.dump_stats(profile)


def run_relay() -> None:
    """Be a bare TCP relay: what any process between caller and engine adds on this machine."""
    ports: list[Any] = []

    async def handle(command: dict[str, Any]) -> dict[str, Any]:
        if "engine" in command:
            url = urlsplit(command["engine"])
            factory = ProxyFactory(url.hostname, url.port)
            ports.append(reactor.listenTCP(0, factory, interface=LOOPBACK))
        return {"address": f"http://{LOOPBACK}:{ports[0].getHost().port}"}

    answer_commands(handle)
    reactor.run()


def run_caller() -> None:
    """Be a process of callers."""
    callers = Callers(reactor)
    open_streams: list[Any] = []

    async def handle(command: dict[str, Any]) -> dict[str, Any]:
        name = command.pop("do")
        if name == "load":
            return await load(callers, **command)
        if name == "latency":
            return await latency(callers, **command)
        if name == "sessions":
            for session in command["names"]:
                question = fresh_question(SHORT_TOKENS, False, session)
                reply = await callers.ask(command["address"], question)
                assert reply.is_whole(), reply
            return {}
        opening = [
            Deferred.fromCoroutine(
                callers.open_stream(command["address"], fresh_question(MEMORY_STREAM_TOKENS, True))
            )
            for _ in range(command["count"])
        ]
        open_streams.extend(await gatherResults(opening))
        return {}

    answer_commands(handle)
    reactor.run()


async def load(
    callers: Callers,
    addresses: list[str],
    seconds: float,
    concurrency: int,
    tokens: int,
    stream: bool,
) -> dict[str, Any]:
    """Ask for a while and count the whole answers."""
    started_s = time.perf_counter()
    replies = await callers.ask_for(addresses, seconds, concurrency, tokens, stream)
    wall_s = time.perf_counter() - started_s
    whole = sum(reply.is_whole() for reply in replies)
    return {"whole": whole, "other": len(replies) - whole, "wall_s": wall_s}


async def latency(callers: Callers, addresses: dict[str, str], samples: int) -> dict[str, float]:
    """Ask at each address by turns, one question at a time; return the medians."""
    took: dict[str, list[float]] = {name: [] for name in addresses}
    for _ in range(samples):
        for name, address in addresses.items():
            reply = await callers.ask(address, fresh_question(SHORT_TOKENS, False))
            assert reply.is_whole(), reply
            took[name].append(reply.took_s)
    return {f"{name}_ms": MILLISECONDS * statistics.median(took[name]) for name in took}


def sleep(seconds: float) -> "Deferred[None]":
    """Return a Deferred that fires after ``seconds``."""
    done: Deferred[None] = Deferred()
    reactor.callLater(seconds, done.callback, None)
    return done


# --- the driver -----------------------------------------------------------------------------------


class Child:
    """A process of the fleet and its lines."""

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, __file__, *arguments]
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


def measure_memory(options: argparse.Namespace) -> dict[str, Any]:
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
    """Run the bench, or one process of it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("role", nargs="?", default="drive")
    parser.add_argument("--slow", action="store_true")
    parser.add_argument("--profile", default="")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--engines", type=int, default=2)
    parser.add_argument("--callers", type=int, default=2)
    parser.add_argument("--no-memory", action="store_true")
    options = parser.parse_args()
    if options.role == "engine":
        run_engine(options.slow)
    elif options.role == "gateway":
        run_gateway(options.profile)
    elif options.role == "relay":
        run_relay()
    elif options.role == "caller":
        run_caller()
    else:
        figures = {"load_average": os.getloadavg(), **measure_rates(options)}
        if not options.no_memory:
            figures.update(measure_memory(options))
        print(json.dumps(figures))


if __name__ == "__main__":
    main()
