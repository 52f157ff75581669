"""Weighs the crashes of one suspect: whether they can have a common cause of their own. Pure.

Several runners that crash at one moment, as when a rack fails, leave the same picture as several
copies of a fatal request: all that they were running was running at each of the crashes. Crashes
one after the other tell more, if each run began after the crash before and had hardly written, and
if no runner without the suspect crashed at about the same time. A fault of the suspect's also comes
at the same point of each run, as runners are deterministic enough for that.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from rainsail.quarantine.run_times import PROMPT_READ_AFTER_S, RunAge

SUCCESSIVE_CRASHES = 3
"""Crashes in succession that are strong evidence against a suspect."""
SAME_CAUSE_S = 0.5
"""Crashes that are at most this far apart may have one cause."""
SAME_POINT_S = 0.25
"""How much the time for which a run has written may vary at crashes at the same point of it."""
SAME_POINT_SHARE = 0.2
"""The same, relative to that time, as runners write at different speeds."""
TOLERANCE_S = 0.05
"""Error of the times, which controllers derive from the ages in reports."""
ONE_MOMENT_S = 2 * TOLERANCE_S
"""Crashes that are closer together have no order."""


@dataclass(frozen=True, slots=True)
class SuspectCrash:
    """One crash as seen by one suspect; ``at_s`` is the controller's clock."""

    at_s: float
    age: RunAge

    @property
    def began_s(self) -> float:
        """When the suspect's run was sent."""
        return self.at_s - self.age.ran_s


def is_strong(crashes: Iterable[SuspectCrash], others_s: Sequence[float]) -> bool:
    """Tell whether enough of the crashes came one after the other, each early in its run.

    ``others_s`` are the times of the crashes of runners that did not run the suspect.
    """
    ordered = sorted(crashes, key=lambda each: each.at_s)
    wrote_s = [crash.age.wrote_s for crash in ordered]
    if max(wrote_s, default=0.0) - min(wrote_s, default=0.0) > SAME_POINT_S:
        return False
    successive = 0
    last_s = float("-inf")
    for crash in ordered:
        is_early = crash.age.wrote_s < PROMPT_READ_AFTER_S
        is_alone = are_alone([crash.at_s], others_s)
        is_later = crash.began_s >= last_s - TOLERANCE_S and crash.at_s - last_s >= ONE_MOMENT_S
        if is_early and is_alone and is_later:
            successive += 1
            last_s = crash.at_s
    return successive >= SUCCESSIVE_CRASHES


def are_alone(crashes_s: Iterable[float], others_s: Iterable[float]) -> bool:
    """Tell whether no other crash may have the same cause as one of these; all are times."""
    others_s = list(others_s)
    return not any(
        abs(at_s - other_s) <= SAME_CAUSE_S for at_s in crashes_s for other_s in others_s
    )


def count_at_same_point(ages: Iterable[RunAge]) -> int:
    """Return how many crashes at most came at one point of the suspect's runs."""
    wrote_s = sorted(age.wrote_s for age in ages)
    most = 0
    for index, first_s in enumerate(wrote_s):
        last_s = first_s * (1.0 + SAME_POINT_SHARE) + SAME_POINT_S
        most = max(most, sum(each <= last_s for each in wrote_s[index:]))
    return most
