"""Why an item waits for a run, for logs and metrics; decides nothing."""

from dataclasses import dataclass, field
from enum import StrEnum

from rainsail.quarantine.fingerprint import Fingerprint

WAIT_LINE_INTERVAL_S = 2.0
"""Minimum time between two log lines on the wait of one item, whose cause may alternate."""


class WaitCause(StrEnum):
    """Causes of a wait, as named in logs and metrics."""

    SLOT = "slot"
    """No free slot was found at a runner that may get it, or it was not its turn yet."""
    BACKOFF = "backoff"
    """Its last run broke, or its text is not confirmed yet."""
    TABLE = "table"
    """The routing table here may be older than the one by which its job was accepted."""
    HELD = "held"
    """The quarantine holds its request or a part of its prompt."""
    TRIAL = "trial"
    """It may run only as a trial, which was not permitted so far."""
    SENT_ALONE = "sent_alone"
    """One more run with an unknown answer would hold it: it is sent only in steady conditions."""
    POSSIBLE_FAILURES = "possible_failures"
    """Its attempts may be used up, but not certainly."""


LOGGED_CAUSES = frozenset({WaitCause.HELD, WaitCause.TRIAL, WaitCause.SENT_ALONE})
"""Causes that get a log line. The others are short, or have lines of their own."""


@dataclass(slots=True)
class TrialCounts:
    """Permits for trials of one item: asked for, and what became of them."""

    asked: int = 0
    refused: int = 0
    granted: int = 0
    unused: int = 0
    """Granted, but not used by a run."""


@dataclass(slots=True)
class ItemWait:
    """The wait of an item that has met one of ``LOGGED_CAUSES`` since its last run.

    ``since_s`` is the time of the last change of the cause, by the node's clock. ``entry`` is the
    fingerprint on the quarantine's list by which the item waits, empty if by none.
    """

    cause: WaitCause = WaitCause.SLOT
    entry: Fingerprint = b""
    since_s: float = 0.0
    trials: TrialCounts = field(default_factory=TrialCounts)
    _logged: tuple[WaitCause, Fingerprint] | None = None
    _logged_s: float = float("-inf")

    def note(self, cause: WaitCause, entry: Fingerprint, now: float) -> bool:
        """Note the current cause; tell whether the change is to be logged now."""
        if (cause, entry) != (self.cause, self.entry):
            self.cause, self.entry, self.since_s = cause, entry, now
        if cause not in LOGGED_CAUSES or self._logged == (cause, entry):
            return False
        if now - self._logged_s < WAIT_LINE_INTERVAL_S:
            return False
        self._logged, self._logged_s = (cause, entry), now
        return True
