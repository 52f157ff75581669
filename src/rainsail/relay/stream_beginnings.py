"""Learns the first event number of each source's streams, to detect lost first events. Pure.

No header states the number of a stream's first event, so a stream that has lost it looks like a
complete one that begins later. The first events of earlier streams from the same source tell the
two apart: a loss can only raise the first number or remove it, and most streams are undamaged. No
number is assumed: if most streams of a source begin with the same number, all of them are expected
to; if they differ, nothing is expected. A source is one service on one route, since a service may
number its streams on one path and not on another. Other routes of the service count only when the
end of a stream can be held no longer and its own source tells nothing.

Each gateway has its own instance for clients' requests, and the ledger's leader has one for items.
The data is neither durable nor shared, so the first streams after a start can't be compared with
earlier ones. A request that may run again is then compared with a second run of its own.
"""

from collections import Counter, deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from enum import StrEnum

MAX_REMEMBERED_STREAMS = 64
"""Number of the latest beginnings kept per source.

Enough that a third of them is never damaged by chance when one stream in six is.
"""
MIN_MATCHING = 2
"""Streams that must have begun alike before that number is expected of others.

A single one may itself lack its beginning, or come from a source without a common number.
"""
MIN_MATCHING_UNUSUAL = 3
"""The same for a number that is not in ``USUAL_FIRST_NUMBERS``.

Streams that lost their first event agree on such a number just as complete ones do.
"""
MATCHING_SHARE = 2 / 3
"""The share of the kept streams that must have begun alike.

A source whose runners number differently thus has no expected number.
"""
STREAMS_CONFIRMING_CHANGE = 4
"""After this many consecutive streams with the same first number, that number is expected.

Losses rarely cause this (one in 10,000 where one stream in ten is damaged), and a fleet that
changes its numbering breaks only a few streams.
"""
MAX_LOST_EVENTS = 8
"""A stream that begins more than this many events later counts as numbered in another way.

Numbers that continue from answer to answer of a session must not count as losses.
"""
MIN_STREAMS_WITHOUT_MATCH = 6
"""After this many streams without a common number, the source counts as having none.

Among fewer, two damaged streams would leave the complete ones below ``MATCHING_SHARE``.
"""
USUAL_FIRST_NUMBERS = (0, 1)
"""The first numbers of nearly all services."""


class Unnumbered(StrEnum):
    """A first event that has no comparable number."""

    SPOILT = "spoilt"
    """Corrupt: the name of one of its fields is not valid UTF-8, as event streams must be."""


FirstEvent = int | Unnumbered | None
"""The number of a stream's first event; None for no number or no event at all."""


class BeginningVerdict(StrEnum):
    """Verdicts on a stream's beginning."""

    WHOLE = "whole"
    """Nothing is missing, or the source's streams have no common first number."""
    LOST = "lost"
    UNKNOWN = "unknown"
    """Too few streams of the source were observed."""


@dataclass(frozen=True, slots=True)
class StreamSource:
    """A service on a route, by their names in the routing table; its streams number alike."""

    service: str
    route: str


@dataclass(frozen=True, slots=True)
class StreamBeginning:
    """The source and the first event of a stream."""

    source: StreamSource
    first: FirstEvent


