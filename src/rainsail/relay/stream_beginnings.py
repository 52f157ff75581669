"""Learns with which number the streams of each source begin, to notice a lost beginning. Pure.

Nothing that a runner says tells with which number its stream begins, so that a stream without its
first event looks like a whole one that begins later. What earlier streams of the same source began
with tells them apart: a loss can only raise the first number or take it away, and most streams are
not damaged. No number is taken for granted: a source whose streams begin alike is held to that
number, whatever it is, and one whose streams begin differently is held to nothing. A source is one
service on one route, since a service may number its streams on one path and not on another.

Owned by the gateway for clients' requests and by the ledger's leader for items; nothing of it is
durable or shared, so that the first streams after a start have nothing to be compared with. What
may run again is then compared with a second run of its own.
"""

from collections import Counter, deque
from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import StrEnum

MAX_REMEMBERED_STREAMS = 64
"""The last beginnings of a source that count.

Not measured; chosen so that a third of them is never damaged by chance while one stream in six is.
"""
MIN_MATCHING = 2
"""Streams that must have begun alike before another one is held to it.

Not measured; one alone may itself lack its beginning, or be of a source without a common number.
"""
MIN_MATCHING_UNUSUAL = 3
"""The same for a number that is none of ``USUAL_FIRST_NUMBERS``.

Streams that lost their first event agree on such a number as well as whole ones do.
"""
MATCHING_SHARE = 2 / 3
"""The share of the remembered streams that must have begun alike.

Not measured; chosen so that a source whose runners number differently is held to nothing.
"""
STREAMS_CONFIRMING_CHANGE = 4
"""So many streams in a row that began alike say that the source begins with their number now.

Not measured; chosen so that losses hardly ever do that (one in 10,000 where one stream in ten is
damaged), and that a fleet which changes its numbers breaks few streams.
"""
MAX_LOST_EVENTS = 8
"""A stream that begins later than by this many events is taken for numbered in another way.

Not measured; numbers that run on from answer to answer of a session are not to be held for losses.
"""
MIN_STREAMS_WITHOUT_MATCH = 6
"""So many streams without a common number say that their source has none.

Two damaged streams among fewer would leave the whole ones below ``MATCHING_SHARE``.
"""
USUAL_FIRST_NUMBERS = (0, 1)
"""The numbers with which streams begin nearly everywhere."""


class Unnumbered(StrEnum):
    """A first event that has no number to be compared."""

    SPOILT = "spoilt"
    """The name of one of its fields is not text, as every part of an event stream must be."""


FirstEvent = int | Unnumbered | None
"""What a stream begins with: a number, or None for no number or no event at all."""


class BeginningVerdict(StrEnum):
    """What is known of a stream's beginning."""

    WHOLE = "whole"
    """Nothing is missing, or the source's streams have nothing in common to be held to."""
    LOST = "lost"
    UNKNOWN = "unknown"
    """Too few streams of the source were seen."""


@dataclass(frozen=True, slots=True)
class StreamSource:
    """Where streams come from that are taken to be numbered alike, by its names in the table."""

    service: str
    route: str


@dataclass(frozen=True, slots=True)
class StreamBeginning:
    """How a stream begins."""

    source: StreamSource
    first: FirstEvent


class StreamBeginnings:
    """The latest beginnings of each source's streams."""

    def __init__(self) -> None:
        self._recent: dict[StreamSource, deque[FirstEvent]] = {}
        self._listeners: list[Callable[[], None]] = []

    def keep_only(self, services: Collection[str], routes: Collection[str]) -> None:
        """Forget sources that are gone: one that comes back later may number otherwise."""
        for source in list(self._recent):
            if source.service not in services or source.route not in routes:
                del self._recent[source]

    def observe(self, beginning: StreamBeginning) -> None:
        """Remember how a stream began, whether it was taken for damaged or not."""
        recent = self._recent.setdefault(beginning.source, deque(maxlen=MAX_REMEMBERED_STREAMS))
        recent.append(beginning.first)
        for listener in tuple(self._listeners):
            listener()

    def listen(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Call ``listener`` after each beginning observed, until the call that is returned."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def judge(self, beginning: StreamBeginning) -> BeginningVerdict:
        """Tell whether events are missing at the beginning of a stream, as far as is known now."""
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
        """Tell whether events are certainly missing at the beginning of a stream."""
        return self.judge(beginning) == BeginningVerdict.LOST

    def is_outnumbered(
        self, beginning: StreamBeginning, own_runs: Collection[FirstEvent] = ()
    ) -> bool:
        """Tell whether more streams began with one number a few events earlier than like this one.

        Evidence for a last judgement, weaker than that of ``is_lost``: a loss can only raise the
        first number or take it away. The stream itself, which was observed, is not counted, nor is
        what earlier runs of its request, ``own_runs``, began with.
        """
        recent = self._recent.get(beginning.source, ())
        others = [first for first in recent if first not in own_runs]
        earlier = Counter(first for first in others if _lacks_events(beginning.first, first))
        most_alike = max(earlier.values(), default=0)
        is_unknown = self.judge(beginning) == BeginningVerdict.UNKNOWN
        least = 1 if is_unknown else MIN_MATCHING
        others_like_this = max(0, sum(first == beginning.first for first in recent) - 1)
        return most_alike >= least and most_alike > others_like_this

    def is_unusual(self, beginning: StreamBeginning) -> bool:
        """Tell whether a stream is worth a second run: nothing is known, and few begin like it."""
        if beginning.first in USUAL_FIRST_NUMBERS:
            return False
        return self.judge(beginning) == BeginningVerdict.UNKNOWN

    def judge_by_second_run(
        self, beginning: StreamBeginning, second: FirstEvent
    ) -> BeginningVerdict:
        """Judge a stream by what another run of the same request begins with.

        ``second`` has been observed already. A loss can only raise the first number or take it
        away, so that the lower number is right; UNKNOWN: the second run lacks more than the first.
        """
        if second == beginning.first:
            return BeginningVerdict.WHOLE
        verdict = self.judge(beginning)
        if verdict != BeginningVerdict.UNKNOWN or not isinstance(second, int):
            return verdict
        begins_earlier = not isinstance(beginning.first, int) or second < beginning.first
        return BeginningVerdict.LOST if begins_earlier else BeginningVerdict.UNKNOWN


def _common_first(recent: Collection[FirstEvent]) -> list[FirstEvent]:
    """Return what the streams of a source begin with; an empty list: not known, or nothing."""
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
    """Tell whether a stream lacks its beginning, where the source's streams have one in common."""
    if not isinstance(common, int):
        return False
    if not isinstance(first, int):
        return True
    return common < first <= common + MAX_LOST_EVENTS
