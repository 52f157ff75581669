"""What one gateway knows of each runner: its load, and whether to leave it out for now.

A runner reports its load with each answer, and so late. Between two reports the gateway adds what
it has itself sent and seen end since. A runner is ejected, that is left out for a time, after
failures in a row and when it sends nothing while answers are awaited. The prefill of a long prompt
occupies a runner and delays all that is sent to it afterwards; gateways announce such prompts to
each other.

Times are seconds of the process's clock, handed in; nothing here does I/O.

``gateway.load_score`` estimates native runners otherwise: their engines report at a steady pace and
tell urgent requests from items.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rainsail.mechanisms import DEFAULTS, Mechanisms
from rainsail.routing.facts import ServerLoad

REPORT_TRUSTED_S = 0.6
"""A runner's report of its load keeps its full weight for this long.

Not measured; chosen as about the time that a short request takes.
"""
REPORT_FORGOTTEN_S = 3.0
"""From this age on a report counts nothing; in between its weight falls evenly.

Not measured; chosen so that hardly a request of that time is still running.
"""
EJECT_AFTER_FAILURES = 2
"""Failures in a row that eject a runner.

Not measured; one failure may be the request's fault, and each further one costs a client time.
"""
EJECT_FIRST_S = 1.0
"""The first ejection; it doubles with each further failure in a row.

Not measured; chosen so that a runner that failed by chance loses little.
"""
EJECT_LONGEST_S = 8.0
"""No ejection lasts longer. Not measured; chosen so that a runner that is back is soon tried."""
FULL_PAUSE_S = 0.15
"""A runner that refused for being full gets nothing for this long, if others may.

Not measured; chosen shorter than most answers, after which it has a free slot.
"""


@dataclass(slots=True)
class RunnerLoad:
    """One runner as this gateway sees it; times are seconds of the process's clock."""

    in_flight: int = 0
    """Requests of this gateway that are under way there."""
    reported: int = 0
    """Requests that the runner has last reported, running and waiting ones."""
    reported_at_s: float = float("-inf")
    in_flight_at_report: int = 0
    failures: int = 0
    """Failures in a row."""
    ejected_until_s: float = float("-inf")
    full_until_s: float = float("-inf")
    prefill_until_s: float = float("-inf")
    """When the runner has probably finished the prefill of the prompts that it was sent."""
    awaiting_since_s: float | None = None
    """Since when an answer is awaited and nothing has come; None while none is awaited."""
    idle_timeout_s: float = 0.0
    """How long nothing may come."""

    def estimate(self, now: float) -> float:
        """Return the requests that the runner probably has, waiting ones included."""
        age_s = now - self.reported_at_s
        if age_s >= REPORT_FORGOTTEN_S:
            return float(self.in_flight)
        updated = max(0, self.reported + self.in_flight - self.in_flight_at_report)
        if age_s <= REPORT_TRUSTED_S:
            return float(max(updated, self.in_flight))
        weight = (REPORT_FORGOTTEN_S - age_s) / (REPORT_FORGOTTEN_S - REPORT_TRUSTED_S)
        return max(float(self.in_flight), updated * weight)


