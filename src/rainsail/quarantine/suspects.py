"""Finds the request or prompt part that causes crashes, from what was running at each crash.

All requests that were running at a runner when it crashed are suspects, and so are the parts of
their prompts. Three rules single out the cause:

- The cause is running at several crashes; other requests at one, rarely at two. A request crashes
  its runners at the same point of each run.
- A request that is completed later at any runner did not cause the crash and is cleared. So nodes
  get a list of all suspects, and report responses to them.
- A crash at which a held request was running is explained, and counts against no other request. So
  the request with the most crashes is held first. A part explains more than a request that holds
  it, so of both with as many crashes only the part is held.

Many requests may hold one part, and to hold it would shut out all of them. So a part needs more
than crashes: while its service answers, it is beside three crashes and in no answer. That the
service answers shows as another suspect of the same crash that an answer has cleared. Without such
an answer it takes five crashes, and 2 s in which none comes.

None of this tells a fatal part from a sound one beside runners that crash at one moment for another
reason. ``evidence`` weighs that; a suspect that is held on weak evidence is put on trial.

Does no I/O; the caller passes the time.
"""

from collections import OrderedDict, deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from rainsail.quarantine.evidence import (
    TOLERANCE_S,
    SuspectCrash,
    count_at_same_point,
    is_strong,
)
from rainsail.quarantine.fingerprint import Fingerprint, is_of_part
from rainsail.quarantine.run_times import UNKNOWN_AGE, RunAge
from rainsail.quarantine.trial_status import TrialStatus
from rainsail.state.cluster_commands import Quarantine

CRASHES_TO_HOLD = 3
"""A request is held once this many runners have crashed while running it."""
CRASHES_TO_HOLD_AGAIN = 1
"""The same, for a request that was held before."""
CRASHES_TO_HOLD_PART_UNANSWERED = 5
"""The same for a prompt part, while no other suspect of its crashes was cleared by an answer."""
MAX_TRIALS = 2
"""Trials of a request that is held on weak evidence. Each may cost a runner, so the number holds
over all leaders; a hold that follows the last one stays. A crash whose report is lost with its
sender, or with all controllers, is not counted: one of three late runs is left for that."""
MAX_TRIALS_OF_PART = 3
"""The same for a prompt part, which counts as known only after five crashes."""
MAX_TRIALS_UNINFORMED = 1
"""The same, if crashes before the first hold may be unknown: two runs may have been late."""
INFORMED_AFTER_S = 3.0
"""A controller may have missed crashes of a suspect that has one this shortly after its start."""
CRASH_MERGE_WINDOW_S = 1.0
"""Reports on one runner that are at most this far apart are about the same crash: nodes notice it
within milliseconds, and a runner takes longer to restart."""
CRASH_TTL_S = 3600.0
MAX_CRASHES = 300
"""Maximum number of crashes kept: 4.1 MB with 50 requests at each, by ``tracemalloc``."""
REPORTS_SETTLE_S = 0.2
"""Within this time the reports of all nodes on one crash arrive. No request is held earlier, as the
first report may not name all suspects."""
MAX_ANSWERED = 1024
"""Maximum number of completed requests whose times are kept, as a crash report may arrive later,
and of suspects whose crashes have been explained."""
UNANSWERED_WAIT_S = 2.0
"""Time to wait for a response that clears a prompt part, while no suspect beside it was cleared.

Longer than most responses take, and short enough to hold a part within 3 s of its fifth crash.
"""
AMBIGUITY_WAIT_S = 1.0
"""Time to wait for responses that clear harmless requests, while several requests are due."""

ROUNDING_S = 1e-6


@dataclass(slots=True, eq=False)
class _RunnerCrash:
    runner: str
    at_s: float
    suspects: dict[Fingerprint, RunAge] = field(default_factory=dict)
    explained_by: set[Fingerprint] = field(default_factory=set)
    """Held suspects that ran there."""
    explained: dict[Fingerprint, RunAge] = field(default_factory=dict)
    """All its suspects, while one of them is held."""
    certain: set[Fingerprint] = field(default_factory=set)
    """Suspects whose runs ended by it, and not by a reset shortly before."""
    trials: set[Fingerprint] = field(default_factory=set)
    """Suspects of which it ended a run that had been permitted as a trial."""
    is_answered_beside: bool = False
    """An answer has cleared one of the suspects: the service is answering requests."""


