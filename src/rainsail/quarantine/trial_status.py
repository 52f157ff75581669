"""Why a held request or prompt part has trial runs, or none. For logs."""

from enum import StrEnum


class TrialStatus(StrEnum):
    """Whether a hold is put on trial, with the reason."""

    TRIALS_LEFT = "trials_left"
    """Fewer trials have failed than are allowed."""
    CRASHES_MAY_BE_UNKNOWN = "crashes_may_be_unknown"
    """The controller started shortly before the first crash: further holds come before a trial."""
    TRIALS_SPENT = "trials_spent"
    """No trial: as many have failed as are allowed."""
    NO_CRASH_KNOWN = "no_crash_known"
    """No trial yet: this controller knows none of the crashes."""

    @property
    def has_trial(self) -> bool:
        """Whether the hold is put on trial."""
        return self in (TrialStatus.TRIALS_LEFT, TrialStatus.CRASHES_MAY_BE_UNKNOWN)
