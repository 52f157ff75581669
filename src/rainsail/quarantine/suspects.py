"""Finds the request or prompt part that causes crashes, from what was running at each crash.

All requests that were running at a runner when it crashed are suspects, and so are the parts of
their prompts. These rules single out the cause:

- The cause is running at several crashes; other requests at one, rarely at two. A request crashes
  its runners at the same point of each run.
- A request that is completed later at any runner did not cause the crash and is cleared. So nodes
  get a list of all suspects, and report responses to them.
- A part that is held, and a request whose trials have all failed, explain the crashes at which they
  ran to other requests, as long as they are in the list. Each hold is put on trial, so that a run
  can refute it; its crashes count against the others again then.

Many requests may hold one part, and to hold it would shut out all of them. So a part needs more
than crashes: while its service answers, it is beside three crashes of different requests and in no
answer. That the service answers shows as another suspect of the same crash that an answer has
cleared. Without these signs it takes five crashes, and 2 s in which none comes.

The crashes and answers are kept as they were reported (``crash_log``); what counts against a
suspect is computed from them and from the list of the quarantine (``evidence``).

Does no I/O; the caller passes the time.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from rainsail.quarantine.crash_log import Crash, CrashLog
from rainsail.quarantine.evidence import (
    counted_against,
    enough_at_same_point_s,
    enough_reports_s,
    of_different_requests,
)
from rainsail.quarantine.fingerprint import Fingerprint, is_of_part
from rainsail.quarantine.run_times import RunAge
from rainsail.quarantine.trial_status import TrialStatus
from rainsail.state.cluster_commands import Quarantine, QuarantinedRequest

CRASHES_TO_HOLD = 3
"""A request is held once this many runners have crashed while running it."""
CRASHES_TO_HOLD_AGAIN = 1
"""The same, for a request that was held before."""
CRASHES_TO_HOLD_PART_UNANSWERED = 5
"""The same for a prompt part, while no other suspect of its crashes was cleared by an answer."""
MAX_TRIALS = 3
"""Trials of a suspect that is held. Each may cost a runner, so the number holds over all leaders,
and permits and crashes of which no report arrives are counted as well. A hold that follows the last
one stays."""
MAX_TRIALS_UNINFORMED = 1
"""The same, if crashes before the first hold may be unknown: two runs may have been late."""
INFORMED_AFTER_S = 3.0
"""A controller may have missed crashes of a suspect that has one this shortly after its start."""
REPORTS_SETTLE_S = 0.2
"""Within this time the reports of all nodes on one crash arrive. No request is held earlier, as the
first report may not name all suspects."""
UNANSWERED_WAIT_S = 2.0
"""Time to wait for a response that clears a prompt part, while no suspect beside it was cleared.

