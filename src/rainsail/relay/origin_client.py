"""A gateway's access to the origins of streams, its own and those that other gateways began.

Relies on ``cluster.stream_origins`` for what controllers keep.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from expression import Result

from rainsail.cluster.follower import FleetFollower
from rainsail.cluster.stream_origins import (
    COPIES,
    ORIGIN_TTL_S,
    FindStreamOrigin,
    StreamOrigin,
    StreamOriginReply,
    StreamOriginTable,
)
from rainsail.errors import Fault
from rainsail.node_metrics import NodeMetrics
from rainsail.relay.origin_reports import OriginReports
from rainsail.runtime.clock import Clock
from rainsail.wire.extensions import STREAM_ORIGINS
from rainsail.wire.messenger import Messenger

REPLY_TIMEOUT_S = 0.3
"""How long a resuming client waits for controllers that do not answer.

A few round trips between regions, and short compared with the pause that a client tolerates.
"""
RENEWAL_PERIOD_S = ORIGIN_TTL_S / 3
"""A stream that still runs renews its entry this often."""


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """The result of a search; ``is_certain``: another search would find no more.

    ``controllers`` are those that have answered, for the log; none if this gateway has the record.
    """

    origin: StreamOrigin | None
    is_certain: bool
    controllers: tuple[str, ...] = field(default=(), compare=False)


Found = Callable[[FoundOrigin], None]


class StreamOrigins(Protocol):
    """Records and finds the origins of streams, by the names of the streams."""

    def began(self, stream: str, origin: StreamOrigin, is_implied: bool) -> None:
        """Record that a client has a stream's first event, or renew the record.

        ``is_implied``: for now, a gateway that finds no record continues the stream at the same
        origin.
        """
        ...

    def completed(self, stream: str) -> None:
        """Forget a stream whose client has all of it."""
        ...

    def find(self, stream: str, found: Found) -> None:
        """Search for a stream's origin; always calls ``found``, at once or later."""
        ...


class UnknownOrigins:
    """``StreamOrigins`` of a gateway without controllers: nothing is known."""

    def began(self, stream: str, origin: StreamOrigin, is_implied: bool) -> None:
        """Do nothing."""

    def completed(self, stream: str) -> None:
        """Do nothing."""

    def find(self, stream: str, found: Found) -> None:
        """Report that nothing is known, and never will be."""
        found(FoundOrigin(None, is_certain=True))


@dataclass(slots=True)
class _Search:
    """Unanswered calls of one search."""

    found: Found
    waiting: int
    failed: int = 0
    over: bool = False
    heard: list[str] = field(default_factory=list)

    def take(self, result: Result[StreamOriginReply, Fault], controller: str) -> None:
        """Handle one reply; the first origin ends the search, else the last reply does."""
        self.waiting -= 1
        if self.over:
            return
        origin = None
        if result.is_error():
            self.failed += 1
        else:
            self.heard.append(controller)
            origin = result.ok.origin
        if origin is not None or not self.waiting:
            self.over = True
            # A gateway in touch reports to several controllers: with fewer away, one has answered.
            # That tells whether another search may find more, not where the stream may go on.
            is_certain = origin is not None or self.failed < COPIES
            self.found(FoundOrigin(origin, is_certain, tuple(self.heard)))


class StreamOriginClient:
    """Implements ``StreamOrigins`` with the controllers that this gateway follows."""

    def __init__(
        self,
        messenger: Messenger,
        clock: Clock,
        follower: FleetFollower,
        metrics: NodeMetrics,
    ) -> None:
        self._messenger = messenger
        self._follower = follower
        self._metrics = metrics
        self._own = StreamOriginTable(clock)
        self._reports = OriginReports(messenger, clock, follower, metrics, self._own.entries)

    def began(self, stream: str, origin: StreamOrigin, is_implied: bool) -> None:
        """Record that a client has a stream's first event, or renew the record."""
        self._own.put(stream, origin)
        self._reports.add(stream, origin, is_implied)

    def completed(self, stream: str) -> None:
        """Forget a stream whose client has all of it; records at controllers expire."""
        self._own.remove(stream)
        self._reports.drop(stream)

    def find(self, stream: str, found: Found) -> None:
        """Search for a stream's origin here and at controllers."""
        own = self._own.get(stream)
        if own is not None:
            self._report(FoundOrigin(own, is_certain=True), found)
            return
        asked = self._follower.heartbeat_targets()
        supporting = self._supporting(asked)
        if not supporting:
            self._report(FoundOrigin(None, is_certain=False), found)
            return
        search = _Search(
            lambda result: self._report(result, found),
            len(supporting),
            failed=len(asked) - len(supporting),
        )
        for controller in supporting:
            reply = self._messenger.call(controller, FindStreamOrigin(stream), REPLY_TIMEOUT_S)
            reply.addCallback(search.take, controller)

    def _supporting(self, controllers: Sequence[str]) -> list[str]:
        """Return the controllers that keep origins; those of earlier versions do not."""
        level = self._messenger.extension_level
        return [each for each in controllers if level(each) >= STREAM_ORIGINS]

    def _report(self, result: FoundOrigin, found: Found) -> None:
        outcome = "found" if result.origin else ("unknown" if result.is_certain else "unsure")
        self._metrics.count("stream_origins_searched", outcome=outcome)
        found(result)
