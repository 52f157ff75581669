"""Where streams began: kept by controllers, so that any gateway can continue a stream correctly.

What two software versions write does not fit together, so a stream continues only at the version
that began it. A client may resume at any gateway, often because the first one has failed. So while
a service has several versions, each gateway tells two controllers which of them sent the first
event of a stream. The entries are soft state with a lifetime that the gateway renews while the
stream runs. What no controller knows must not continue while several versions may have begun it.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import xxhash

from rainsail.errors import Fault, FaultCode
from rainsail.runtime.clock import Clock
from rainsail.wire.codec import wire_record
from rainsail.wire.messenger import Messenger
from rainsail.wire.names import wire_type

ORIGIN_TTL_S = 60.0
"""Lifetime of an entry after its last renewal; clients resume within their deadline of seconds."""
MAX_ORIGINS = 100_000
"""Limit on the entries of one node, above the streams of the design's peak within the lifetime."""
REPORTS_WAIT_S = 4.0
"""Within this time after a controller's start each runner that lives has reported: three
heartbeats."""
STEP = "cluster.stream_origins"
COPIES = 2
"""Controllers that a gateway tells of its streams, so that one of them may fail."""


@wire_type("StreamOrigin")
@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service whose runner sent a stream's first event, and that runner's software version."""

    service: str
    version: str


@wire_type("BegunStream")
@dataclass(frozen=True, slots=True)
class BegunStream:
    """A stream whose first event a client has, by its name, and its origin."""

    stream: str
    origin: StreamOrigin


@wire_record("StreamsBegun")
@dataclass(frozen=True, slots=True)
class StreamsBegun:
    """One-way, from a gateway: streams that have begun, or that still run."""

    streams: tuple[BegunStream, ...]


@wire_record("FindStreamOrigin")
@dataclass(frozen=True, slots=True)
class FindStreamOrigin:
    """Asks a controller where a stream began."""

    stream: str


@wire_record("StreamOriginReply")
@dataclass(frozen=True, slots=True)
class StreamOriginReply:
    """The origin, None if this controller does not know the stream."""

    origin: StreamOrigin | None


class StreamOriginTable:
    """The origins of streams by name, the one renewed the longest time ago first."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: OrderedDict[str, tuple[StreamOrigin, float]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def put(self, stream: str, origin: StreamOrigin) -> None:
        """Add or renew an entry."""
        now = self._clock.seconds()
        self._entries[stream] = origin, now
        self._entries.move_to_end(stream)
        self._drop_expired(now)

    def get(self, stream: str) -> StreamOrigin | None:
        """Return a stream's origin, None if it is not known."""
        entry = self._entries.get(stream)
        if entry is None or self._clock.seconds() - entry[1] > ORIGIN_TTL_S:
            return None
        return entry[0]

    def _drop_expired(self, now: float) -> None:
        while self._entries:
            _, renewed_s = next(iter(self._entries.values()))
            if len(self._entries) <= MAX_ORIGINS and now - renewed_s <= ORIGIN_TTL_S:
                return
            self._entries.popitem(last=False)


class StreamOriginService:
    """A controller's part: takes what gateways tell, and answers them.

    After its start it does not say that it knows nothing before the runners that it restored from
    its disk have reported: one of them may have started again at another version.
    """

    def __init__(
        self, messenger: Messenger, clock: Clock, has_unheard: Callable[[], bool] = lambda: False
    ) -> None:
        """``has_unheard``: some restored runners have not reported since the start."""
        self._table = StreamOriginTable(clock)
        self._clock = clock
        self._has_unheard = has_unheard
        self._settled_s = clock.seconds() + REPORTS_WAIT_S
        messenger.serve(StreamsBegun, self._take)
        messenger.serve(FindStreamOrigin, self._find)

    def _take(self, source: str, message: StreamsBegun) -> None:
        for begun in message.streams:
            self._table.put(begun.stream, begun.origin)

    def _find(self, source: str, message: FindStreamOrigin) -> StreamOriginReply | Fault:
        origin = self._table.get(message.stream)
        if origin is None and self._clock.seconds() < self._settled_s and self._has_unheard():
            return Fault(FaultCode.UNAVAILABLE, STEP, "runners have not reported since the start")
        return StreamOriginReply(origin)


def assigned_controllers(gateway: str, controllers: Iterable[str]) -> list[str]:
    """Return the controllers that a gateway tells of its streams, by rendezvous hashing."""
    order = sorted(
        controllers,
        key=lambda each: (xxhash.xxh3_64_intdigest(f"{each}/{gateway}".encode()), each),
    )
    return order[:COPIES]
