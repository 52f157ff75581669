"""Which request ended the runners that ended, by what ran at each. Pure: time is handed in.

All requests that were running at a runner when it ended are suspects. Three things tell the one
from the others:

- The same request was there at several ends. Others are there once, seldom twice.
- A request that was answered whole anywhere, later, has not ended its runner: nothing is held
  against it. So nodes are told of every suspect, and report the answers to it.
- An end at which a held request was running is explained, and counts against no other. So the
  request with the most ends is held first.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.state.cluster_commands import Quarantine

ENDS_TO_HOLD = 3
"""A request is held once so many runners have ended under it."""
ENDS_TO_HOLD_AGAIN = 1
"""The same, for a request that was held before."""
END_MERGED_S = 1.0
"""Reports on one runner that are no further apart than this are on one end: its nodes notice it
within milliseconds, and a runner takes longer to start again."""
FORGOTTEN_AFTER_S = 3600.0
MOST_ENDS = 300
"""So many ends are remembered: 4.1 MB with 50 requests at each, by ``tracemalloc``."""
REPORTS_SETTLE_S = 0.2
"""All nodes' reports on one end are there after this time. Whoever is named first is not taken for
the only suspect before."""
MOST_ANSWERED = 1024
"""Of so many requests it is remembered when they were answered; a report on an end comes later."""
AMBIGUITY_WAIT_S = 1.0
"""While several requests could be the one, answers to the harmless ones are waited for."""

ROUNDING_S = 1e-6


@dataclass(slots=True, eq=False)
class _RunnerEnd:
    runner: str
    at_s: float
    suspects: set[Fingerprint] = field(default_factory=set)
    explained: bool = False


class SuspectTracker:
    """The ends of runners that are not explained, and the requests that were there."""

    def __init__(self) -> None:
        self._ends: deque[_RunnerEnd] = deque()
        self._by_suspect: dict[Fingerprint, list[_RunnerEnd]] = {}
        self._due_since_s: dict[Fingerprint, float] = {}
        self._answered_s: OrderedDict[Fingerprint, float] = OrderedDict()
        self._held: frozenset[Fingerprint] = frozenset()
        self._offenders: frozenset[Fingerprint] = frozenset()

    @property
    def count(self) -> int:
        """How many requests are suspects."""
        return len(self._by_suspect)

    def ended(
        self, runner: str, fingerprints: Iterable[Fingerprint], at_s: float, now: float
    ) -> tuple[Fingerprint, ...]:
        """Take a node's report on an end; return its new suspects: an answer to one is news."""
        self._forget_old(now)
        end = self._end_of(runner, at_s)
        new = [
            each
            for each in fingerprints
            if each not in end.suspects and self._answered_s.get(each, end.at_s) <= end.at_s
        ]
        if end.explained or not self._held.isdisjoint(new):
            self._explain(end)
            return ()
        end.suspects.update(new)
        for fingerprint in new:
            ends = self._by_suspect.setdefault(fingerprint, [])
            ends.append(end)
            if len(ends) >= self._ends_to_hold(fingerprint):
                self._due_since_s.setdefault(fingerprint, now)
        return tuple(new)

    def answered(self, fingerprint: Fingerprint, now: float) -> None:
        """A runner has answered a request whole: it ended none of the runners until now."""
        self._answered_s[fingerprint] = now
        self._answered_s.move_to_end(fingerprint)
        if len(self._answered_s) > MOST_ANSWERED:
            self._answered_s.popitem(last=False)
        for end in self._by_suspect.pop(fingerprint, ()):
            end.suspects.discard(fingerprint)
        self._due_since_s.pop(fingerprint, None)

    def due(self, now: float) -> tuple[Fingerprint, ...]:
        """Return the requests that are to be held now."""
        wait_s = AMBIGUITY_WAIT_S if len(self._due_since_s) > 1 else REPORTS_SETTLE_S
        if not any(now - since_s >= wait_s - ROUNDING_S for since_s in self._due_since_s.values()):
            return ()
        ends = {each: len(self._by_suspect[each]) for each in self._due_since_s}
        most = max(ends.values())
        return tuple(each for each, count in ends.items() if count == most)

    def decided(self, quarantine: Quarantine) -> None:
        """Take what the root group has decided: what the held requests explain counts no more."""
        held = frozenset(each.fingerprint for each in quarantine.requests if each.held)
        self._offenders = frozenset(each.fingerprint for each in quarantine.requests)
        newly_held, self._held = held - self._held, held
        for fingerprint in sorted(newly_held):
            for end in list(self._by_suspect.get(fingerprint, ())):
                self._explain(end)

    def _ends_to_hold(self, fingerprint: Fingerprint) -> int:
        return ENDS_TO_HOLD_AGAIN if fingerprint in self._offenders else ENDS_TO_HOLD

    def _end_of(self, runner: str, at_s: float) -> _RunnerEnd:
        for end in reversed(self._ends):
            if end.runner == runner and abs(end.at_s - at_s) <= END_MERGED_S:
                return end
        end = _RunnerEnd(runner, at_s)
        self._ends.append(end)
        return end

    def _explain(self, end: _RunnerEnd) -> None:
        end.explained = True
        self._clear(end)

    def _clear(self, end: _RunnerEnd) -> None:
        """Hold an end against nobody."""
        for fingerprint in end.suspects:
            ends = self._by_suspect[fingerprint]
            ends.remove(end)
            if not ends:
                del self._by_suspect[fingerprint]
            if len(ends) < self._ends_to_hold(fingerprint):
                self._due_since_s.pop(fingerprint, None)
        end.suspects.clear()

    def _forget_old(self, now: float) -> None:
        while self._ends and (
            len(self._ends) >= MOST_ENDS or now - self._ends[0].at_s > FORGOTTEN_AFTER_S
        ):
            self._clear(self._ends.popleft())
