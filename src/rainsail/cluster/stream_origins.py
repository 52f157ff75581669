"""Where streams began: kept by controllers, so that any gateway can continue a stream correctly.

What two software versions write does not fit together, so a stream continues only at the version
that began it. A client may resume at any gateway, often because the first one has failed. So each
gateway tells two controllers which version sent the first event of a stream, also while there is
only one: another one may appear before the stream is resumed. The entries are soft state with a
lifetime that the gateway renews while the stream runs, and that it sends anew to a controller which
has started again. What no controller knows must not continue while several versions may have begun
it.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
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
TOLD_AGAIN_WITHIN_S = 2.5
"""Within this time after a controller's start each gateway in touch has told it again what it
knows: two heartbeats and their replies."""
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
        self._recent: StreamOrigin | None = None
        """The origin put last: equal ones share it, as most streams have the same few."""

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def put(self, stream: str, origin: StreamOrigin) -> None:
        """Add or renew an entry."""
        now = self._clock.seconds()
        if origin == self._recent:
            origin = self._recent
        self._recent = origin
        self._entries[stream] = origin, now
        self._entries.move_to_end(stream)
        self._drop_expired(now)

    def get(self, stream: str) -> StreamOrigin | None:
        """Return a stream's origin, None if it is not known."""
        entry = self._entries.get(stream)
        if entry is None or self._clock.seconds() - entry[1] > ORIGIN_TTL_S:
            return None
        return entry[0]

    def remove(self, stream: str) -> None:
        """Remove an entry, if there is one."""
        self._entries.pop(stream, None)

    def entries(self) -> Iterator[tuple[str, StreamOrigin]]:
        """Yield the names and origins of all streams that have not expired."""
        now = self._clock.seconds()
        for stream, (origin, renewed_s) in self._entries.items():
            if now - renewed_s <= ORIGIN_TTL_S:
                yield stream, origin

    def _drop_expired(self, now: float) -> None:
        while self._entries:
            _, renewed_s = next(iter(self._entries.values()))
            if len(self._entries) <= MAX_ORIGINS and now - renewed_s <= ORIGIN_TTL_S:
                return
            self._entries.popitem(last=False)


class StreamOriginService:
    """A controller's part: takes what gateways tell, and answers them.

    After its start it does not say that it knows nothing before gateways have told it again of the
    streams under way, and the runners that it restored from its disk have reported: one of them may
    have started again at another version.
    """

    def __init__(
        self, messenger: Messenger, clock: Clock, has_unheard: Callable[[], bool] = lambda: False
    ) -> None:
        """``has_unheard``: some restored runners have not reported since the start."""
        self._table = StreamOriginTable(clock)
        self._clock = clock
        self._has_unheard = has_unheard
        self._started_s = clock.seconds()
        messenger.serve(StreamsBegun, self._take)
        messenger.serve(FindStreamOrigin, self._find)

    def __len__(self) -> int:
        """Return the number of streams that are known."""
        return len(self._table)

    def _take(self, source: str, message: StreamsBegun) -> None:
        for begun in message.streams:
            self._table.put(begun.stream, begun.origin)

    def _find(self, source: str, message: FindStreamOrigin) -> StreamOriginReply | Fault:
        origin = self._table.get(message.stream)
        age_s = self._clock.seconds() - self._started_s
        if origin is None and age_s < TOLD_AGAIN_WITHIN_S:
            return Fault(FaultCode.UNAVAILABLE, STEP, "gateways may not have told of it again")
        if origin is None and age_s < REPORTS_WAIT_S and self._has_unheard():
            return Fault(FaultCode.UNAVAILABLE, STEP, "runners have not reported since the start")
        return StreamOriginReply(origin)


def assigned_controllers(gateway: str, controllers: Iterable[str]) -> list[str]:
    """Return the controllers that a gateway tells of its streams, by rendezvous hashing."""
    order = sorted(
        controllers,
        key=lambda each: (xxhash.xxh3_64_intdigest(f"{each}/{gateway}".encode()), each),
    )
    return order[:COPIES]
