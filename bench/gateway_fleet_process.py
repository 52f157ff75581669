"""One process of the gateway bench's fleet: an engine, the gateway, a bare relay or callers.

Started by ``gateway_fleet_bench.py``. Each takes commands as JSON lines on standard input, answers
each with one line, and ends with the end of its input.
"""

import argparse
import cProfile
import json
import statistics
import sys
import time
from collections.abc import Callable
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
MEMORY_STREAM_TOKENS = 1000
READY_CHECK_S = 0.05
MILLISECONDS = 1e3

reactor: Any = any_reactor


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


def main() -> None:
    """Be one process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("role", choices=("engine", "gateway", "relay", "caller"))
    parser.add_argument("--slow", action="store_true")
    parser.add_argument("--profile", default="")
    options = parser.parse_args()
    if options.role == "engine":
        run_engine(options.slow)
    elif options.role == "gateway":
        run_gateway(options.profile)
    elif options.role == "relay":
        run_relay()
    else:
        run_caller()


if __name__ == "__main__":
    main()
