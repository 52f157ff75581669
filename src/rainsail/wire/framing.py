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
"""Largest frame that is taken before the hello has been accepted."""


@implementer(IPushProducer)
class FramedConnection(Int32StringReceiver):
    """Sends and receives frames.

    The Twisted transport holds what the socket does not take at once; when it asks for a
    pause, frames wait here, up to ``buffer_bytes``.
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
        """Ask the transport to say when it holds too much."""
        self.transport.registerProducer(self, True)

    def dataReceived(self, data: bytes) -> None:
        """Gather the parts of a large frame, so that each byte is copied once."""
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
        """Return how many bytes the frame begun still lacks (0 when its length isn't there)."""
        begun = self._unprocessed
        if len(begun) < LENGTH_PREFIX_BYTES:
            return 0
        length = int.from_bytes(begun[:LENGTH_PREFIX_BYTES], "big")
        return LENGTH_PREFIX_BYTES + length - len(begun)

    def accept_large_frames(self) -> None:
        """Raise the bound on arriving frames from that of a hello to the full one."""
        self.MAX_LENGTH = self._max_frame_bytes

    def send_frame(self, data: bytes) -> Fault | None:
        """Send a frame or let it wait; a fault means that it was not and will not be sent."""
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
        """Let frames wait: the transport holds enough."""
        self._may_write = False

    def resumeProducing(self) -> None:
        """Write the waiting frames until the transport asks for a pause again."""
        self._may_write = True
        while self._may_write and self._waiting:
            data = self._waiting.popleft()
            self._waiting_bytes -= len(data)
            self.sendString(data)

    def stopProducing(self) -> None:
        """Drop the waiting frames: the connection is gone."""
        self._may_write = False
        self._waiting.clear()
        self._waiting_bytes = 0
