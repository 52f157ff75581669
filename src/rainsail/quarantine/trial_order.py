"""Decides which of the requests that wait at a node for trials goes first. Pure.

A crash during a trial counts against all entries of the quarantine's list that the request holds,
so it tells most if there is no other suspect. A request with one entry goes before one that holds
another entry as well, and of two with the same entries the one whose runs have met fewer ends of
connections: a request that has met several may be the cause itself.
"""

from collections import OrderedDict
from dataclasses import dataclass

from rainsail.quarantine.fingerprint import Fingerprint

ASKS_AGAIN_WITHIN_S = 1.0
"""A request that has not asked again for this long does not wait any more. Items ask in each round
of the dispatcher, and a call for a permit takes a third of it at most."""
MAX_ASKED = 256
"""Combinations of entries and ends that are remembered, the latest ones."""


@dataclass(frozen=True, slots=True)
class TrialAsk:
    """What decides on the turn of a request: its entries, and how often a connection ended."""

    entries: frozenset[Fingerprint]
    ends: int

    def goes_before(self, other: "TrialAsk") -> bool:
        """Tell whether a trial of this request says more about entries that the other one needs."""
        if not self.entries <= other.entries:
            return False
        return len(self.entries) < len(other.entries) or self.ends < other.ends


class TrialOrder:
    """The requests that have asked lately at one node."""

    def __init__(self) -> None:
        self._asked_s: OrderedDict[TrialAsk, float] = OrderedDict()
        """When each was last asked, oldest first."""

    def is_next(self, ask: TrialAsk, now: float) -> bool:
        """Note that a request asks; tell whether it need not let another one go first."""
        self._asked_s[ask] = now
        self._asked_s.move_to_end(ask)
        while self._is_over_limit(now):
            self._asked_s.popitem(last=False)
        return not any(other.goes_before(ask) for other in self._asked_s)

    def _is_over_limit(self, now: float) -> bool:
        oldest_s = next(iter(self._asked_s.values()))
        return len(self._asked_s) > MAX_ASKED or now - oldest_s > ASKS_AGAIN_WITHIN_S
