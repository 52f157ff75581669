"""One gateway's view of each runner: its load, and whether it is ejected.

A runner reports its load with each response, so reports are delayed. Between two reports the
gateway adds the requests that it has itself sent, and subtracts those that have ended. A runner is
ejected, that is excluded for a time, after consecutive failures, or when it sends nothing while
responses are outstanding. Prefill of a long prompt occupies a runner and delays all later requests
there; gateways announce such prompts to each other.

Does no I/O; the caller passes the time, in seconds of the process's clock.

``gateway.load_score`` estimates the load of native runners differently: their engines report
periodically, and separate online requests from batch items.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rainsail.mechanisms import DEFAULTS, Mechanisms
from rainsail.routing.facts import ServerLoad

REPORT_FRESH_S = 0.6
"""A load report keeps its full weight for this long: about the duration of a short request."""
REPORT_EXPIRED_S = 3.0
"""From this age on a report has no weight; between the two ages the weight falls linearly.

At this age few of the requests that were reported are still running.
"""
EJECT_AFTER_FAILURES = 2
"""Consecutive failures that eject a runner.

The request may be the cause of a single failure; each further failure delays a client.
"""
FIRST_EJECTION_S = 1.0
"""Duration of the first ejection; it doubles with each further consecutive failure.

It is short, so that a runner that failed by chance is soon used again.
"""
MAX_EJECTION_S = 8.0
"""Upper bound of an ejection, so that a recovered runner is soon tried again."""
FULL_BACKOFF_S = 0.15
"""A runner that refused a request as full is avoided for this long, if there are others.

Shorter than most responses: by then a slot is probably free.
"""


@dataclass(slots=True)
class RunnerLoad:
    """One runner as this gateway sees it; times are seconds of the process's clock."""

    in_flight: int = 0
    """Requests of this gateway that are in flight at the runner."""
    reported: int = 0
    """Running and waiting requests in the runner's last report."""
    reported_at_s: float = float("-inf")
    in_flight_at_report: int = 0
    failures: int = 0
    """Consecutive failures."""
    ejected_until_s: float = float("-inf")
    full_until_s: float = float("-inf")
    prefill_until_s: float = float("-inf")
    """Estimated end of prefill of all prompts sent to the runner."""
    awaiting_since_s: float | None = None
    """Since when a response is outstanding without any data; None when none is outstanding."""
    paused: int = 0
    """Requests in flight whose answers are not read for now, as their clients are too slow."""
    idle_timeout_s: float = 0.0
    """A runner with an outstanding response times out after this long without data."""

    def estimate(self, now: float) -> float:
        """Return the estimated number of requests at the runner, including waiting ones."""
        age_s = now - self.reported_at_s
        if age_s >= REPORT_EXPIRED_S:
            return float(self.in_flight)
        updated = max(0, self.reported + self.in_flight - self.in_flight_at_report)
        if age_s <= REPORT_FRESH_S:
            return float(max(updated, self.in_flight))
        weight = (REPORT_EXPIRED_S - age_s) / (REPORT_EXPIRED_S - REPORT_FRESH_S)
        return max(float(self.in_flight), updated * weight)


