"""Runners in virtual time that respond with streams.

One body crashes the runner that starts to run it; a crashed runner restarts after a time.
"""

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
START_AFTER_S = 0.02
CRASH_AFTER_S = 0.1
EVENT_PERIOD_S = 0.1
EVENTS = 5
RESTART_AFTER_S = 1.5
HEARTBEAT_PERIOD_S = 1.0
SLOTS = 8


@dataclass(frozen=True)
class FatalRun:
    """When a fatal body started to run, and the node that sent it."""

    at_s: float
    sender: str
    body: bytes
    part: str = ""
    """The prompt part that crashes the runner, if it is not the body."""


@dataclass
class CrashingRunner:
    """A runner at a fixed address, with its incarnation and the times of its crashes."""

    number: int
    incarnation: int = 1
    is_up: bool = True
    has_no_power: bool = False
    has_left: bool = False
    sequence: int = 0
    calls: list[StandInCall] = field(default_factory=list)
    ran_fatal: bytes = b""
    """What runs here and crashes the runner; empty if nothing does."""
    fatal_call: StandInCall | None = None
    """The call of that run; None if the runner crashes even if the run is cancelled."""
    crashes: list[float] = field(default_factory=list)

    def note_fatal(self, cause: bytes, call: StandInCall | None) -> None:
        """Note what crashes the runner; without a cause, that nothing does."""
        self.ran_fatal, self.fatal_call = cause, call

    @property
    def address(self) -> str:
        """The address, the same for all incarnations."""
        return f"10.9.0.{self.number}:80"

    @property
    def runner(self) -> str:
        """The runner id; every second runner keeps it when it restarts."""
        return f"runner-{self.number}" + (f"-{self.incarnation}" if self.number % 2 else "")


