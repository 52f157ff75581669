"""The latest crashes of runners, each with what ran there and what has been answered since. Pure.

A record is only added to, by further reports and by answers: what the root group decides changes
none of it. So a decision that turns out wrong leaves nothing to be restored.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.quarantine.run_times import UNKNOWN_AGE, RunAge

CRASH_MERGE_WINDOW_S = 1.0
"""Reports on one runner that are at most this far apart are about the same crash: nodes notice it
within milliseconds, and a runner takes longer to restart."""
CRASH_TTL_S = 3600.0
MAX_CRASHES = 300
"""Maximum number of crashes kept."""
MAX_ANSWERED = 1024
"""Maximum number of answers whose times are kept, as a crash report may arrive later."""


@dataclass(frozen=True, slots=True)
class SuspectRun:
    """A run that a crash has ended, of a request or a prompt part."""

    age: RunAge
    reported_s: float
    """When the first report on it arrived."""


@dataclass(slots=True, eq=False)
class Crash:
    """A crash of a runner; times are the controller's clock."""

    runner: str
    at_s: float
    runs: dict[Fingerprint, SuspectRun] = field(default_factory=dict)
    answered: set[Fingerprint] = field(default_factory=set)
    """Those of the suspects that were answered later, at any runner."""

    def is_answered_beside(self, fingerprint: Fingerprint) -> bool:
        """Tell whether an answer has cleared another suspect: the service is answering."""
        return len(self.answered) > (fingerprint in self.answered)

    def sent_s(self, fingerprint: Fingerprint) -> float:
        """Return when the run of a suspect was sent."""
        return self.at_s - self.runs[fingerprint].age.ran_s


class CrashLog:
    """Crashes, oldest report first, indexed by suspect."""

    def __init__(self) -> None:
        self._crashes: deque[Crash] = deque()
        self._by_suspect: dict[Fingerprint, list[Crash]] = {}
        self._answered_s: OrderedDict[Fingerprint, float] = OrderedDict()

    def count_open(self) -> int:
        """Return the number of requests and parts that no answer has cleared of some crash."""
        return sum(
            any(fingerprint not in crash.answered for crash in crashes)
            for fingerprint, crashes in self._by_suspect.items()
        )

    def report(
        self,
        runner: str,
        fingerprints: Iterable[Fingerprint],
        at_s: float,
        now: float,
        ages: Mapping[Fingerprint, RunAge],
    ) -> tuple[Fingerprint, ...]:
        """Record what one node knows of a crash; return its new suspects without an answer."""
        self._forget_old(now)
        crash = self._crash_of(runner, at_s)
        new = []
        for each in fingerprints:
            age = ages.get(each, UNKNOWN_AGE)
            known = crash.runs.get(each)
            if known is not None:
                crash.runs[each] = SuspectRun(known.age.youngest(age), known.reported_s)
                continue
            crash.runs[each] = SuspectRun(age, now)
            self._by_suspect.setdefault(each, []).append(crash)
            if self._answered_s.get(each, float("-inf")) > crash.at_s:
                crash.answered.add(each)
            else:
                new.append(each)
        return tuple(new)

    def answered(self, fingerprint: Fingerprint, now: float) -> None:
        """Record that a runner has completed a request, which has caused none of the crashes."""
        self._answered_s[fingerprint] = now
        self._answered_s.move_to_end(fingerprint)
        if len(self._answered_s) > MAX_ANSWERED:
            self._answered_s.popitem(last=False)
        for crash in self._by_suspect.get(fingerprint, ()):
            crash.answered.add(fingerprint)

    def all_of(self, fingerprint: Fingerprint) -> Sequence[Crash]:
        """Return the crashes at which a suspect ran, whether it was answered since or not."""
        return self._by_suspect.get(fingerprint, ())

    def open_of(self, fingerprint: Fingerprint) -> list[Crash]:
        """Return the crashes at which a suspect ran that has not been answered since."""
        return [each for each in self.all_of(fingerprint) if fingerprint not in each.answered]

    def _crash_of(self, runner: str, at_s: float) -> Crash:
        for crash in reversed(self._crashes):
            if crash.runner == runner and abs(crash.at_s - at_s) <= CRASH_MERGE_WINDOW_S:
                return crash
        crash = Crash(runner, at_s)
        self._crashes.append(crash)
        return crash

    def _forget_old(self, now: float) -> None:
        while self._crashes and (
            len(self._crashes) >= MAX_CRASHES or now - self._crashes[0].at_s > CRASH_TTL_S
        ):
            crash = self._crashes.popleft()
            for fingerprint in crash.runs:
                crashes = self._by_suspect[fingerprint]
                crashes.remove(crash)
                if not crashes:
                    del self._by_suspect[fingerprint]
