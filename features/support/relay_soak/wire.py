"""In-memory connections in virtual time; bytes are delayed, and a close arrives after them."""

from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.error import (
    ConnectionAborted,
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from rainsail.simulation.clock import VirtualClock

DELAY_S = 0.001
"""Transfer time of bytes and closes."""


class MemoryTransport:
    """One end of a connection, with the methods of Twisted's transports that the product uses."""

    def __init__(self, clock: VirtualClock, protocol: Protocol) -> None:
        self._clock = clock
        self._protocol = protocol
        self._may_write = True
        self._lost = False
        self._producer: Any = None
        self._is_paused = False
        self._arrived: list[bytes] = []
        self.peer: MemoryTransport

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option."""

    def write(self, data: bytes) -> None:
        """Send bytes to the other end."""
        if self._may_write:
            self._clock.callLater(DELAY_S, self.peer.deliver, data)

    def writeSequence(self, parts: Iterable[bytes]) -> None:
        """Send bytes to the other end."""
        self.write(b"".join(parts))

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Have a producer that waits to be asked write everything: nothing is ever full here."""
        self._producer = producer
        while not streaming and self._producer is not None:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        """Forget the producer."""
        self._producer = None

    def pauseProducing(self) -> None:
        """Keep what arrives until ``resumeProducing``."""
        self._is_paused = True

    def resumeProducing(self) -> None:
        """Pass on what has arrived."""
        self._is_paused = False
        arrived, self._arrived = self._arrived, []
        for data in arrived:
            self.deliver(data)

    def deliver(self, data: bytes) -> None:
        """Pass bytes to this end's protocol."""
        if self._is_paused:
            self._arrived.append(data)
        elif not self._lost:
            self._protocol.dataReceived(data)

    def loseConnection(self) -> None:
        """Close in an orderly way, after what was written."""
        self._close(ConnectionDone(), ConnectionDone())

    def abortConnection(self) -> None:
        """Reset the connection."""
        self._close(ConnectionAborted(), ConnectionLost())

    def _close(self, own_reason: Exception, reason_of_peer: Exception) -> None:
        if not self._may_write:
            return
        self._may_write = False
        self._clock.callLater(0, self.lose, own_reason)
        self._clock.callLater(DELAY_S, self.peer.lose, reason_of_peer)

    def lose(self, reason: Exception) -> None:
        """Report the end of the connection to this end's protocol, once."""
        if self._lost:
            return
        self._lost = True
        self._may_write = False
        self._protocol.connectionLost(Failure(reason))


def connect(clock: VirtualClock, caller: Protocol, called: Protocol) -> None:
    """Open a connection between two protocols."""
    ends = MemoryTransport(clock, caller), MemoryTransport(clock, called)
    ends[0].peer, ends[1].peer = ends[1], ends[0]
    called.makeConnection(ends[1])
    caller.makeConnection(ends[0])


Accept = Callable[[], Protocol | None]
"""Returns the protocol of an accepted connection, None to refuse it."""


class MemoryReactor:
    """Opens connections to hosts that listen in memory."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._listening: dict[str, Accept] = {}

    def listen(self, host: str, accept: Accept) -> None:
        """Accept connections to a host."""
        self._listening[host] = accept

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> None:
        """Open a connection after a delay, asynchronously as Twisted's reactors do."""
        self._clock.callLater(2 * DELAY_S, self._open, host, factory)

    def _open(self, host: str, factory: Any) -> None:
        called = self._listening[host]()
        if called is None:
            factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        else:
            connect(self._clock, factory.buildProtocol(None), called)