class StreamBeginnings:
    """Keeps the latest beginnings of each source's streams and checks others against them."""

    def __init__(self) -> None:
        self._recent: dict[StreamSource, deque[FirstEvent]] = {}
        self._listeners: list[Callable[[], None]] = []

    def keep_only(self, services: Collection[str], routes: Collection[str]) -> None:
        """Forget sources that were removed: one added again later may number differently."""
        for source in list(self._recent):
            if source.service not in services or source.route not in routes:
                del self._recent[source]

    def observe(self, beginning: StreamBeginning) -> None:
        """Record a stream's beginning, whether it was judged damaged or not."""
        recent = self._recent.setdefault(beginning.source, deque(maxlen=MAX_REMEMBERED_STREAMS))
        recent.append(beginning.first)
        for listener in tuple(self._listeners):
            listener()

    def listen(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call ``listener`` after each observed beginning; the returned function unsubscribes."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def judge(self, beginning: StreamBeginning) -> BeginningVerdict:
        """Return whether events are missing at a stream's beginning, by the streams so far."""
        recent = self._recent.get(beginning.source, ())
        common = _common_first(recent)
        if beginning.first == Unnumbered.SPOILT and common != [Unnumbered.SPOILT]:
            return BeginningVerdict.LOST
        if beginning.first == 0:
            return BeginningVerdict.WHOLE
        if not common:
            is_different = len(recent) >= MIN_STREAMS_WITHOUT_MATCH
            return BeginningVerdict.WHOLE if is_different else BeginningVerdict.UNKNOWN
        is_lost = _lacks_events(beginning.first, common[0])
        return BeginningVerdict.LOST if is_lost else BeginningVerdict.WHOLE

    def is_lost(self, beginning: StreamBeginning) -> bool:
        """Tell whether events are missing at a stream's beginning, by the strict criterion."""
        return self.judge(beginning) == BeginningVerdict.LOST

    def is_probably_lost(
        self, beginning: StreamBeginning, own_runs: Collection[FirstEvent] = ()
    ) -> bool:
        """Tell whether events are more likely missing than not; decides when a hold is over.

        Weaker evidence than that of ``is_lost``. Among the streams of its source, those that began
        with one slightly lower number are weighed against those that began alike. If neither are
        more and nothing is known of the source, other routes of its service decide. The stream
        itself, which was observed, is not counted, nor are the first events of earlier runs of its
        request, ``own_runs``.
        """
        recent = self._recent.get(beginning.source, ())
        others = [first for first in recent if first not in own_runs]
        earlier = Counter(first for first in others if _lacks_events(beginning.first, first))
        most_alike = max(earlier.values(), default=0)
        others_like_this = max(0, sum(first == beginning.first for first in recent) - 1)
        is_unknown = self.judge(beginning) == BeginningVerdict.UNKNOWN
        if is_unknown and most_alike == others_like_this:
            return self._is_lost_on_other_routes(beginning)
        least = 1 if is_unknown else MIN_MATCHING
        return most_alike >= least and most_alike > others_like_this

    def _is_lost_on_other_routes(self, beginning: StreamBeginning) -> bool:
        """Tell whether other routes of the service would reject a beginning, and none accept it.

        A service may number its routes differently, so this neither rejects a stream at its first
        event nor ends the wait for streams of its own route.
        """
        own = beginning.source
        verdicts = {
            self.judge(replace(beginning, source=other))
            for other in self._recent
            if other.service == own.service and other.route != own.route
        }
        return BeginningVerdict.LOST in verdicts and BeginningVerdict.WHOLE not in verdicts

    def is_unusual(self, beginning: StreamBeginning) -> bool:
        """Tell whether a beginning needs confirmation: it is undecided, and few services use it."""
        if beginning.first in USUAL_FIRST_NUMBERS:
            return False
        return self.judge(beginning) == BeginningVerdict.UNKNOWN

    def judge_by_second_run(
        self, beginning: StreamBeginning, second: FirstEvent
    ) -> BeginningVerdict:
        """Judge a stream by the first event of another run of the same request.

        ``second`` has been observed already. A loss can only raise the first number or remove it,
        so the lower number is right. UNKNOWN means that the second run lacks more than the first.
        """
        if second == beginning.first:
            return BeginningVerdict.WHOLE
        verdict = self.judge(beginning)
        if verdict != BeginningVerdict.UNKNOWN or not isinstance(second, int):
            return verdict
        begins_earlier = not isinstance(beginning.first, int) or second < beginning.first
        return BeginningVerdict.LOST if begins_earlier else BeginningVerdict.UNKNOWN


def _common_first(recent: Collection[FirstEvent]) -> list[FirstEvent]:
    """Return the common first event of a source's streams; an empty list if there is none yet."""
    if len(recent) < MIN_MATCHING:
        return []
    latest = list(recent)[-STREAMS_CONFIRMING_CHANGE:]
    if len(latest) == STREAMS_CONFIRMING_CHANGE and len(set(latest)) == 1:
        return [latest[0]]
    first, alike = Counter(recent).most_common(1)[0]
    is_unusual = isinstance(first, int) and first not in USUAL_FIRST_NUMBERS
    least = MIN_MATCHING_UNUSUAL if is_unusual else MIN_MATCHING
    is_enough = alike >= least and alike >= MATCHING_SHARE * len(recent)
    return [first] if is_enough else []


def _lacks_events(first: FirstEvent, common: FirstEvent) -> bool:
    """Tell whether a stream lacks events, given the common first event of its source."""
    if not isinstance(common, int):
        return False
    if not isinstance(first, int):
        return True
    return common < first <= common + MAX_LOST_EVENTS
