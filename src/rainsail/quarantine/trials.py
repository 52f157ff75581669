"""Permits for trial runs of requests that were held and released without an answer. Pure.

Only the root group's leader permits them, one run at a time for each fingerprint. A permit ends
with the decision that follows its run, when its sender says that the run never began, or after
``PERMIT_S``. If the sender has said nothing by then, it may be lost together with its report on a
crash.

A crash during a trial counts against the request, whatever its cause, as the number of trials is
limited. So a trial waits until no runner has crashed for a while.
"""

from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass

from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.state.cluster_commands import Quarantine


@dataclass(frozen=True, slots=True)
class TrialPause:
    """What has to pass before a trial, in seconds."""

    since_release_s: float
    without_crash_s: float
    """Time since the last crash of any runner."""
    at_most_s: float
    """Time since the release after which a trial is permitted although runners go on crashing."""


TRIAL_PAUSES = (TrialPause(1.0, 1.0, 5.0), TrialPause(2.0, 2.0, 10.0), TrialPause(4.0, 4.0, 60.0))
"""Pauses before the first and each further trial, the last one for all that follow.

Runners that crash for a reason of their own often do so several times in a row.
"""
PERMIT_S = 8.0
"""Longer than most requests wait for a runner and for their first event."""
DECISION_S = 1.0
"""A run of which nothing is known after ``PERMIT_S`` is counted by a decision of the group, which
takes a round trip."""
ALONE_S = 2.0
"""No other trial begins for this long, as one crash would spend both of two at one runner. Most
show within this time whether a runner survives them."""
FORMER_LEADER_S = 2.0
"""A new leader waits this long: until then a run that the former one permitted has mostly begun,
and a crash at its beginning has been reported."""
MAX_ENDED = 1024
"""Permits that are remembered as ended before they were given, the latest ones."""
UNNUMBERED = 0
"""The number of permits that a node of an earlier version asks for: it does not tell their end."""

_PermitId = tuple[str, int]
"""The node that asked for a permit, and its number there."""


@dataclass(slots=True)
class _Permit:
    identity: _PermitId
    at_s: float
    is_told: bool = False
    """Its sender has said that the run went on or ended without a crash, or has reported one."""

    @property
    def lasts_s(self) -> float:
        """For how long no other permit is given for the same request."""
        is_counted = self.identity[1] != UNNUMBERED and not self.is_told
        return PERMIT_S + (DECISION_S if is_counted else 0.0)


class TrialPermits:
    """The requests on trial, as one controller knows them, and the permits that it gave."""

    def __init__(self) -> None:
        self._released: dict[Fingerprint, tuple[float, TrialPause]] = {}
        """When each request that is remembered but not held was released, and what it waits for."""
        self._last_crash_s = float("-inf")
        self._held: frozenset[Fingerprint] = frozenset()
        self._permits: dict[Fingerprint, _Permit] = {}
        self._ended_early: OrderedDict[_PermitId, None] = OrderedDict()
        """Permits whose senders had given up waiting for them."""
        self._leading_since_s: float | None = None

    def note_leadership(self, is_leader: bool, now: float) -> None:
        """Note whether this controller leads the root group now."""
        if not is_leader:
            self._leading_since_s = None
            self._permits.clear()
        elif self._leading_since_s is None:
            self._leading_since_s = now

    def note_crash(self, at_s: float) -> None:
        """Note the time at which a runner crashed, whatever ran there."""
        self._last_crash_s = max(self._last_crash_s, at_s)

    def decided(self, quarantine: Quarantine, now: float) -> None:
        """Apply a decision of the root group, which ends the permits of what it changed."""
        self._held = frozenset(each.fingerprint for each in quarantine.requests if each.held)
        released = {each.fingerprint: each for each in quarantine.requests if not each.held}
        self._released = {
            fingerprint: self._released.get(fingerprint, (now, _pause(request.times)))
            for fingerprint, request in released.items()
        }
        for fingerprint in self._permits.keys() - released.keys():
            del self._permits[fingerprint]

    def listed(self, fingerprints: tuple[Fingerprint, ...]) -> tuple[Fingerprint, ...]:
        """Return those that are on the list; a node may not have heard that others were cleared."""
        return tuple(each for each in fingerprints if each in self._held or each in self._released)

    def permit(
        self,
        fingerprints: tuple[Fingerprint, ...],
        now: float,
        sender: str = "",
        number: int = UNNUMBERED,
    ) -> bool:
        """Permit one run of a request with these fingerprints, if each of them may run now."""
        if self._leading_since_s is None or now - self._leading_since_s < FORMER_LEADER_S:
            return False
        if (sender, number) in self._ended_early:
            return False
        if not all(self._may_run(each, now) for each in fingerprints):
            return False
        if any(now - each.at_s < ALONE_S for each in self._permits.values()):
            return False
        permit = _Permit((sender, number), now)
        self._permits.update(dict.fromkeys(fingerprints, permit))
        return True

    def ended(self, sender: str, number: int, has_run: bool) -> bool:
        """Apply a sender's word on a permit; tell whether it has been given back unused.

        A permit of which the sender no longer waits for the reply is not given any more.
        """
        identity = sender, number
        own = [name for name, each in self._permits.items() if each.identity == identity]
        if not own and not has_run:
            self._ended_early[identity] = None
            while len(self._ended_early) > MAX_ENDED:
                self._ended_early.popitem(last=False)
        for fingerprint in own:
            if has_run:
                self._permits[fingerprint].is_told = True
            else:
                del self._permits[fingerprint]
        return bool(own) and not has_run

    def crash_reported(self, fingerprints: Collection[Fingerprint]) -> None:
        """Note that a crash was reported with these: its evidence decides, and no lapse is due."""
        for fingerprint in self._permits.keys() & set(fingerprints):
            self._permits[fingerprint].is_told = True

    def lapsed(self, sender: str, number: int) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of a permit whose time is over and of which nothing is known.

        None if a decision followed the run, or if the sender has said how it ended.
        """
        return tuple(
            fingerprint
            for fingerprint, each in self._permits.items()
            if each.identity == (sender, number) and not each.is_told
        )

    def _may_run(self, fingerprint: Fingerprint, now: float) -> bool:
        if fingerprint in self._held or not self._is_calm(fingerprint, now):
            return False
        permit = self._permits.get(fingerprint)
        return permit is None or now - permit.at_s >= permit.lasts_s

    def _is_calm(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a crash during a trial that begins now is likely to be its own."""
        known = self._released.get(fingerprint)
        if known is None:
            return True
        released_s, pause = known
        waited_s = now - released_s
        if waited_s < pause.since_release_s:
            return False
        is_quiet = now - self._last_crash_s >= pause.without_crash_s
        return is_quiet or waited_s >= pause.at_most_s


def _pause(times: int) -> TrialPause:
    """Return the pause before the next trial of a request that was held ``times`` times."""
    return TRIAL_PAUSES[min(times, len(TRIAL_PAUSES)) - 1]