class RunnerLoads:
    """Loads by runner id."""

    def __init__(self, mechanisms: Mechanisms = DEFAULTS) -> None:
        self._mechanisms = mechanisms
        self._loads: dict[str, RunnerLoad] = {}
        self._outcomes: dict[str, tuple[int, int]] = {}
        self.on_change: Callable[[], None] = lambda: None
        """Called whenever a number of requests in flight has changed."""

    def of(self, runner: str) -> RunnerLoad:
        """Return a runner's load; creates an empty one on first use."""
        load = self._loads.get(runner)
        if load is None:
            load = self._loads[runner] = RunnerLoad()
        return load

    def forget(self, runner: str) -> None:
        """Drop a runner that has left the fleet, unless it has requests in flight."""
        load = self._loads.get(runner)
        if load is not None and load.in_flight == 0:
            del self._loads[runner]

    def runner_restarted(self, runner: str) -> None:
        """Reset the load of a runner that has restarted, except its requests in flight.

        Requests to the previous incarnation have not ended here yet; their ends will be counted.
        """
        former = self._loads.get(runner)
        if former is not None:
            self._loads[runner] = RunnerLoad(
                in_flight=former.in_flight,
                paused=former.paused,
                awaiting_since_s=former.awaiting_since_s,
                idle_timeout_s=former.idle_timeout_s,
            )
        self._outcomes.pop(runner, None)

    def in_flight(self) -> dict[str, int]:
        """Return the requests in flight by runner, without zeros."""
        return {name: load.in_flight for name, load in self._loads.items() if load.in_flight}

    # --- requests ------------------------------------------------------------------------

    def sent(self, runner: str, now: float, idle_timeout_s: float) -> None:
        """Count a request that was sent; the runner should send data within ``idle_timeout_s``."""
        load = self.of(runner)
        load.in_flight += 1
        load.idle_timeout_s = max(load.idle_timeout_s, idle_timeout_s)
        if load.awaiting_since_s is None:
            load.awaiting_since_s = now
        self.on_change()

    def ended(self, runner: str, now: float) -> None:
        """Count the end of a request, whatever its outcome."""
        load = self.of(runner)
        load.in_flight = max(0, load.in_flight - 1)
        if load.in_flight == 0:
            load.awaiting_since_s = None
            load.idle_timeout_s = 0.0
        self.on_change()

    def received(self, runner: str, now: float) -> None:
        """Note that a runner has sent data."""
        load = self.of(runner)
        if load.awaiting_since_s is not None:
            load.awaiting_since_s = now

    def set_paused(self, runner: str, is_paused: bool, now: float) -> None:
        """Count an answer that is not read for now, or is read again."""
        load = self.of(runner)
        load.paused = max(0, load.paused + (1 if is_paused else -1))
        self.received(runner, now)

    def take_report(self, runner: str, report: ServerLoad, now: float) -> None:
        """Record a runner's report of its own load."""
        load = self.of(runner)
        load.reported = report.running + report.waiting
        load.reported_at_s = now
        load.in_flight_at_report = load.in_flight

    def add_prefill(self, runner: str, for_s: float, now: float) -> None:
        """Add the prefill time of a prompt that was sent to a runner, in seconds.

        A negative time takes back that of a prompt that the runner has not run after all.
        """
        if not self._mechanisms.reading_clock:
            return
        load = self.of(runner)
        load.prefill_until_s = max(load.prefill_until_s, now) + for_s

    # --- outcomes ------------------------------------------------------------------------

    def answered(self, runner: str) -> None:
        """Count a successful response; it ends an ejection."""
        self._count_outcome(runner, 1, 0)
        load = self.of(runner)
        load.failures = 0
        load.ejected_until_s = float("-inf")

    def failed(self, runner: str, now: float, at_once: bool = False) -> None:
        """Count a failure; with ``at_once`` the first one ejects the runner.

        A failure is a response that was cut off, an error response, or a failed connection.
        """
        self._count_outcome(runner, 0, 1)
        if not self._mechanisms.ejection:
            return
        load = self.of(runner)
        load.failures += 1
        doublings = load.failures - EJECT_AFTER_FAILURES
        if at_once:
            doublings = max(doublings, 0)
        if doublings >= 0:
            load.ejected_until_s = now + min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**doublings)

    def full(self, runner: str, now: float) -> None:
        """Note that a runner refused a request because it is full."""
        self.of(runner).full_until_s = now + FULL_BACKOFF_S

    def take_outcomes(self) -> dict[str, tuple[int, int]]:
        """Return the responses and failures by runner since the last call.

        Runners without either are left out.
        """
        outcomes, self._outcomes = self._outcomes, {}
        return outcomes

    def _count_outcome(self, runner: str, answered: int, failed: int) -> None:
        before = self._outcomes.get(runner, (0, 0))
        self._outcomes[runner] = (before[0] + answered, before[1] + failed)

    # --- unavailable runners -------------------------------------------------------------

    def eject(self, runner: str, now: float, for_s: float) -> None:
        """Eject a runner for ``for_s`` seconds; never shortens an ejection."""
        load = self.of(runner)
        load.ejected_until_s = max(load.ejected_until_s, now + for_s)

    def is_ejected(self, runner: str, now: float) -> bool:
        """Return whether a runner is ejected."""
        return self.of(runner).ejected_until_s > now

    def unavailable(self, now: float) -> list[str]:
        """Return the runners to avoid now: ejected, full, or busy with prefill."""
        return [
            name
            for name, load in self._loads.items()
            if max(load.ejected_until_s, load.full_until_s, load.prefill_until_s) > now
        ]

    @property
    def awaits_answers(self) -> bool:
        """Whether a response is outstanding at any runner."""
        return any(load.awaiting_since_s is not None for load in self._loads.values())

    def timed_out(self, now: float) -> list[str]:
        """Return the runners with outstanding responses that sent nothing for their idle timeout.

        For a runner that is busy with prefill the timeout begins at the estimated end of prefill.
        """
        if not self._mechanisms.silence:
            return []
        return [
            name
            for name, load in self._loads.items()
            if load.awaiting_since_s is not None
            and not load.paused
            and now - max(load.awaiting_since_s, load.prefill_until_s) > load.idle_timeout_s
        ]
