"""What a gateway knows of each runner's load and soundness.

A runner's own word comes late and with each answer only; in between it is carried on by what this
gateway itself has sent and seen end since. Failures in a row take a runner out for a while, and so
does silence while it owes an answer. Long prompts that a runner still has to read hold up all that
is sent to it after them; gateways tell each other of those.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rainsail.mechanisms import DEFAULTS, Mechanisms
from rainsail.routing.facts import ServerLoad

REPORT_TRUSTED_S = 0.6
"""A report keeps its full weight for this long."""
REPORT_FORGOTTEN_S = 3.0
EJECT_AFTER_FAILURES = 2
EJECT_FIRST_S = 1.0
EJECT_LONGEST_S = 8.0
FULL_PAUSE_S = 0.15
"""A runner that refused for being full gets nothing for this long, if others may."""


@dataclass(slots=True)
class RunnerLoad:
    """One runner as this gateway sees it; times are seconds of the process's clock."""

    in_flight: int = 0
    reported: int = 0
    reported_at_s: float = float("-inf")
    in_flight_at_report: int = 0
    failures: int = 0
    out_until_s: float = float("-inf")
    full_until_s: float = float("-inf")
    reads_until_s: float = float("-inf")
    """When the runner will probably have read the prompts that it was sent."""
    owes_since_s: float | None = None
    """Since when it has said nothing, though it owes answers; None while it owes none."""
    owes_within_s: float = 0.0
    """How long it may say nothing."""

    def estimate(self, now: float) -> float:
        """Return the requests that the runner probably has, waiting ones with them."""
        age_s = now - self.reported_at_s
        if age_s >= REPORT_FORGOTTEN_S:
            return float(self.in_flight)
        carried = max(0, self.reported + self.in_flight - self.in_flight_at_report)
        if age_s <= REPORT_TRUSTED_S:
            return float(max(carried, self.in_flight))
        fading = (REPORT_FORGOTTEN_S - age_s) / (REPORT_FORGOTTEN_S - REPORT_TRUSTED_S)
        return max(float(self.in_flight), carried * fading)


class LoadBook:
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

    def begin_life(self, runner: str) -> None:
        """Forget what was known of a runner that has started again, but for what is under way.

        Requests of the life before have yet to end here; their ends are counted.
        """
        former = self._loads.get(runner)
        if former is not None:
            self._loads[runner] = RunnerLoad(
                in_flight=former.in_flight,
                owes_since_s=former.owes_since_s,
                owes_within_s=former.owes_within_s,
            )
        self._outcomes.pop(runner, None)

    def in_flight(self) -> dict[str, int]:
        """Return what is under way by runner, zeros left out."""
        return {name: load.in_flight for name, load in self._loads.items() if load.in_flight}

    def sent(self, runner: str, now: float, speaks_within_s: float) -> None:
        """A request has gone out to a runner that should say something within a time."""
        load = self.of(runner)
        load.in_flight += 1
        load.owes_within_s = max(load.owes_within_s, speaks_within_s)
        if load.owes_since_s is None:
            load.owes_since_s = now
        self.on_change()

    def ended(self, runner: str, now: float) -> None:
        """A request has ended, in whatever way."""
        load = self.of(runner)
        load.in_flight = max(0, load.in_flight - 1)
        if load.in_flight == 0:
            load.owes_since_s = None
            load.owes_within_s = 0.0
        self.on_change()

    def heard(self, runner: str, now: float) -> None:
        """A runner has sent something."""
        load = self.of(runner)
        if load.owes_since_s is not None:
            load.owes_since_s = now

    def unfit(self, now: float) -> list[str]:
        """Return the runners that should get nothing now: left out, full, or reading."""
        return [
            name
            for name, load in self._loads.items()
            if max(load.out_until_s, load.full_until_s, load.reads_until_s) > now
        ]

    @property
    def owed(self) -> bool:
        """Tell whether some runner owes an answer."""
        return any(load.owes_since_s is not None for load in self._loads.values())

    def silent(self, now: float) -> list[str]:
        """Return the runners that owe answers and have said nothing for too long."""
        if not self._mechanisms.silence:
            return []
        return [
            name
            for name, load in self._loads.items()
            if load.owes_since_s is not None
            and now - max(load.owes_since_s, load.reads_until_s) > load.owes_within_s
        ]

    def leave_out(self, runner: str, now: float, for_s: float) -> None:
        """Take a runner out for a time."""
        load = self.of(runner)
        load.out_until_s = max(load.out_until_s, now + for_s)

    def reads(self, runner: str, for_s: float, now: float) -> None:
        """A runner has a prompt more to read, which takes it a time."""
        if not self._mechanisms.reading_clock:
            return
        load = self.of(runner)
        load.reads_until_s = max(load.reads_until_s, now) + for_s

    def reported(self, runner: str, report: ServerLoad, now: float) -> None:
        """Take a runner's own word."""
        load = self.of(runner)
        load.reported = report.running + report.waiting
        load.reported_at_s = now
        load.in_flight_at_report = load.in_flight

    def take_outcomes(self) -> dict[str, tuple[int, int]]:
        """Return how many answers were sound and how many failed, by runner, since the last call.

        Runners of which nothing came are left out.
        """
        outcomes, self._outcomes = self._outcomes, {}
        return outcomes

    def _count_outcome(self, runner: str, answered: int, failed: int) -> None:
        before = self._outcomes.get(runner, (0, 0))
        self._outcomes[runner] = (before[0] + answered, before[1] + failed)

    def answered(self, runner: str) -> None:
        """A runner has answered soundly."""
        self._count_outcome(runner, 1, 0)
        load = self.of(runner)
        load.failures = 0
        load.out_until_s = float("-inf")

    def failed(self, runner: str, now: float, at_once: bool = False) -> None:
        """A runner broke an answer off or could not be reached."""
        self._count_outcome(runner, 0, 1)
        if not self._mechanisms.ejection:
            return
        load = self.of(runner)
        load.failures += 1
        over = load.failures - EJECT_AFTER_FAILURES
        if at_once:
            over = max(over, 0)
        if over >= 0:
            load.out_until_s = now + min(EJECT_LONGEST_S, EJECT_FIRST_S * 2**over)

    def full(self, runner: str, now: float) -> None:
        """A runner refused a request for being full."""
        self.of(runner).full_until_s = now + FULL_PAUSE_S