class SuspectTracker:
    """Tracks the crashes that are not explained yet, and the requests that were running at them."""

    def __init__(self, started_s: float = float("-inf")) -> None:
        """``started_s`` is the time from which all reports on crashes arrive here."""
        self._started_s = started_s
        self._uninformed: set[Fingerprint] = set()
        """Suspects of which crashes before their first hold may be missing here."""
        self._crashes: deque[_RunnerCrash] = deque()
        self._idle_crashes: deque[tuple[str, float]] = deque(maxlen=MAX_CRASHES)
        """Runners that were found crashed by a node that ran nothing there, with the times."""
        self._by_suspect: dict[Fingerprint, list[_RunnerCrash]] = {}
        self._due_since_s: dict[Fingerprint, float] = {}
        self._answered_s: OrderedDict[Fingerprint, float] = OrderedDict()
        self._held: frozenset[Fingerprint] = frozenset()
        self._ever_held: frozenset[Fingerprint] = frozenset()
        self._firmly_held: set[Fingerprint] = set()
        """Suspects whose first hold was not put on trial."""
        self._on_trial: set[Fingerprint] = set()
        self._released_s: dict[Fingerprint, float] = {}
        """When each suspect that was held before was first released, as far as known here."""
        self._held_s: dict[Fingerprint, float] = {}
        """When each of these was last held."""
        self._trials_failed: dict[Fingerprint, int] = {}
        """Crashes under runs that were sent after that time."""
        self._explained: OrderedDict[Fingerprint, None] = OrderedDict()
        """Suspects of crashes that a held request has explained, the latest ones."""

    @property
    def count(self) -> int:
        """The number of suspects."""
        return len(self._by_suspect)

    def crashed(
        self,
        runner: str,
        fingerprints: Iterable[Fingerprint],
        at_s: float,
        now: float,
        ages: Mapping[Fingerprint, RunAge] | None = None,
        reset_before: Collection[Fingerprint] = (),
    ) -> tuple[Fingerprint, ...]:
        """Record a report on a crash; return its new suspects, to be watched by the nodes.

        ``ages`` has those of the suspects' runs, as far as the reporting node knows them;
        ``reset_before`` has the suspects whose runs may have ended before the crash.
        """
        ages = ages or {}
        fingerprints = tuple(fingerprints)
        self._forget_old(now)
        crash = self._crash_of(runner, at_s)
        crash.certain.update(each for each in fingerprints if each not in reset_before)
        for each in fingerprints:
            known = crash.suspects.get(each)
            if known is not None:
                crash.suspects[each] = known.youngest(ages.get(each, UNKNOWN_AGE))
        new = [
            each
            for each in fingerprints
            if each not in crash.suspects and self._answered_s.get(each, crash.at_s) <= crash.at_s
        ]
        self._count_failed_trials(crash, new, ages)
        held = self._held.intersection(new)
        if crash.explained_by or held:
            crash.explained.update({each: ages.get(each, UNKNOWN_AGE) for each in new})
            self._mark_explained(crash, held)
            return ()
        crash.suspects.update({each: ages.get(each, UNKNOWN_AGE) for each in new})
        for fingerprint in new:
            self._by_suspect.setdefault(fingerprint, []).append(crash)
            self._update_due(fingerprint, now)
        return tuple(new)

    def crashed_idle(self, runner: str, at_s: float) -> None:
        """Record that a node has found a runner crashed at which it ran nothing."""
        self._idle_crashes.append((runner, at_s))

    def _count_failed_trials(
        self,
        crash: _RunnerCrash,
        fingerprints: Iterable[Fingerprint],
        ages: Mapping[Fingerprint, RunAge],
    ) -> None:
        """Count a crash against the trials of the suspects whose runs had been permitted.

        Two of them may run at the permits of two leaders, and then only one is followed by a hold.
        """
        for each in fingerprints:
            if each in crash.trials or each not in self._released_s:
                continue
            if self._is_sent_after_release(each, crash, ages.get(each, UNKNOWN_AGE)):
                crash.trials.add(each)
                self._trials_failed[each] = self._trials_failed.get(each, 0) + 1

    def _is_sent_after_release(
        self, fingerprint: Fingerprint, crash: _RunnerCrash, age: RunAge
    ) -> bool:
        return crash.at_s - age.ran_s >= self._released_s[fingerprint] - TOLERANCE_S

    def may_be_tried(self, fingerprint: Fingerprint) -> bool:
        """Tell whether as few of a suspect's trials have failed that it may have another one."""
        return self._trials_failed.get(fingerprint, 0) < _max_trials(fingerprint)

    def answered(self, fingerprint: Fingerprint, now: float) -> None:
        """Clear a request that a runner has completed: it caused none of the crashes so far."""
        self._answered_s[fingerprint] = now
        self._answered_s.move_to_end(fingerprint)
        if len(self._answered_s) > MAX_ANSWERED:
            self._answered_s.popitem(last=False)
        self._due_since_s.pop(fingerprint, None)
        for crash in self._by_suspect.pop(fingerprint, ()):
            crash.suspects.pop(fingerprint, None)
            if not crash.is_answered_beside:
                crash.is_answered_beside = True
                for beside in crash.suspects:
                    self._update_due(beside, now)
        self._count_again(fingerprint, now)

    def _count_again(self, fingerprint: Fingerprint, now: float) -> None:
        """Count the crashes that a refuted hold explained against the other suspects again."""
        for crash in self._crashes:
            if fingerprint not in crash.explained_by:
                continue
            crash.explained_by.remove(fingerprint)
            crash.explained_by.update(self._held.intersection(crash.explained) - {fingerprint})
            if crash.explained_by:
                continue
            crash.is_answered_beside = True
            suspects, crash.explained = crash.explained, {}
            for each, age in suspects.items():
                if self._answered_s.get(each, crash.at_s) <= crash.at_s:
                    crash.suspects[each] = age
                    self._by_suspect.setdefault(each, []).append(crash)
                    self._update_due(each, now)

    def due(self, now: float) -> tuple[Fingerprint, ...]:
        """Return the requests to hold now."""
        due_since_s = {
            each: since_s
            for each, since_s in self._due_since_s.items()
            if self._is_answered_beside(each) or now - since_s >= UNANSWERED_WAIT_S - ROUNDING_S
        }
        wait_s = AMBIGUITY_WAIT_S if len(due_since_s) > 1 else REPORTS_SETTLE_S
        if not any(now - since_s >= wait_s - ROUNDING_S for since_s in due_since_s.values()):
            return ()
        ranks = {each: (len(self._by_suspect[each]), is_of_part(each)) for each in due_since_s}
        most = max(ranks.values())
        return tuple(each for each, rank in ranks.items() if rank == most)

    def decided(self, quarantine: Quarantine, now: float) -> None:
        """Apply a decision of the root group; newly held requests explain their crashes."""
        held = frozenset(each.fingerprint for each in quarantine.requests if each.held)
        self._ever_held = frozenset(each.fingerprint for each in quarantine.requests)
        newly_held, newly_released = held - self._held, self._held - held
        self._held = held
        for each in self._ever_held - held:
            self._released_s.setdefault(each, now)
        for each in newly_released - self._on_trial:
            # The hold has lasted its time.
            self._trials_failed.pop(each, None)
        for each in self._released_s.keys() - self._ever_held:
            del self._released_s[each]
            self._trials_failed.pop(each, None)
        self._held_s = {each: now for each in newly_held} | {
            each: at_s
            for each, at_s in self._held_s.items()
            if each in self._ever_held and each not in newly_held
        }
        self._firmly_held &= self._ever_held
        self._uninformed &= self._ever_held
        self._on_trial &= self._ever_held
        for request in quarantine.requests:
            if request.fingerprint in newly_held:
                self._note_evidence(request.fingerprint, request.times)
        for fingerprint in sorted(newly_held & self._on_trial):
            self._set_aside(fingerprint)
        for fingerprint in sorted(newly_held - self._on_trial):
            for crash in list(self._by_suspect.get(fingerprint, ())):
                self._mark_explained(crash, {fingerprint})

    def _set_aside(self, fingerprint: Fingerprint) -> None:
        """Count the crashes of a suspect on trial against the other prompt parts still.

        A trial may show that it has caused none of them, while a part that has goes on crashing
        runners. Whole requests are explained by it for now: few of them cause crashes, and each
        can be held by itself later.
        """
        for crash in list(self._by_suspect.get(fingerprint, ())):
            kept = {each: age for each, age in crash.suspects.items() if is_of_part(each)}
            kept.pop(fingerprint, None)
            for each in crash.suspects.keys() - kept.keys():
                self._explained[each] = None
                self._explained.move_to_end(each)
                self._drop(each, crash)
            crash.suspects = kept
        while len(self._explained) > MAX_ANSWERED:
            self._explained.popitem(last=False)

    def is_on_trial(self, fingerprint: Fingerprint) -> bool:
        """Tell whether the evidence for the last hold was weak, so that a run may refute it.

        Only a controller that has seen the crashes knows that.
        """
        return fingerprint in self._on_trial

    def lacks_evidence(self, fingerprint: Fingerprint, times: int) -> bool:
        """Tell whether nothing is known here of the crashes for which a suspect is held.

        So it is after a restart of this controller. ``times`` is how often it has been held.
        """
        is_known = (
            fingerprint in self._firmly_held
            or fingerprint in self._on_trial
            or not self.may_be_tried(fingerprint)
        )
        return times <= _max_trials(fingerprint) and not is_known

    def times_to_begin_with(self, fingerprint: Fingerprint) -> int:
        """Return how often a suspect has to be held before its first trial.

        Holds beyond the first stand for trials that it can't have any more, as late runs may be
        unknown: their number is in the group's state, which all later leaders know.
        """
        if fingerprint not in self._uninformed:
            return 1
        return 1 + _max_trials(fingerprint) - MAX_TRIALS_UNINFORMED

    def trials(self, fingerprint: Fingerprint) -> int:
        """Return how many of a suspect's holds were put on trial, as far as known here."""
        return 0 if fingerprint in self._firmly_held else _max_trials(fingerprint)

    def crashes_of(self, fingerprint: Fingerprint) -> tuple[tuple[str, float], ...]:
        """Return the runners that crashed beside a suspect, with the times, oldest first."""
        crashes = self._by_suspect.get(fingerprint, ())
        return tuple((crash.runner, crash.at_s) for crash in crashes)

    def requests_at_crashes_of(self, fingerprint: Fingerprint) -> int:
        """Return how many different whole requests ran at the crashes beside a suspect.

        A request that an answer has cleared is not among them.
        """
        crashes = self._by_suspect.get(fingerprint, ())
        return len({each for crash in crashes for each in crash.suspects if not is_of_part(each)})

    def trial_status(self, fingerprint: Fingerprint, times: int) -> TrialStatus:
        """Return why the hold that was decided last is on trial or not."""
        if self.is_on_trial(fingerprint):
            if times < self.times_to_begin_with(fingerprint):
                return TrialStatus.CRASHES_MAY_BE_UNKNOWN
            return TrialStatus.WEAK_EVIDENCE
        if self.lacks_evidence(fingerprint, times):
            return TrialStatus.NO_CRASH_KNOWN
        if fingerprint in self._firmly_held:
            return TrialStatus.STRONG_EVIDENCE
        return TrialStatus.TRIALS_SPENT

    def _note_evidence(self, fingerprint: Fingerprint, times: int) -> None:
        """Note, for a suspect that is held now, whether the hold is put on trial.

        Without evidence the hold is one from before this controller's start, or other holds that
        were decided just before have explained all of its crashes.
        """
        crashes = self._by_suspect.get(fingerprint, [])
        if times == 1:
            if any(each.at_s < self._started_s + INFORMED_AFTER_S for each in crashes):
                self._uninformed.add(fingerprint)
            is_weak = (
                not self._is_strong(fingerprint) if crashes else fingerprint in self._explained
            )
        elif times <= self.times_to_begin_with(fingerprint):
            is_weak = fingerprint in self._on_trial
        else:
            is_weak = bool(crashes) and fingerprint not in self._firmly_held
        if is_weak and times <= _max_trials(fingerprint) and self.may_be_tried(fingerprint):
            self._on_trial.add(fingerprint)
        else:
            self._on_trial.discard(fingerprint)
            if crashes and times == 1:
                self._firmly_held.add(fingerprint)

    def _others_s(self, crashes: list[_RunnerCrash]) -> list[float]:
        """Return the times of the crashes without a known cause that are none of these."""
        own = [(crash.runner, crash.at_s) for crash in crashes]
        with_suspects = [
            each.at_s for each in self._crashes if not each.explained_by and each not in crashes
        ]
        idle = [
            at_s
            for runner, at_s in self._idle_crashes
            if not any(
                runner == other and abs(at_s - other_s) <= CRASH_MERGE_WINDOW_S
                for other, other_s in own
            )
        ]
        return with_suspects + idle

    def _is_strong(self, fingerprint: Fingerprint) -> bool:
        """Weigh the evidence: the crashes that no other likely suspect can have caused."""
        ended = [crash for crash in self._by_suspect[fingerprint] if fingerprint in crash.certain]
        evidence = [
            SuspectCrash(crash.at_s, crash.suspects[fingerprint])
            for crash in ended
            if not self._has_rival(fingerprint, crash)
        ]
        return is_strong(evidence, self._others_s(ended))

    def _has_rival(self, fingerprint: Fingerprint, crash: _RunnerCrash) -> bool:
        """Tell whether a crash may be due to another suspect of several crashes, one a part."""
        return any(
            each != fingerprint
            and (is_of_part(each) or is_of_part(fingerprint))
            and len(self._by_suspect[each]) >= CRASHES_TO_HOLD
            for each in crash.suspects
        )

    def _update_due(self, fingerprint: Fingerprint, now: float) -> None:
        """Note since when a suspect is due to be held, or that it is not."""
        if self._is_due(fingerprint):
            self._due_since_s.setdefault(fingerprint, now)
        else:
            self._due_since_s.pop(fingerprint, None)

    def _is_due(self, fingerprint: Fingerprint) -> bool:
        beside = self._by_suspect.get(fingerprint, ())
        crashes = len(beside)
        if fingerprint in self._released_s:
            # Runs that were under way at the first hold are no trials, and one hold follows each.
            crashes = sum(
                self._is_sent_after_release(fingerprint, crash, crash.suspects[fingerprint])
                and crash.at_s > self._held_s.get(fingerprint, float("-inf"))
                for crash in beside
            )
        if not is_of_part(fingerprint) and fingerprint not in self._ever_held:
            crashes = count_at_same_point(crash.suspects[fingerprint] for crash in beside)
        if self._is_answered_beside(fingerprint):
            return crashes >= self._crashes_to_hold(fingerprint)
        return crashes >= CRASHES_TO_HOLD_PART_UNANSWERED

    def _crashes_to_hold(self, fingerprint: Fingerprint) -> int:
        return CRASHES_TO_HOLD_AGAIN if fingerprint in self._ever_held else CRASHES_TO_HOLD

    def _is_answered_beside(self, fingerprint: Fingerprint) -> bool:
        """Tell whether the service answers while a part's crashes go on; a request needs no sign.

        Nor does a part that was held before: its runs are trials, one at a time. The sign has to
        stand at as many crashes as it takes to hold the part.
        """
        if not is_of_part(fingerprint) or fingerprint in self._ever_held:
            return True
        crashes = self._by_suspect.get(fingerprint, ())
        answered = sum(crash.is_answered_beside for crash in crashes)
        return answered >= self._crashes_to_hold(fingerprint)

    def _crash_of(self, runner: str, at_s: float) -> _RunnerCrash:
        for crash in reversed(self._crashes):
            if crash.runner == runner and abs(crash.at_s - at_s) <= CRASH_MERGE_WINDOW_S:
                return crash
        crash = _RunnerCrash(runner, at_s)
        self._crashes.append(crash)
        return crash

    def _mark_explained(self, crash: _RunnerCrash, held: Iterable[Fingerprint]) -> None:
        crash.explained_by.update(held)
        crash.explained.update(crash.suspects)
        for fingerprint in crash.suspects:
            self._explained[fingerprint] = None
            self._explained.move_to_end(fingerprint)
        while len(self._explained) > MAX_ANSWERED:
            self._explained.popitem(last=False)
        self._clear(crash)

    def _clear(self, crash: _RunnerCrash) -> None:
        """Remove a crash from the counts of all its suspects."""
        for fingerprint in crash.suspects:
            self._drop(fingerprint, crash)
        crash.suspects.clear()

    def _drop(self, fingerprint: Fingerprint, crash: _RunnerCrash) -> None:
        """Remove a crash from the count of a suspect."""
        crashes = self._by_suspect[fingerprint]
        crashes.remove(crash)
        if not crashes:
            del self._by_suspect[fingerprint]
        if not self._is_due(fingerprint):
            self._due_since_s.pop(fingerprint, None)

    def _forget_old(self, now: float) -> None:
        while self._crashes and (
            len(self._crashes) >= MAX_CRASHES or now - self._crashes[0].at_s > CRASH_TTL_S
        ):
            self._clear(self._crashes.popleft())


def _max_trials(fingerprint: Fingerprint) -> int:
    return MAX_TRIALS_OF_PART if is_of_part(fingerprint) else MAX_TRIALS
