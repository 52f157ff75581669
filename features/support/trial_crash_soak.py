"""A relaying fleet under random faults whose runners crash in series, and during trials of items.

The leading controller is killed or frozen shortly after some of the crashes.
"""

from features.support.common_cause_soak import CommonCauseSoak
from features.support.trial_crashes import TrialCrashes

MAX_TRIAL_CRASHES = 2
"""Crashes of trials' runners in one run: a third one may use up the last trial of one suspect."""
SERIES = (3, 6)
SERIES_PERIOD_S = (0.5, 1.5)
MAX_LEADER_DELAY_S = 2.0


class TrialCrashSoak(CommonCauseSoak):
    """One random run; a third of its faults are crashes of several runners at once or in series."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._faults = (*self._faults, *[self._crash_in_series] * 5)
        self._trial_crashes = TrialCrashes(
            self.fleet, MAX_TRIAL_CRASHES, self._draw.uniform(0.05, 0.9)
        )
        self._trial_crashes.on_crash = self._trial_crashed

    def _trial_crashed(self) -> None:
        self.counts["crashes of trials' runners"] += 1
        self._disturb_leader_later()

    def _crash_in_series(self) -> None:
        """Crash two runners at a time, one pair after the other."""
        self.counts["series of crashes"] += 1
        self._crash_pair(self._draw.randint(*SERIES))
        if self._draw.random() < 0.5:
            self._disturb_leader_later()

    def _crash_pair(self, left: int) -> None:
        up = [each for each in self._runners.runners if each.is_up and not each.has_left]
        if len(up) > 3:
            for runner in self._draw.sample(up, 2):
                self._runners.crash(runner, runner.incarnation, self._draw.uniform(0.8, 2.0))
        if left > 1:
            period_s = self._draw.uniform(*SERIES_PERIOD_S)
            self.fleet.clock.callLater(period_s, self._crash_pair, left - 1)

    def _disturb_leader_later(self) -> None:
        delay_s = self._draw.uniform(0.0, MAX_LEADER_DELAY_S)
        self.fleet.clock.callLater(delay_s, self._disturb_leader)

    def _disturb_leader(self) -> None:
        """Kill or freeze the leading controller, unless another controller has a fault."""
        leading = self.fleet.leading("controller")
        if not leading or any(name.startswith("controller") for name in self._down):
            return
        if self._draw.random() < 0.5:
            self._lose(leading[0])
            return
        for_s = self._draw.uniform(0.5, 4.0)
        self.counts["leaders frozen"] += 1
        self._disturb(leading[0], for_s)
        self.fleet.freeze(leading[0])
        self.fleet.clock.callLater(for_s, self.fleet.thaw, leading[0])
