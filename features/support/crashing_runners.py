"""Runners in virtual time: they answer with streams, one body ends the runner that begins to run
it, and a runner that has ended is back a while later."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from features.support.relaying import EVENT_STREAM_FIELDS, SERVICE, StandInCall, event

from rainsail.cluster.messages import RunnerRecord, RunnerState
from rainsail.http.client import AnswerHead, OutgoingRequest
from rainsail.http.reachability import Reachability
from rainsail.simulation.clock import VirtualClock

FATAL_BODY = b"fatal"
STREAM_FIELDS = (*EVENT_STREAM_FIELDS, (b"transfer-encoding", b"chunked"))
NETWORK_S = 0.001
CONNECT_TIMEOUT_S = 0.3
BEGINS_AFTER_S = 0.02
DIES_AFTER_S = 0.1
EVENT_PERIOD_S = 0.1
EVENTS = 5
BACK_AFTER_S = 1.5
HEARTBEAT_PERIOD_S = 1.0
SLOTS = 8


@dataclass(frozen=True)
class FatalRun:
    """When a fatal body began to run, and the node that had sent it."""

    at_s: float
    sender: str
    body: bytes


@dataclass
class CrashingRunner:
    """One address and the incarnation there; ``ends`` are the moments at which one ended."""

    number: int
    lives: int = 1
    is_up: bool = True
    is_dark: bool = False
    has_left: bool = False
    sequence: int = 0
    calls: list[StandInCall] = field(default_factory=list)
    ran_fatal: bytes = b""
    ends: list[float] = field(default_factory=list)

    @property
    def address(self) -> str:
        """Its address, whatever incarnation is there."""
        return f"10.9.0.{self.number}:80"

    @property
    def runner(self) -> str:
        """The id: every second runner comes back under the one that it had."""
        return f"runner-{self.number}" + (f"-{self.lives}" if self.number % 2 else "")


class CrashingRunners:
    """All runners of a fleet; each pool that this makes is one node's connections to them."""

    def __init__(
        self,
        clock: VirtualClock,
        count: int,
        tell: Callable[[RunnerRecord], None],
        immune_service: str = "",
    ) -> None:
        """``tell`` gets each heartbeat.

        With an ``immune_service`` the runners with even numbers are of that one, and answer a fatal
        body as any other.
        """
        self._immune_service = immune_service
        self.clock = clock
        self._tell = tell
        self.runners = [CrashingRunner(number) for number in range(1, count + 1)]
        self.fatal_runs: list[FatalRun] = []
        self.fatal_bodies = {FATAL_BODY}
        self.broken_share = 0.0
        """Of other requests so many are broken off by a runner that lives on."""
        self._draw = random.Random(count)
        self.fatal_ends: dict[bytes, list[float]] = {}
        """When a runner ended under each fatal body."""
        for runner in self.runners:
            self._beat(runner, runner.lives)

    @property
    def ends(self) -> list[float]:
        """The moments at which a runner ended, in order."""
        return sorted(moment for runner in self.runners for moment in runner.ends)

    def at(self, address: str) -> CrashingRunner:
        """Return the runner of an address."""
        return next(runner for runner in self.runners if runner.address == address)

    def _beat(self, runner: CrashingRunner, life: int) -> None:
        if not runner.is_up or runner.lives != life or runner.has_left:
            return
        self.say(runner, RunnerState.READY)
        self.clock.callLater(HEARTBEAT_PERIOD_S, self._beat, runner, life)

    def say(self, runner: CrashingRunner, state: RunnerState) -> None:
        """Have a runner say what it is about to do."""
        runner.has_left = state != RunnerState.READY
        runner.sequence += 1
        self._tell(
            RunnerRecord(
                runner.runner,
                self._immune_service if self._is_immune(runner) else SERVICE,
                runner.address,
                f"zone-{runner.number % 3}",
                SLOTS,
                state,
                0.0,
                runner.sequence,
            )
        )

    def _is_immune(self, runner: CrashingRunner) -> bool:
        return bool(self._immune_service) and runner.number % 2 == 0

    # --- requests ------------------------------------------------------------------------

    def take(self, call: StandInCall) -> None:
        """A request arrives."""
        runner = self.at(call.address)
        if call.cancelled:
            return
        if runner.is_dark:
            self.clock.callLater(CONNECT_TIMEOUT_S, self._not_connected, call, "timed out")
            return
        if not runner.is_up:
            self._not_connected(call, "refused")
            return
        runner.calls.append(call)
        self.clock.callLater(BEGINS_AFTER_S, self._begin, runner, call)

    @staticmethod
    def _not_connected(call: StandInCall, reason: str) -> None:
        if not call.cancelled:
            call.listener.request_unsent(reason)

    def _begin(self, runner: CrashingRunner, call: StandInCall) -> None:
        if call.cancelled or call not in runner.calls:
            return
        call.listener.answer_begun(AnswerHead(200, STREAM_FIELDS))
        if call.request.body in self.fatal_bodies and not self._is_immune(runner):
            run = FatalRun(self.clock.seconds(), call.sender, call.request.body)
            self.fatal_runs.append(run)
            runner.ran_fatal = call.request.body
            self.clock.callLater(DIES_AFTER_S, self.end, runner, runner.lives)
            return
        first = int(call.field(b"after-event") or 0) + 1
        self.clock.callLater(EVENT_PERIOD_S, self._send_event, runner, call, first)

    def _send_event(self, runner: CrashingRunner, call: StandInCall, number: int) -> None:
        if call.cancelled or call not in runner.calls:
            return
        call.listener.answer_data(event(number))
        if call not in runner.calls:
            return
        if self._draw.random() < self.broken_share:
            runner.calls.remove(call)
            call.listener.answer_failed("connection reset")
            return
        if number < EVENTS:
            self.clock.callLater(EVENT_PERIOD_S, self._send_event, runner, call, number + 1)
            return
        runner.calls.remove(call)
        call.listener.answer_ended()

    # --- ends ----------------------------------------------------------------------------

    def end(self, runner: CrashingRunner, life: int, back_after_s: float = BACK_AFTER_S) -> None:
        """End a runner: each connection to it closes in order."""
        if not runner.is_up or runner.lives != life:
            return
        runner.is_up = False
        runner.ends.append(self.clock.seconds())
        if runner.ran_fatal:
            self.fatal_ends.setdefault(runner.ran_fatal, []).append(self.clock.seconds())
            runner.ran_fatal = b""
        calls, runner.calls = runner.calls, []
        for call in calls:
            if not call.cancelled:
                call.listener.answer_failed("connection closed")
        self.clock.callLater(back_after_s, self._come_back, runner)

    def go_dark(self, runner: CrashingRunner, for_s: float) -> None:
        """Cut a runner's power: nothing is heard of it, connections neither close nor open."""
        runner.is_up = False
        runner.is_dark = True
        runner.calls.clear()
        self.clock.callLater(for_s, self._come_back, runner)

    def _come_back(self, runner: CrashingRunner) -> None:
        runner.is_dark = runner.has_left = False
        runner.is_up = True
        runner.lives += 1
        runner.sequence = 0
        self._beat(runner, runner.lives)