class CrashingRunners:
    """All runners of a fleet; a ``RunnerPool`` is one node's connections to them."""

    def __init__(
        self,
        clock: VirtualClock,
        count: int,
        on_heartbeat: Callable[[RunnerRecord], None],
        immune_service: str = "",
        slots: int = SLOTS,
    ) -> None:
        """``on_heartbeat`` receives each heartbeat; each runner has ``slots``.

        With an ``immune_service`` the runners with even numbers belong to it, and respond to a
        fatal body as to any other.
        """
        self._immune_service = immune_service
        self._slots = slots
        self.clock = clock
        self._on_heartbeat = on_heartbeat
        self.runners = [CrashingRunner(number) for number in range(1, count + 1)]
        self.fatal_runs: list[FatalRun] = []
        self.fatal_bodies = {FATAL_BODY}
        self.fatal_parts: set[str] = set()
        """Prompt parts that crash the runner, unless they are a prompt's last part."""
        self.head = AnswerHead(200, STREAM_FIELDS)
        """The head of each answer."""
        self.item_events = EVENTS
        """Events of an answer to an item."""
        self.stream_events = EVENTS
        """Events of an answer to a client."""
        self.versions: dict[int, str] = {}
        """The software version of each runner by number; with any, events name it."""
        self.crash_after_s = CRASH_AFTER_S
        """Time from the beginning of a fatal run, or from its last event, to the crash."""
        self.restart_after_s = RESTART_AFTER_S
        """How long a runner is down after a crash by a fatal run."""
        self.events_before_crash = 0
        """Events that each fatal run writes; a run that resumes another one goes on behind it."""
        self.cancelled_runs_crash = True
        """Whether a fatal run crashes its runner although its sender has closed the connection."""
        self.abort_share = 0.0
        """Probability that a runner aborts a response at an event and keeps running."""
        self._draw = random.Random(count)
        self.fatal_crashes: dict[bytes, list[float]] = {}
        """The times of the crashes caused by each fatal body."""
        for runner in self.runners:
            self._send_heartbeats(runner, runner.incarnation)

    @property
    def crashes(self) -> list[float]:
        """The times of all crashes, in order."""
        return sorted(moment for runner in self.runners for moment in runner.crashes)

    def at(self, address: str) -> CrashingRunner:
        """Return the runner of an address."""
        return next(runner for runner in self.runners if runner.address == address)

    def _send_heartbeats(self, runner: CrashingRunner, incarnation: int) -> None:
        if not runner.is_up or runner.incarnation != incarnation or runner.has_left:
            return
        self.send_heartbeat(runner, RunnerState.READY)
        self.clock.callLater(HEARTBEAT_PERIOD_S, self._send_heartbeats, runner, incarnation)

    def send_heartbeat(self, runner: CrashingRunner, state: RunnerState) -> None:
        """Send a runner's heartbeat with a state."""
        runner.has_left = state != RunnerState.READY
        runner.sequence += 1
        self._on_heartbeat(
            RunnerRecord(
                runner.runner,
                self._immune_service if self._is_immune(runner) else SERVICE,
                runner.address,
                f"zone-{runner.number % 3}",
                self._slots,
                state,
                0.0,
                runner.sequence,
                born=runner.incarnation if self.versions else 0,
            )
        )

    def _is_immune(self, runner: CrashingRunner) -> bool:
        return bool(self._immune_service) and runner.number % 2 == 0

    # --- requests ------------------------------------------------------------------------

    def take(self, call: StandInCall) -> None:
        """Handle a request that arrives."""
        runner = self.at(call.address)
        if call.cancelled:
            return
        if runner.has_no_power:
            self.clock.callLater(CONNECT_TIMEOUT_S, self._not_connected, call, "timed out")
            return
        if not runner.is_up:
            self._not_connected(call, "refused")
            return
        runner.calls.append(call)
        self.clock.callLater(START_AFTER_S, self._begin, runner, call)

    @staticmethod
    def _not_connected(call: StandInCall, reason: str) -> None:
        if not call.cancelled:
            call.listener.request_unsent(reason)

    def _begin(self, runner: CrashingRunner, call: StandInCall) -> None:
        if call.cancelled or call not in runner.calls:
            return
        call.listener.answer_begun(self.head)
        part = self._fatal_part(call)
        is_fatal = part or call.request.body in self.fatal_bodies
        if is_fatal and not self._is_immune(runner):
            run = FatalRun(self.clock.seconds(), call.sender, call.request.body, part)
            self.fatal_runs.append(run)
            self._run_fatal(runner, call, part.encode() or call.request.body)
            return
        first = int(call.field(b"after-event") or 0) + 1
        self.clock.callLater(EVENT_PERIOD_S, self._send_event, runner, call, first)

    def _run_fatal(self, runner: CrashingRunner, call: StandInCall, cause: bytes) -> None:
        """Write the events that come before the crash, then crash."""
        runner.note_fatal(cause, call)
        first = int(call.field(b"after-event") or 0) + 1
        for number in range(self.events_before_crash):
            at_s = (number + 1) * EVENT_PERIOD_S
            self.clock.callLater(at_s, self._send_fatal_event, runner, call, first + number)
        crash_s = self.events_before_crash * EVENT_PERIOD_S + self.crash_after_s
        self.clock.callLater(crash_s, self._crash_by, runner, runner.incarnation, call, cause)

    def _send_fatal_event(self, runner: CrashingRunner, call: StandInCall, number: int) -> None:
        if not call.cancelled and call in runner.calls:
            call.listener.answer_data(self._event(runner, number))

    def _crash_by(
        self, runner: CrashingRunner, incarnation: int, call: StandInCall, cause: bytes
    ) -> None:
        if call.cancelled and not self.cancelled_runs_crash:
            if runner.fatal_call is call:
                runner.note_fatal(b"", None)
            return
        if runner.is_up and runner.incarnation == incarnation:
            runner.note_fatal(cause, call)
            self.crash(runner, incarnation, self.restart_after_s)

    def _fatal_part(self, call: StandInCall) -> str:
        parts = [text.partition(":")[0] for text in call.field(b"prompt").split(",")[:-1]]
        return next((part for part in parts if part in self.fatal_parts), "")

    def _send_event(self, runner: CrashingRunner, call: StandInCall, number: int) -> None:
        if call.cancelled or call not in runner.calls:
            return
        call.listener.answer_data(self._event(runner, number))
        if call not in runner.calls:
            return
        if self._draw.random() < self.abort_share:
            runner.calls.remove(call)
            call.listener.answer_failed("connection reset")
            return
        events = self.item_events if call.job else self.stream_events
        if number < events:
            self.clock.callLater(EVENT_PERIOD_S, self._send_event, runner, call, number + 1)
            return
        runner.calls.remove(call)
        call.listener.answer_ended()

    def _event(self, runner: CrashingRunner, number: int) -> bytes:
        if not self.versions:
            return event(number)
        return f"id: {number}\ndata: {number} of {self.versions[runner.number]}\n\n".encode()

    # --- crashes -------------------------------------------------------------------------

    def crash(
        self, runner: CrashingRunner, incarnation: int, restart_after_s: float = RESTART_AFTER_S
    ) -> None:
        """Crash a runner: each connection to it is closed in order."""
        if not runner.is_up or runner.incarnation != incarnation:
            return
        runner.is_up = False
        runner.crashes.append(self.clock.seconds())
        if runner.ran_fatal and not self._was_given_up(runner.fatal_call):
            self.fatal_crashes.setdefault(runner.ran_fatal, []).append(self.clock.seconds())
        runner.note_fatal(b"", None)
        calls, runner.calls = runner.calls, []
        for call in calls:
            if not call.cancelled:
                call.listener.answer_failed("connection closed")
        self.clock.callLater(restart_after_s, self._restart, runner)

    def _was_given_up(self, call: StandInCall | None) -> bool:
        """Tell whether a fatal run had been cancelled, so that it has not crashed its runner."""
        return call is not None and call.cancelled and not self.cancelled_runs_crash

    def lose_power(self, runner: CrashingRunner, for_s: float) -> None:
        """Cut a runner's power: it sends nothing, and connections neither close nor open."""
        runner.is_up = False
        runner.has_no_power = True
        runner.calls.clear()
        self.clock.callLater(for_s, self._restart, runner)

    def _restart(self, runner: CrashingRunner) -> None:
        runner.has_no_power = runner.has_left = False
        runner.is_up = True
        runner.incarnation += 1
        runner.sequence = 0
        self._send_heartbeats(runner, runner.incarnation)


