"""A Twisted web request whose body is bounded by itself and by what all clients hold.

A body that is refused is answered as soon as its length is known; what its client still sends is
dropped for a while, as closing over unread bytes resets the connection before the refusal arrives.
"""

from typing import Any

from rainsail.budget.client_budget import NO_ROOM
from rainsail.budget.memory import HeldKind
from rainsail.runtime.unframed_answers import UnframedAnswerRequest

SPOOLED_BYTES = 100_000
"""From this size on Twisted writes a body to the disk."""
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_DROPPED_BYTES = 16 * 1024 * 1024
"""What a refused client may still send until its connection is reset."""
RETRY_AFTER_S = 1
TOO_LARGE = "body over the limit"
STATUS_TOO_LARGE = 413
STATUS_UNAVAILABLE = 503
REASONS = {
    STATUS_TOO_LARGE: "Request Entity Too Large",
    STATUS_UNAVAILABLE: "Service Unavailable",
}


class ClientRequest(UnframedAnswerRequest):
    """A request with a body of at most ``max_body_bytes``."""

    max_body_bytes = MAX_BODY_BYTES

    def __init__(self, *arguments: Any, **keywords: Any) -> None:
        super().__init__(*arguments, **keywords)
        self._taken_bytes = 0
        self._refused = False
        self.is_received = False
        """The request has been received completely."""

    def gotLength(self, length: int | None) -> None:
        """Refuse a body whose Content-Length is too large, or that has no room now."""
        super().gotLength(length)
        if length is not None and length > self.max_body_bytes:
            self.refuse(STATUS_TOO_LARGE)
        elif length is not None and not self._hold(length):
            self.refuse(STATUS_UNAVAILABLE)

    def handleContentChunk(self, data: bytes) -> None:
        """Store a piece of the body, unless the body is refused."""
        self._taken_bytes += len(data)
        if self._refused:
            if self._taken_bytes > MAX_DROPPED_BYTES:
                self._transport.abortConnection()
        elif self._taken_bytes > self.max_body_bytes:
            self.refuse(STATUS_TOO_LARGE)
        elif not self._hold(self._taken_bytes):
            self.refuse(STATUS_UNAVAILABLE)
        else:
            super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process a completely received request."""
        self.is_received = True
        if self._refused:
            self._transport.loseConnection()
        else:
            self.take_request(command, path, version)

    def take_request(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process a request that was not refused."""
        super().requestReceived(command, path, version)

    def _hold(self, size: int) -> bool:
        holding = getattr(self.channel, "client_holding", None)
        if holding is None:
            return True
        fits: bool = holding.grow_to(HeldKind.BODY, min(size, SPOOLED_BYTES))
        return fits

    def _give_back(self) -> None:
        holding = getattr(self.channel, "client_holding", None)
        if holding is not None:
            holding.set(HeldKind.BODY, 0)

    def finish(self) -> None:
        """End the answer."""
        self._give_back()
        super().finish()

    @property
    def _transport(self) -> Any:
        return self.channel.transport

    def refuse(self, status: int) -> None:
        """Answer at once, and drop what still comes."""
        self._refused = True
        budget = getattr(self.channel, "client_budget", None)
        if budget is not None:
            reason = NO_ROOM if status == STATUS_UNAVAILABLE else TOO_LARGE
            budget.refused(reason, status)
        self._give_back()
        fields, body = self.refusal(status)
        fields = {**fields, "content-length": str(len(body)), "connection": "close"}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        head = f"HTTP/1.1 {status} {REASONS[status]}\r\n{lines}\r\n".encode()
        self._transport.write(head + body)
        self._transport.loseWriteConnection()

    def refusal(self, status: int) -> tuple[dict[str, str], bytes]:
        """Return the header fields and the body of a refusal."""
        if status == STATUS_UNAVAILABLE:
            return {"retry-after": str(RETRY_AFTER_S)}, b""
        return {}, b""
