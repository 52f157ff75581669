"""Crashes the runners at which trials run, in virtual time."""

from collections.abc import Callable

from features.support.crashing_runners import CRASH_AFTER_S, CrashingRunner
from features.support.fatal_request_fleet import FatalRequestFleet
from features.support.relaying import StandInCall

LOOK_PERIOD_S = 0.01
FATAL_PERIOD_S = 0.7
FATAL_SENDINGS = 8
PATIENCE_S = 0.5
"""How long a trial waits for another request at its runner, which is made fatal then."""


class TrialCrashes:
    """Crashes the runners of the next trials of items; ``left`` counts those to come."""

    def __init__(
        self,
        fleet: FatalRequestFleet,
        count: int,
        after_s: float,
        is_by_request: bool = False,
    ) -> None:
        """A runner crashes ``after_s`` after its trial began, or by a request that runs there.

        Such a request is fatal from then on, and comes again several times.
        """
        self.left = count
        self.on_crash: Callable[[], None] = lambda: None
        self._fleet = fleet
        self._after_s = after_s
        self._is_by_request = is_by_request
        self._seen: set[int] = set()
        self._calls: list[StandInCall] = []
        """Keeps the calls alive, so that their ids stay unique."""
        self._look()

    def _look(self) -> None:
        fleet = self._fleet
        assert fleet.runners is not None
        has_trials = self._has_trials()
        for runner in fleet.runners.runners:
            for call in runner.calls:
                if not call.job or id(call) in self._seen:
                    continue
                self._seen.add(id(call))
                self._calls.append(call)
                if has_trials and self.left:
                    self._crash(runner, call)
        fleet.clock.callLater(LOOK_PERIOD_S, self._look)

    def _has_trials(self) -> bool:
        fleet = self._fleet
        states = [fleet.nodes[name].role.state for name in fleet.names("controller")]
        return any(
            not each.held
            for state in states
            if state is not None
            for each in state.quarantine.snapshot().requests
        )

    def _crash(self, runner: CrashingRunner, call: StandInCall) -> None:
        if self._is_by_request:
            self._crash_by_request(runner, call, self._fleet.clock.seconds() + PATIENCE_S)
            return
        self._fleet.clock.callLater(self._after_s, self._crash_now, runner, call)

    def _crash_now(self, runner: CrashingRunner, call: StandInCall) -> None:
        assert self._fleet.runners is not None
        if call not in runner.calls or call.cancelled or not self.left:
            return
        self.left -= 1
        self._fleet.runners.crash(runner, runner.incarnation)
        self.on_crash()

    def _crash_by_request(self, runner: CrashingRunner, call: StandInCall, until_s: float) -> None:
        """Make a request at the runner fatal as soon as there is one, and send it again."""
        fleet = self._fleet
        assert fleet.runners is not None
        if call not in runner.calls or call.cancelled:
            return
        other = next((each for each in runner.calls if not each.job and not each.cancelled), None)
        if other is None:
            if fleet.clock.seconds() < until_s:
                fleet.clock.callLater(LOOK_PERIOD_S, self._crash_by_request, runner, call, until_s)
            return
        body, prompt = other.request.body, other.field(b"prompt")
        fleet.runners.fatal_bodies.add(body)
        runner.note_fatal(body, None)
        fleet.clock.callLater(CRASH_AFTER_S, self._crash_now, runner, call)
        for number in range(FATAL_SENDINGS):
            fleet.clock.callLater(1.0 + number * FATAL_PERIOD_S, self._send_again, body, prompt)

    def _send_again(self, body: bytes, prompt: str) -> None:
        self._fleet.request(self._fleet.any_gateway(), body, prompt=prompt)
