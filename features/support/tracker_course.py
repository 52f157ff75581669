"""Plays crashes, answers and decisions of the root group to a ``SuspectTracker``."""

from rainsail.quarantine.fingerprint import Fingerprint, part_fingerprints
from rainsail.quarantine.run_times import RunAge
from rainsail.quarantine.suspects import SuspectTracker
from rainsail.routing.facts import PromptPart
from rainsail.state.quarantine import QuarantineState

LOOK_PERIOD_S = 0.1
RUN_S = 0.05
"""How long a run lasts that ends its runner."""


def suspect(name: str) -> Fingerprint:
    """Return the fingerprint of a part, if the name begins with "part", else of a request."""
    if not name.startswith("part"):
        return name.encode().ljust(16, b".")
    (part,) = part_fingerprints("", "model", "", (PromptPart(name, 1), PromptPart("own", 1)))
    return part


class TrackerCourse:
    """One controller that leads and decides at once; times are seconds since its start."""

    def __init__(self, started_s: float = -60.0) -> None:
        self.tracker = SuspectTracker(started_s)
        self.state = QuarantineState()
        self.now = 0.0
        self._crashes = 0

    def crash(self, names: list[str], at_s: float) -> None:
        """Let a runner crash at which these ran."""
        self.run_until(at_s)
        self._crashes += 1
        suspects = tuple(map(suspect, names))
        ages = dict.fromkeys(suspects, RunAge(RUN_S, 0.0))
        self.tracker.crashed(f"runner-{self._crashes}", suspects, at_s, at_s, ages)

    def answer(self, name: str, at_s: float) -> None:
        """Let a run of it be answered; an entry of the list is forgotten by that."""
        self.run_until(at_s)
        answered = suspect(name)
        self.tracker.answered(answered, at_s)
        for each in self.state.snapshot().requests:
            if each.fingerprint == answered:
                self.state.release(answered, each.times, forget=True)
        self._apply()

    def run_until(self, at_s: float) -> None:
        """Look at the tracker periodically until this time."""
        while self.now + LOOK_PERIOD_S <= at_s:
            self.now += LOOK_PERIOD_S
            self._look()
        self.now = max(self.now, at_s)

    def _look(self) -> None:
        for fingerprint in self.tracker.due(self.now):
            self.state.hold(fingerprint)
            self._apply()
        for each in self.state.snapshot().requests:
            if each.held and self.tracker.is_on_trial(each.fingerprint):
                self.state.release(each.fingerprint, each.times, forget=False)
                self._apply()

    def _apply(self) -> None:
        self.tracker.decided(self.state.snapshot(), self.now)

    def listed(self) -> set[Fingerprint]:
        """Return what is held or on trial."""
        return {each.fingerprint for each in self.state.snapshot().requests}

    def held(self) -> set[Fingerprint]:
        """Return what is held without a trial."""
        return {each.fingerprint for each in self.state.snapshot().requests if each.held}
