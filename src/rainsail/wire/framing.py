"""Length-prefixed frames on a connection, with a bounded size and a bounded outgoing buffer."""

from collections import deque
from io import BytesIO
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.protocols.basic import Int32StringReceiver
from zope.interface import implementer

from rainsail.errors import Fault, FaultCode

STEP = "wire.framing"
LENGTH_PREFIX_BYTES = Int32StringReceiver.prefixLength
LARGE_FRAME_BYTES = 64 * 1024
"""A frame that lacks more than this, or is larger, is not joined with other bytes."""
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
        self._large: BytesIO | None = None
        """The received part of a large frame, without its length."""
        self._gathered_bytes = 0
        self._missing_bytes = 0

    def connectionMade(self) -> None:
        """Register as producer, so that the transport asks for a pause when its buffer is full."""
        self.transport.registerProducer(self, True)

    def dataReceived(self, data: bytes) -> None:
        """Parse frames; a large one is collected in a buffer of its own, to copy it once only."""
        while data:
            if self._large is None:
                super().dataReceived(data)
                self._begin_large()
                return
            data = self._take_large(self._large, data)

    def _begin_large(self) -> None:
        """Collect the current frame in a buffer if it still lacks much."""
        partial = self._unprocessed
        if len(partial) < LENGTH_PREFIX_BYTES:
            return
        length = int.from_bytes(partial[:LENGTH_PREFIX_BYTES], "big")
        missing = LENGTH_PREFIX_BYTES + length - len(partial)
        if missing <= LARGE_FRAME_BYTES or length > self.MAX_LENGTH:
            return
        self._large = BytesIO()
        self._large.write(partial[LENGTH_PREFIX_BYTES:])
        self._gathered_bytes = self._large.tell()
        self._missing_bytes = missing
        self._unprocessed = b""

    def _take_large(self, large: BytesIO, data: bytes) -> bytes:
        """Add to the large frame and pass it on once it is complete; return what follows it."""
        part = data[: self._missing_bytes]
        large.write(part)
        self._gathered_bytes += len(part)
        self._missing_bytes -= len(part)
        if not self._missing_bytes:
            self._large = None
            self._gathered_bytes = 0
            self.stringReceived(large.getvalue())
        return data[len(part) :]

    def accept_large_frames(self) -> None:
        """Raise the limit on incoming frames from that of a hello to the full one."""
        self.MAX_LENGTH = self._max_frame_bytes

    def send_frame(self, data: bytes) -> Fault | None:
        """Send or queue a frame; a fault means that it was not and will not be sent."""
        if len(data) > self._max_frame_bytes:
            detail = f"{len(data)} bytes are over the frame bound of {self._max_frame_bytes}"
            return Fault(FaultCode.TOO_LARGE, STEP, detail)
        if self._may_write:
            self._write(data)
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
            self._write(data)

    def _write(self, data: bytes) -> None:
        """Pass a frame to the transport, which joins a large one with its length when it sends."""
        if len(data) <= LARGE_FRAME_BYTES:
            self.sendString(data)
        else:
            self.transport.writeSequence((len(data).to_bytes(LENGTH_PREFIX_BYTES, "big"), data))

    def stopProducing(self) -> None:
        """Drop the queued frames: the connection has ended."""
        self._may_write = False
        self._waiting.clear()
        self._waiting_bytes = 0
