"""Learns with which number the streams of each source begin, to notice a lost beginning. Pure.

Nothing that a runner says tells with which number its stream begins, so that a stream without its
first event looks like a whole one that begins later. What earlier streams of the same source began
with tells them apart: a loss can only raise the first number or take it away, and most streams are
not damaged. No number is taken for granted: a source whose streams begin alike is held to that
number, whatever it is, and one whose streams begin differently is held to nothing. A source is one
service on one route, since a service may number its streams on one path and not on another.

Owned by the gateway for clients' requests and by the ledger's leader for items; nothing of it is
durable or shared, so that the first streams after a start are judged at their ends at the earliest.
"""

from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass

STREAMS_REMEMBERED = 64
"""The last beginnings of a source that count.

Not measured; chosen so that a third of them is never damaged by chance while one stream in six is.
"""
LEAST_ALIKE = 2
"""Streams that must have begun alike before another one is held to it.

Not measured; one alone may itself lack its beginning, or be of a source without a common number.
"""
SHARE_ALIKE = 2 / 3
"""The share of the remembered streams that must have begun alike.

Not measured; chosen so that a source whose runners number differently is held to nothing.
"""
CHANGED_AFTER = 4
"""So many streams in a row that began alike say that the source begins with their number now.

Not measured; chosen so that losses hardly ever do that (one in 10,000 where one stream in ten is
damaged), and that a fleet which changes its numbers breaks few streams.
"""
MOST_LOST_EVENTS = 8
"""A stream that begins later than by this many events is taken for numbered in another way.

Not measured; numbers that run on from answer to answer of a session are not to be held for losses.
"""


@dataclass(frozen=True, slots=True)
class StreamSource:
    """Where streams come from that are taken to be numbered alike, by its names in the table."""

    service: str
    route: str


@dataclass(frozen=True, slots=True)
class StreamBeginning:
    """How a stream begins.

    ``number`` is that of its first event; None if that has none, or if there is no event at all.
    """

    source: StreamSource
    number: int | None


class StreamBeginnings:
    """The latest beginnings of each source's streams."""

    def __init__(self) -> None:
        self._recent: dict[StreamSource, deque[int | None]] = {}

    def keep_only(self, services: Collection[str], routes: Collection[str]) -> None:
        """Forget sources that are gone: one that comes back later may number otherwise."""
        for source in list(self._recent):
            if source.service not in services or source.route not in routes:
                del self._recent[source]

    def observe(self, beginning: StreamBeginning) -> None:
        """Remember how a stream began, whether it was taken for damaged or not."""
        recent = self._recent.setdefault(beginning.source, deque(maxlen=STREAMS_REMEMBERED))
        recent.append(beginning.number)

    def is_lost(self, beginning: StreamBeginning) -> bool:
        """Tell whether events are missing at the beginning of a stream, as far as is known now."""
        expected = self._expected(beginning.source)
        if expected is None:
            return False
        if beginning.number is None:
            return True
        return expected < beginning.number <= expected + MOST_LOST_EVENTS

    def _expected(self, source: StreamSource) -> int | None:
        """Return the number with which the streams of a source begin; None: not known, or none."""
        recent = self._recent.get(source)
        if recent is None or len(recent) < LEAST_ALIKE:
            return None
        latest = list(recent)[-CHANGED_AFTER:]
        if len(latest) == CHANGED_AFTER and len(set(latest)) == 1:
            return latest[0]
        number, alike = Counter(recent).most_common(1)[0]
        enough = alike >= LEAST_ALIKE and alike >= SHARE_ALIKE * len(recent)
        return number if enough else None
