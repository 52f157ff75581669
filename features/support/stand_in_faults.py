"""How the stand-in platform's runners fail at random, and the streams that they send then.

A runner's process that dies closes its connections in order. Where neither a length nor chunks tell
a stream's end, a close between two events looks like that end; so there it comes within an event.
"""

import random
from collections import Counter
from dataclasses import dataclass
from typing import Any, Protocol

from rainsail.http.exchange import Exchange
from rainsail.http.headers import HeaderFields

CRASH_SHARE = 0.2
CRASH_SHARE_OF_ITEMS = 0.04
"""Less: a runner gets no item for more than a second after it broke one off."""
FAILURE_SHARE = 0.08
FAILURE_SHARE_RESUMED = 0.3
UNFRAMED_SHARE = 0.25


@dataclass(frozen=True)
class Crash:
    """Where a runner dies: before the end of an event, with so much of it sent."""

    event: int
    part: float


class StreamFaults(Protocol):
    """Draws the faults of runners' answers."""

    def fails(self, request: str, is_item: bool, resumed: bool) -> bool:
        """Draw whether a runner answers a request with a failure of its own."""
        ...

    def is_unframed(self) -> bool:
        """Draw whether a stream has neither a length nor chunks."""
        ...

    def crash(self, first: int, last: int, unframed: bool, is_item: bool) -> Crash | None:
        """Draw whether, and where, a runner dies while it sends some events."""
        ...


class BreakingStreams:
    """Draws only streams that break off behind their first event; nothing else fails."""

    def __init__(self, seed: float, share: float) -> None:
        """``share`` of the runs break off."""
        self._draw = random.Random(seed)
        self._share = share

    def fails(self, request: str, is_item: bool, resumed: bool) -> bool:
        """No runner answers with a failure."""
        return False

    def is_unframed(self) -> bool:
        """Every stream comes in chunks."""
        return False

    def crash(self, first: int, last: int, unframed: bool, is_item: bool) -> Crash | None:
        """Draw whether a run breaks off, and within which event behind its first one."""
        if first >= last or self._draw.random() >= self._share:
            return None
        return Crash(self._draw.randint(first + 1, last), self._draw.uniform(0.1, 0.9))


class RunnerFaults:
    """Draws faults for all runners of a platform; ``struck`` counts them.

    An item meets one failure at most: after as many as its route allows it would be given up.
    """

    def __init__(self, seed: float) -> None:
        self._draw = random.Random(seed)
        self._failed_items: set[str] = set()
        self.struck: Counter[str] = Counter()

    def fails(self, request: str, is_item: bool, resumed: bool) -> bool:
        """Draw whether a runner answers a request with a failure of its own."""
        share = FAILURE_SHARE_RESUMED if resumed else FAILURE_SHARE
        if self._draw.random() >= share or request in self._failed_items:
            return False
        if is_item:
            self._failed_items.add(request)
        self.struck["failures"] += 1
        self.struck["failures of resumed runs"] += resumed
        return True

    def is_unframed(self) -> bool:
        """Draw whether a stream has neither a length nor chunks."""
        unframed = self._draw.random() < UNFRAMED_SHARE
        self.struck["unframed streams"] += unframed
        return unframed

    def crash(self, first: int, last: int, unframed: bool, is_item: bool) -> Crash | None:
        """Draw whether, and where, a runner dies while it sends some events."""
        share = CRASH_SHARE_OF_ITEMS if is_item else CRASH_SHARE
        if first > last or self._draw.random() >= share:
            return None
        self.struck["crashes within items" if is_item else "crashes"] += 1
        between = not unframed and self._draw.random() < 0.3
        part = 0.0 if between else self._draw.uniform(0.1, 0.9)
        return Crash(self._draw.randint(first, last), part)


class StandInStream(Protocol):
    """A stream on its way to a gateway."""

    def write(self, data: bytes) -> None:
        """Send bytes at once."""
        ...

    def end(self) -> None:
        """End the stream as complete."""
        ...

    def close(self) -> None:
        """Close the connection in order, wherever the stream is."""
        ...


class ChunkedStream:
    """A stream in chunks, as the product's server frames it."""

    def __init__(self, exchange: Exchange, fields: HeaderFields) -> None:
        self._exchange = exchange
        self._transport = _transport(exchange)
        exchange.begin(200, fields)

    def write(self, data: bytes) -> None:
        """Send a chunk."""
        self._exchange.write(data)

    def end(self) -> None:
        """Send the last chunk."""
        self._exchange.end()

    def close(self) -> None:
        """Close without the last chunk."""
        self._transport.loseConnection()


class UnframedStream:
    """A stream whose end only the close of the connection tells; written past the server."""

    def __init__(self, exchange: Exchange, fields: HeaderFields) -> None:
        self._transport = _transport(exchange)
        lines = [b"%s: %s\r\n" % field for field in (*fields, (b"Connection", b"close"))]
        self._transport.write(b"HTTP/1.1 200 OK\r\n" + b"".join(lines) + b"\r\n")

    def write(self, data: bytes) -> None:
        """Send bytes as they are."""
        self._transport.write(data)

    def end(self) -> None:
        """Close: nothing else tells that this was all."""
        self.close()

    def close(self) -> None:
        """Close."""
        self._transport.loseConnection()


def _transport(exchange: Any) -> Any:
    return exchange._connection.transport
