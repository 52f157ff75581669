"""Length-prefixed frames on a connection, with a bounded size and a bounded outgoing buffer."""

from collections import deque
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.protocols.basic import Int32StringReceiver
from zope.interface import implementer

from rainsail.errors import Fault, FaultCode

STEP = "wire.framing"
LENGTH_PREFIX_BYTES = Int32StringReceiver.prefixLength
HELLO_FRAME_BYTES = 4096
"""Largest frame accepted before the hello."""


@implementer(IPushProducer)
class FramedConnection(Int32StringReceiver):
    """Sends and receives frames.

    The Twisted transport buffers what the socket does not take at once. While it asks for a
    pause, frames are queued here, up to ``buffer_bytes``.
    """

    MAX_LENGTH = HELLO_FRAME_BYTES
    transport: Any

    def __init__(self, max_frame_bytes: int, buffer_bytes: int) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer_bytes = buffer_bytes
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._may_write = True
        self._gathered: list[bytes] = []
        self._gathered_bytes = 0
        self._missing_bytes = 0

    def connectionMade(self) -> None:
        """Register as producer, so that the transport asks for a pause when its buffer is full."""
        self.transport.registerProducer(self, True)

    def dataReceived(self, data: bytes) -> None:
        """Parse frames; the parts of a large one are joined once it is complete, to copy less."""
        self._gathered.append(data)
        self._gathered_bytes += len(data)
        if self._gathered_bytes < self._missing_bytes:
            return
        joined = b"".join(self._gathered)
        self._gathered.clear()
        self._gathered_bytes = 0
        super().dataReceived(joined)
        self._missing_bytes = self._missing()

    def _missing(self) -> int:
        """Return how many bytes the current frame still lacks (0 while its length is unknown)."""
        partial = self._unprocessed
        if len(partial) < LENGTH_PREFIX_BYTES:
            return 0
        length = int.from_bytes(partial[:LENGTH_PREFIX_BYTES], "big")
        return LENGTH_PREFIX_BYTES + length - len(partial)

    def accept_large_frames(self) -> None:
        """Raise the limit on incoming frames from that of a hello to the full one."""
        self.MAX_LENGTH = self._max_frame_bytes

    def send_frame(self, data: bytes) -> Fault | None:
        """Send or queue a frame; a fault means that it was not and will not be sent."""
        if len(data) > self._max_frame_bytes:
            detail = f"{len(data)} bytes are over the frame bound of {self._max_frame_bytes}"
            return Fault(FaultCode.TOO_LARGE, STEP, detail)
        if self._may_write:
            self.sendString(data)
            return None
        if self._waiting_bytes + len(data) > self._buffer_bytes:
            detail = f"{self._waiting_bytes} bytes wait for the peer already"
            return Fault(FaultCode.OVERLOADED, STEP, detail)
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        return None

    def pauseProducing(self) -> None:
        """Queue frames from now on: the transport's buffer is full."""
        self._may_write = False

    def resumeProducing(self) -> None:
        """Write the queued frames until the transport asks for a pause again."""
        self._may_write = True
        while self._may_write and self._waiting:
            data = self._waiting.popleft()
            self._waiting_bytes -= len(data)
            self.sendString(data)

    def stopProducing(self) -> None:
        """Drop the queued frames: the connection has ended."""
        self._may_write = False
        self._waiting.clear()
        self._waiting_bytes = 0
