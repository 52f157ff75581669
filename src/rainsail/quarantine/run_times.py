"""When a run was sent and what it has written, which tells what its runner's crash says of it.

A runner reads the prompt's parts before it begins to write. So a part cannot have caused the crash
of a runner that had gone on writing for a while, and a runner that goes on writing has survived the
parts. The request as a whole may still be the cause: an event in the middle may crash a runner.
"""

from dataclasses import dataclass

PROMPT_READ_AFTER_S = 1.0
"""A run that has written for this long did not crash its runner by a part of its prompt."""
SURVIVAL_CHECK_AFTER_S = 0.5
"""A run that has written for this long is checked for the survival of its runner, which takes as
long again."""


@dataclass(slots=True)
class RunTimes:
    """Times of one run, in clock seconds of the node that sent it."""

    sent_s: float
    first_output_s: float | None = None
    last_output_s: float = 0.0
    survival_checked_s: float = float("-inf")

    def output(self, now: float) -> None:
        """Note that more of the answer has arrived."""
        if self.first_output_s is None:
            self.first_output_s = now
        self.last_output_s = now

    @property
    def wrote_s(self) -> float:
        """The time between the first and the last output that has arrived."""
        return 0.0 if self.first_output_s is None else self.last_output_s - self.first_output_s

    def is_survival_check_due(self, now: float) -> bool:
        """Tell whether to check now that the runner has survived the prompt; counts as a check."""
        is_due = (
            self.wrote_s >= SURVIVAL_CHECK_AFTER_S
            and now - self.survival_checked_s >= SURVIVAL_CHECK_AFTER_S
        )
        if is_due:
            self.survival_checked_s = now
        return is_due


@dataclass(frozen=True, slots=True)
class RunAge:
    """How long a run had lasted, and how long it had written, at the crash of its runner."""

    ran_s: float
    wrote_s: float

    def youngest(self, other: "RunAge") -> "RunAge":
        """Return the ages of the youngest of two runs of a request: it is the more suspicious."""
        return RunAge(min(self.ran_s, other.ran_s), min(self.wrote_s, other.wrote_s))


UNKNOWN_AGE = RunAge(0.0, 0.0)
"""Of a run at whose sender no ages are known: it counts as one that had just begun."""