class RunnerPool:
    """One node's connections to the runners."""

    def __init__(self, runners: CrashingRunners, sender: str) -> None:
        self._runners = runners
        self._sender = sender
        self._calls: list[StandInCall] = []
        self._closed = False
        self.probes = 0

    def close(self) -> None:
        """Stop the node's process: it receives nothing more."""
        self._closed = True
        for call in self._calls:
            call.cancelled = True

    def send(
        self,
        address: str,
        request: OutgoingRequest,
        listener: Any,
        fresh: bool = False,
        settled_s: float = 0.0,
    ) -> StandInCall:
        """Send a request to a runner."""
        call = StandInCall(address, request, listener, self._sender)
        if self._closed:
            return call
        self._calls.append(call)
        self._runners.clock.callLater(NETWORK_S, self._runners.take, call)
        return call

    def has_settled(self, address: str, settled_s: float) -> bool:
        """Keep no connections."""
        return False

    def probe(self, address: str, told: Callable[[Reachability], None]) -> None:
        """Report whether a runner accepts connections."""
        self.probes += 1
        runner = self._runners.at(address)
        if runner.has_no_power:
            self._runners.clock.callLater(CONNECT_TIMEOUT_S, told, Reachability.SILENT)
            return
        reach = Reachability.OPEN if runner.is_up else Reachability.REFUSED
        self._runners.clock.callLater(NETWORK_S, told, reach)

    def forget(self, address: str) -> None:
        """Do nothing: this pool keeps no idle connections."""

    def close_stale(self) -> None:
        """Do nothing: this pool keeps no idle connections."""
