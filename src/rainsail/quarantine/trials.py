"""Permits for trial runs of requests that were held and released without an answer. Pure.

Only the root group's leader permits them, one run at a time for each fingerprint. A permit ends
with the decision that follows its run, or after ``PERMIT_S`` if the run tells nothing.
"""

from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.state.cluster_commands import Quarantine

TRIAL_DELAYS_S = (1.0, 4.0, 8.0)
"""Time from a release to the first trial, by how often the request was held.

Runners that crash for a reason of their own often do so several times in a row.
"""
PERMIT_S = 8.0
"""Longer than most requests wait for a runner and for their first event."""
FORMER_LEADER_S = 2.0
"""A new leader waits this long: until then a run that the former one permitted has mostly begun,
and a crash at its beginning has been reported."""


class TrialPermits:
    """The requests on trial, as one controller knows them, and the permits that it gave."""

    def __init__(self) -> None:
        self._from_s: dict[Fingerprint, float] = {}
        """The earliest time of the next trial of each request that is remembered but not held."""
        self._held: frozenset[Fingerprint] = frozenset()
        self._permitted_s: dict[Fingerprint, float] = {}
        self._leading_since_s: float | None = None

    def note_leadership(self, is_leader: bool, now: float) -> None:
        """Note whether this controller leads the root group now."""
        if not is_leader:
            self._leading_since_s = None
            self._permitted_s.clear()
        elif self._leading_since_s is None:
            self._leading_since_s = now

    def decided(self, quarantine: Quarantine, now: float) -> None:
        """Apply a decision of the root group, which ends the permits of what it changed."""
        self._held = frozenset(each.fingerprint for each in quarantine.requests if each.held)
        released = {each.fingerprint: each for each in quarantine.requests if not each.held}
        self._from_s = {
            fingerprint: self._from_s.get(fingerprint, now + _trial_delay_s(request.times))
            for fingerprint, request in released.items()
        }
        for fingerprint in self._permitted_s.keys() - released.keys():
            del self._permitted_s[fingerprint]

    def permit(self, fingerprints: tuple[Fingerprint, ...], now: float) -> bool:
        """Permit one run of a request with these fingerprints, if each of them may run now."""
        if self._leading_since_s is None or now - self._leading_since_s < FORMER_LEADER_S:
            return False
        if not all(self._may_run(each, now) for each in fingerprints):
            return False
        self._permitted_s.update(dict.fromkeys(fingerprints, now))
        return True

    def _may_run(self, fingerprint: Fingerprint, now: float) -> bool:
        if fingerprint in self._held or now < self._from_s.get(fingerprint, now):
            return False
        return now - self._permitted_s.get(fingerprint, float("-inf")) >= PERMIT_S


def _trial_delay_s(times: int) -> float:
    return TRIAL_DELAYS_S[min(times, len(TRIAL_DELAYS_S)) - 1]