class RunnerPool:
    """One node's connections to the runners."""

    def __init__(self, runners: CrashingRunners, sender: str) -> None:
        self._runners = runners
        self._sender = sender
        self._calls: list[StandInCall] = []
        self._closed = False
        self.probes = 0

    def close(self) -> None:
        """End the node's process: nothing of it is heard any more."""
        self._closed = True
        for call in self._calls:
            call.cancelled = True

    def send(
        self, address: str, request: OutgoingRequest, listener: Any, fresh: bool = False
    ) -> StandInCall:
        """Hand a request over."""
        call = StandInCall(address, request, listener, self._sender)
        if self._closed:
            return call
        self._calls.append(call)
        self._runners.clock.callLater(NETWORK_S, self._runners.take, call)
        return call

    def probe(self, address: str, told: Callable[[Reachability], None]) -> None:
        """Tell whether a runner takes connections."""
        self.probes += 1
        runner = self._runners.at(address)
        if runner.is_dark:
            self._runners.clock.callLater(CONNECT_TIMEOUT_S, told, Reachability.SILENT)
            return
        reach = Reachability.OPEN if runner.is_up else Reachability.REFUSED
        self._runners.clock.callLater(NETWORK_S, told, reach)

    def forget(self, address: str) -> None:
        """No connection rests here."""

    def close_stale(self) -> None:
        """No connection rests here."""