Longer than most responses take, and short enough to hold a part within 3 s of its fifth crash.
"""
AMBIGUITY_WAIT_S = 1.0
"""Time to wait for responses that clear harmless requests, while several requests are due."""
FIRST_TRIAL_AFTER_S = 0.5
"""A run that was sent within this time of the release is no trial: none is permitted as early
(``trials``), but nodes may not have heard of the hold."""
SENT_TOLERANCE_S = 0.05
"""Error of the times at which runs were sent, which are derived from the ages in reports."""

ROUNDING_S = 1e-6


@dataclass(frozen=True, slots=True)
class _Due:
    """A suspect with enough crashes to be held."""

    since_s: float
    wait_s: float
    """How long to wait for an answer to it in any case."""
    rank: tuple[int, bool]


@dataclass(slots=True)
class _Entry:
    """An entry of the list, with what this controller has noted of the decisions on it."""

    request: QuarantinedRequest
    held_s: float = float("-inf")
    """When it was last held."""
    trials_since_s: float | None = None
    """Crashes of runs that were sent later are failed trials; None before the first release."""
    is_informed: bool = True
    """No crash before its first hold can be missing here."""
    is_answered: bool = False
    """It was answered after the last hold."""
    are_trials_spent: bool = False
    """All trials had failed when it was held last: the hold lasts, and explains its crashes."""


class SuspectTracker:
    """Decides which suspects are due to be held, and what may be tried."""

    def __init__(self, started_s: float = float("-inf")) -> None:
        """``started_s`` is the time from which all reports on crashes arrive here."""
        self._started_s = started_s
        self._log = CrashLog()
        self._frequent: set[Fingerprint] = set()
        """Suspects that have been at as many crashes as it takes to hold a request."""
        self._entries: dict[Fingerprint, _Entry] = {}
        self._convicted: frozenset[Fingerprint] = frozenset()
        self._due: dict[Fingerprint, _Due] | None = None
        """None from each new report, answer or decision until it is needed."""

    @property
    def count(self) -> int:
        """The number of suspects that no answer has cleared."""
        return self._log.count_open()

    # --- reports -------------------------------------------------------------------------

    def crashed(
        self,
        runner: str,
        fingerprints: Iterable[Fingerprint],
        at_s: float,
        now: float,
        ages: Mapping[Fingerprint, RunAge] | None = None,
    ) -> tuple[Fingerprint, ...]:
        """Record a report on a crash; return its new suspects, to be watched by the nodes.

        ``ages`` has those of the suspects' runs, as far as the reporting node knows them.
        """
        self._due = None
        new = self._log.report(runner, fingerprints, at_s, now, ages or {})
        self._frequent.update(
            each for each in new if len(self._log.all_of(each)) >= CRASHES_TO_HOLD
        )
        return new

    def answered(self, fingerprint: Fingerprint, now: float) -> None:
        """Clear a request that a runner has completed: it caused none of the crashes so far."""
        self._due = None
        self._log.answered(fingerprint, now)
        if fingerprint in self._entries:
            self._entries[fingerprint].is_answered = True

    def crashes_of(self, fingerprint: Fingerprint) -> tuple[tuple[str, float], ...]:
        """Return the runners that crashed beside a suspect, with the times, oldest first."""
        return tuple((crash.runner, crash.at_s) for crash in self._log.open_of(fingerprint))

    def requests_at_crashes_of(self, fingerprint: Fingerprint) -> int:
        """Return how many different whole requests ran at the crashes beside a suspect.

        A request that an answer has cleared is not among them.
        """
        beside: set[Fingerprint] = set()
        for crash in self._log.open_of(fingerprint):
            beside.update(crash.runs.keys() - crash.answered)
        return sum(not is_of_part(each) for each in beside)

    # --- decisions -----------------------------------------------------------------------

    def due(self, now: float) -> tuple[Fingerprint, ...]:
        """Return the requests to hold now."""
        if self._due is None:
            found = {each: self._due_of(each) for each in self._candidates()}
            self._due = {each: due for each, due in found.items() if due is not None}
        waited = {
            each: due
            for each, due in self._due.items()
            if now - due.since_s >= due.wait_s - ROUNDING_S
        }
        wait_s = AMBIGUITY_WAIT_S if len(waited) > 1 else REPORTS_SETTLE_S
        if not any(now - due.since_s >= wait_s - ROUNDING_S for due in waited.values()):
            return ()
        most = max(due.rank for due in waited.values())
        return tuple(each for each, due in waited.items() if due.rank == most)

    def _candidates(self) -> list[Fingerprint]:
        """Return the suspects that may be due, and forget those that have too few crashes left."""
        self._frequent = {
            each for each in self._frequent if len(self._log.all_of(each)) >= CRASHES_TO_HOLD
        }
        released = {each for each, entry in self._entries.items() if not entry.request.held}
        return sorted((self._frequent - self._entries.keys()) | released)

    def _counted(self, fingerprint: Fingerprint) -> list[Crash]:
        """Return the crashes that count for the next hold of a suspect."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return counted_against(fingerprint, self._log, self._entries, self._convicted)
        # Runs that were under way at the first hold are no trials, and one hold follows each.
        failed = self._failed_trials(fingerprint, entry)
        return [crash for crash in failed if crash.at_s > entry.held_s]

    def _due_of(self, fingerprint: Fingerprint) -> _Due | None:
        """Return since when a suspect has enough crashes to be held, None if it has not."""
        crashes = self._counted(fingerprint)
        wait_s = 0.0
        if fingerprint in self._entries:
            since_s = enough_reports_s(fingerprint, crashes, CRASHES_TO_HOLD_AGAIN)
        elif not is_of_part(fingerprint):
            since_s = enough_at_same_point_s(fingerprint, crashes, CRASHES_TO_HOLD)
        else:
            answered = [each for each in crashes if each.is_answered_beside(fingerprint)]
            different = of_different_requests(answered)
            since_s = enough_reports_s(fingerprint, different, CRASHES_TO_HOLD)
            if since_s is None:
                count = CRASHES_TO_HOLD_PART_UNANSWERED
                since_s = enough_reports_s(fingerprint, crashes, count)
                if since_s is not None:
                    # Nodes repeat answers with the crashes, to a controller that has started.
                    crashed_s = sorted(each.at_s for each in crashes)[count - 1]
                    wait_s = max(0.0, UNANSWERED_WAIT_S - (since_s - crashed_s))
        if since_s is None:
            return None
        return _Due(since_s, wait_s, (len(crashes), is_of_part(fingerprint)))

    def decided(self, quarantine: Quarantine, now: float) -> None:
        """Apply a decision of the root group."""
        self._due = None
        former = self._entries
        self._entries = {
            each.fingerprint: self._updated(each, former.get(each.fingerprint), now)
            for each in quarantine.requests
        }
        self._convicted = frozenset(
            each for each, entry in self._entries.items() if entry.are_trials_spent
        )

    def _updated(self, request: QuarantinedRequest, entry: _Entry | None, now: float) -> _Entry:
        """Return the entry of a request after a decision that may have changed it."""
        fingerprint = request.fingerprint
        if entry is None:
            entry = _Entry(QuarantinedRequest(fingerprint, 0, False))
        known, entry.request = entry.request, request
        if request.times != known.times:
            entry.are_trials_spent = request.times > MAX_TRIALS or not self._has_trials_left(
                fingerprint, entry
            )
            entry.held_s = now
            entry.is_answered = False
            if request.times == 1:
                entry.is_informed = self._is_informed(fingerprint)
        # A hold whose trials are spent has lasted its time once it is released.
        begins = entry.trials_since_s is None or (known.held and entry.are_trials_spent)
        if begins and not request.held:
            entry.trials_since_s = now + (FIRST_TRIAL_AFTER_S if known.held else 0.0)
        return entry

    def _is_informed(self, fingerprint: Fingerprint) -> bool:
        informed_s = self._started_s + INFORMED_AFTER_S
        return all(each.at_s >= informed_s for each in self._log.open_of(fingerprint))

    # --- trials --------------------------------------------------------------------------

    def may_be_tried(self, fingerprint: Fingerprint) -> bool:
        """Tell whether as few of a suspect's trials have failed that it may have another one.

        Two of them may run at the permits of two leaders, and then only one is followed by a hold.
        """
        entry = self._entries.get(fingerprint)
        return entry is None or self._has_trials_left(fingerprint, entry)

    def _has_trials_left(self, fingerprint: Fingerprint, entry: _Entry) -> bool:
        return len(self._failed_trials(fingerprint, entry)) < MAX_TRIALS

    def _failed_trials(self, fingerprint: Fingerprint, entry: _Entry) -> list[Crash]:
        if entry.trials_since_s is None:
            return []
        since_s = entry.trials_since_s - SENT_TOLERANCE_S
        crashes = self._log.open_of(fingerprint)
        return [each for each in crashes if each.sent_s(fingerprint) >= since_s]

    def is_on_trial(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a run may refute the last hold of a suspect.

        Only a controller that has seen the crashes knows that.
        """
        entry = self._entries.get(fingerprint)
        return (
            entry is not None
            and not entry.are_trials_spent
            and bool(self._log.open_of(fingerprint))
        )

    def is_refuted(self, fingerprint: Fingerprint) -> bool:
        """Tell whether an entry of the list has been answered since it was last held.

        Or before it was held, but after the last of the crashes behind that.
        """
        entry = self._entries.get(fingerprint)
        if entry is None:
            return False
        crashes = self._log.all_of(fingerprint)
        return entry.is_answered or (bool(crashes) and not self._log.open_of(fingerprint))

    def lacks_evidence(self, fingerprint: Fingerprint) -> bool:
        """Tell whether nothing is known here of the crashes for which a suspect is held.

        So it is after a restart of this controller.
        """
        entry = self._entries.get(fingerprint)
        return (
            entry is not None and not entry.are_trials_spent and not self._log.open_of(fingerprint)
        )

    def times_to_begin_with(self, fingerprint: Fingerprint) -> int:
        """Return how often a suspect has to be held before its first trial.

        Holds beyond the first stand for trials that it can't have any more, as late runs may be
        unknown: their number is in the group's state, which all later leaders know.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or entry.is_informed:
            return 1
        return 1 + MAX_TRIALS - MAX_TRIALS_UNINFORMED

    def trials(self, fingerprint: Fingerprint) -> int:
        """Return how many of a suspect's holds are put on trial."""
        return MAX_TRIALS

    def trial_status(self, fingerprint: Fingerprint, times: int) -> TrialStatus:
        """Return why the hold that was decided last is on trial or not."""
        if self.is_on_trial(fingerprint):
            if times < self.times_to_begin_with(fingerprint):
                return TrialStatus.CRASHES_MAY_BE_UNKNOWN
            return TrialStatus.TRIALS_LEFT
        if self.lacks_evidence(fingerprint):
            return TrialStatus.NO_CRASH_KNOWN
        return TrialStatus.TRIALS_SPENT
