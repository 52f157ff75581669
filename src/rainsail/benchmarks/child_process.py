"""The program of a bench's child process: an engine, a gateway, a TCP relay, callers or a receiver.

Started by ``rainsail.benchmarks.child``. It reads one command as a JSON line from standard input,
answers each with one line, and ends with the end of its input.
"""

import argparse
import cProfile
import json
import statistics
import sys
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks, maybeDeferred
from twisted.internet.task import deferLater
from twisted.internet.threads import deferToThread
from twisted.protocols.portforward import ProxyFactory

from rainsail.benchmarks.child import LOOPBACK
from rainsail.benchmarks.gateway_heap import measure_heap
from rainsail.benchmarks.gateway_load import Callers, fresh_question
from rainsail.benchmarks.loopback_gateway import (
    FAST_ENGINE,
    SLOW_ENGINE,
    LoopbackEngines,
    LoopbackGateway,
)
from rainsail.benchmarks.samples import MILLISECONDS
from rainsail.benchmarks.wire import start_receiver
from rainsail.runtime.garbage_collection import exempt_startup_objects

OPEN_STREAM_TOKENS = 1000
"""At the slow engine's two tokens a second a stream stays open for the whole measurement."""
OPENED_AT_ONCE = 25
"""Below the 50 connections that wait at Twisted's listening sockets; more can be reset."""
READY_CHECK_S = 0.05
"""Not measured; short beside the engines' first reports."""

Commands = dict[str, Callable[..., Any]]
"""What a role answers: functions that take a command's arguments and return a JSON value."""

reactor: Any = installed_reactor


def engine_commands(slow: bool) -> Commands:
    """Run one engine."""
    engines = LoopbackEngines(reactor, 1, SLOW_ENGINE if slow else FAST_ENGINE)
    return {"address": lambda: engines.addresses[0]}


def relay_commands() -> Commands:
    """Run a bare TCP relay: what any process between caller and engine adds on this machine."""

    def start(engine: str) -> str:
        url = urlsplit(engine)
        assert url.hostname is not None and url.port is not None
        factory = ProxyFactory(url.hostname, url.port)
        port = reactor.listenTCP(0, factory, interface=LOOPBACK)
        return f"http://{LOOPBACK}:{port.getHost().port}"

    return {"start": start}


def receiver_commands(keys: str) -> Commands:
    """Run the far end of the wire bench, with TLS when ``keys`` names a folder."""

    @inlineCallbacks
    def start() -> Any:
        _, port = yield start_receiver(reactor, Path(keys) if keys else None)
        return port

    return {"start": start}


class BenchedGatewayProcess:
    """Runs one gateway."""

    def __init__(self) -> None:
        self._gateway: LoopbackGateway | None = None

    def commands(self) -> Commands:
        """Return what this process answers."""
        return {"start": self.start, "open_sessions": self.open_sessions}

    async def start(self, engines: list[str]) -> str:
        """Start the gateway, wait until every engine has reported, and return its address."""
        self._gateway = LoopbackGateway(reactor, engines)
        while not self._gateway.is_ready():
            await deferLater(reactor, READY_CHECK_S)
        exempt_startup_objects()
        return self._gateway.address

    def open_sessions(self, count: int) -> list[str]:
        """Create sessions and return their names."""
        assert self._gateway is not None
        return self._gateway.open_sessions(count)


class CallerProcess:
    """Runs callers."""

    def __init__(self) -> None:
        self._callers = Callers(reactor)
        self._open_streams: list[Any] = []

    def commands(self) -> Commands:
        """Return what this process answers."""
        return {
            "load": self.load,
            "latency": self.latency,
            "open_streams": self.open_streams,
            "take_turns": self.take_turns,
            "heap": self.heap,
        }

    async def load(self, **shape: Any) -> dict[str, Any]:
        """Ask for a while and count the answers (see ``Callers.load``)."""
        return asdict(await self._callers.load(**shape))

    async def latency(self, addresses: dict[str, str], samples: int) -> dict[str, float]:
        """Ask at each address by turns, one question at a time; return the medians."""
        took_s: dict[str, list[float]] = {name: [] for name in addresses}
        for _ in range(samples):
            for name, address in addresses.items():
                took_s[name].append(await self._callers.time_short(address))
        return {f"{name}_ms": MILLISECONDS * statistics.median(took_s[name]) for name in took_s}

    async def open_streams(self, address: str, count: int) -> None:
        """Open streams and keep them open."""
        for opened in range(0, count, OPENED_AT_ONCE):
            opening = [
                Deferred.fromCoroutine(
                    self._callers.open_stream(address, fresh_question(OPEN_STREAM_TOKENS, True))
                )
                for _ in range(min(OPENED_AT_ONCE, count - opened))
            ]
            self._open_streams.extend(await gatherResults(opening))

    async def take_turns(self, address: str, sessions: list[str]) -> None:
        """Take one short turn in each session."""
        for session in sessions:
            await self._callers.time_short(address, session)

    async def heap(self, address: str, items: int) -> dict[str, Any]:
        """Ask one question at a time while a heap of batch items is taken in."""
        return asdict(await measure_heap(self._callers, address, items))


def answer_commands(commands: Commands) -> None:
    """Answer each line of standard input; the end of the input stops the reactor."""

    async def loop() -> None:
        while line := await deferToThread(sys.stdin.readline):
            arguments = json.loads(line)
            command = commands[arguments.pop("command")]
            print(json.dumps(await maybeDeferred(command, **arguments)), flush=True)
        reactor.stop()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(loop()).addErrback(fail))


def fail(failure: Any) -> None:
    """Write a failure and end."""
    failure.printTraceback(file=sys.stderr)
    if reactor.running:
        reactor.stop()


def run_reactor(profile: str) -> None:
    """Run until stopped; write a profile (cProfile) when a file is named."""
    if not profile:
        reactor.run()
        return
    profiler = cProfile.Profile()
    profiler.runcall(reactor.run)
    profiler.dump_stats(profile)


def main() -> None:
    """Run one process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("role", choices=("engine", "gateway", "relay", "caller", "receiver"))
    parser.add_argument("--slow", action="store_true")
    parser.add_argument("--keys", default="")
    parser.add_argument("--profile", default="")
    options = parser.parse_args()
    roles: dict[str, Callable[[], Commands]] = {
        "engine": lambda: engine_commands(options.slow),
        "gateway": lambda: BenchedGatewayProcess().commands(),
        "relay": relay_commands,
        "caller": lambda: CallerProcess().commands(),
        "receiver": lambda: receiver_commands(options.keys),
    }
    answer_commands({"processor_s": time.process_time, **roles[options.role]()})
    run_reactor(options.profile)


if __name__ == "__main__":
    main()