class RunnerLoads:
    """Loads by runner id."""

    def __init__(self, mechanisms: Mechanisms = DEFAULTS) -> None:
        self._mechanisms = mechanisms
        self._loads: dict[str, RunnerLoad] = {}
        self._outcomes: dict[str, tuple[int, int]] = {}
        self.on_change: Callable[[], None] = lambda: None
        """Called whenever what is under way has changed."""

    def of(self, runner: str) -> RunnerLoad:
        """Return a runner's load, made when it is first asked for."""
        load = self._loads.get(runner)
        if load is None:
            load = self._loads[runner] = RunnerLoad()
        return load

    def forget(self, runner: str) -> None:
        """Drop a runner that is gone and has nothing under way."""
        load = self._loads.get(runner)
        if load is not None and load.in_flight == 0:
            del self._loads[runner]

    def runner_restarted(self, runner: str) -> None:
        """Forget what was known of a runner that has started again, but for what is under way.

        Requests of the incarnation before have yet to end here; their ends are counted.
        """
        former = self._loads.get(runner)
        if former is not None:
            self._loads[runner] = RunnerLoad(
                in_flight=former.in_flight,
                awaiting_since_s=former.awaiting_since_s,
                idle_timeout_s=former.idle_timeout_s,
            )
        self._outcomes.pop(runner, None)

    def in_flight(self) -> dict[str, int]:
        """Return what is under way by runner, zeros left out."""
        return {name: load.in_flight for name, load in self._loads.items() if load.in_flight}

    # --- requests ------------------------------------------------------------------------

    def sent(self, runner: str, now: float, idle_timeout_s: float) -> None:
        """A request was sent to a runner, from which something should come within a time."""
        load = self.of(runner)
        load.in_flight += 1
        load.idle_timeout_s = max(load.idle_timeout_s, idle_timeout_s)
        if load.awaiting_since_s is None:
            load.awaiting_since_s = now
        self.on_change()

    def ended(self, runner: str, now: float) -> None:
        """A request has ended, in whatever way."""
        load = self.of(runner)
        load.in_flight = max(0, load.in_flight - 1)
        if load.in_flight == 0:
            load.awaiting_since_s = None
            load.idle_timeout_s = 0.0
        self.on_change()

    def received(self, runner: str, now: float) -> None:
        """A runner has sent something."""
        load = self.of(runner)
        if load.awaiting_since_s is not None:
            load.awaiting_since_s = now

    def take_report(self, runner: str, report: ServerLoad, now: float) -> None:
        """Take a runner's own report of its load."""
        load = self.of(runner)
        load.reported = report.running + report.waiting
        load.reported_at_s = now
        load.in_flight_at_report = load.in_flight

    def add_prefill(self, runner: str, for_s: float, now: float) -> None:
        """A runner was sent one more prompt, whose prefill takes it a time."""
        if not self._mechanisms.reading_clock:
            return
        load = self.of(runner)
        load.prefill_until_s = max(load.prefill_until_s, now) + for_s

    # --- outcomes ------------------------------------------------------------------------

    def answered(self, runner: str) -> None:
        """A runner has answered without a failure."""
        self._count_outcome(runner, 1, 0)
        load = self.of(runner)
        load.failures = 0
        load.ejected_until_s = float("-inf")

    def failed(self, runner: str, now: float, at_once: bool = False) -> None:
        """A runner failed; with ``at_once`` the first failure ejects it.

        It broke an answer off, reported a failure or could not be reached.
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
            load.ejected_until_s = now + min(EJECT_LONGEST_S, EJECT_FIRST_S * 2**doublings)

    def full(self, runner: str, now: float) -> None:
        """A runner refused a request for being full."""
        self.of(runner).full_until_s = now + FULL_PAUSE_S

    def take_outcomes(self) -> dict[str, tuple[int, int]]:
        """Return the answers and the failures by runner since the last call.

        Runners from which neither came are left out.
        """
        outcomes, self._outcomes = self._outcomes, {}
        return outcomes

    def _count_outcome(self, runner: str, answered: int, failed: int) -> None:
        before = self._outcomes.get(runner, (0, 0))
        self._outcomes[runner] = (before[0] + answered, before[1] + failed)

    # --- runners to leave out ------------------------------------------------------------

    def eject(self, runner: str, now: float, for_s: float) -> None:
        """Leave a runner out for a time."""
        load = self.of(runner)
        load.ejected_until_s = max(load.ejected_until_s, now + for_s)

    def is_ejected(self, runner: str, now: float) -> bool:
        """Tell whether a runner is left out now."""
        return self.of(runner).ejected_until_s > now

    def unavailable(self, now: float) -> list[str]:
        """Return the runners that should get nothing now: ejected, full, or busy with prefill."""
        return [
            name
            for name, load in self._loads.items()
            if max(load.ejected_until_s, load.full_until_s, load.prefill_until_s) > now
        ]

    @property
    def awaits_answers(self) -> bool:
        """Tell whether an answer is awaited from some runner."""
        return any(load.awaiting_since_s is not None for load in self._loads.values())

    def timed_out(self, now: float) -> list[str]:
        """Return the runners from which answers are awaited and nothing has come for too long.

        A runner that is busy with prefill has until its end, and the time beyond it.
        """
        if not self._mechanisms.silence:
            return []
        return [
            name
            for name, load in self._loads.items()
            if load.awaiting_since_s is not None
            and now - max(load.awaiting_since_s, load.prefill_until_s) > load.idle_timeout_s
        ]
