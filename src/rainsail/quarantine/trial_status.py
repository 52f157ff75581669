"""Why a held request or prompt part has trial runs, or none. For logs."""

from enum import StrEnum


class TrialStatus(StrEnum):
    """Whether a hold is put on trial, with the reason."""

    WEAK_EVIDENCE = "weak_evidence"
    """Another cause is possible, and trials are left."""
    CRASHES_MAY_BE_UNKNOWN = "crashes_may_be_unknown"
    """The controller started shortly before the first crash: further holds come before a trial."""
    STRONG_EVIDENCE = "strong_evidence"
    """No trial: the crashes have hardly another cause."""
    TRIALS_SPENT = "trials_spent"
    """No trial: as many have failed as are allowed."""
    NO_CRASH_KNOWN = "no_crash_known"
    """No trial yet: this controller knows none of the crashes."""

    @property
    def has_trial(self) -> bool:
        """Whether the hold is put on trial."""
        return self in (TrialStatus.WEAK_EVIDENCE, TrialStatus.CRASHES_MAY_BE_UNKNOWN)
