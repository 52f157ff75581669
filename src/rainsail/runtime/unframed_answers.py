"""A Twisted web request whose answer does not look complete when the process dies.

HTTP/1.0 has no chunks, so an answer without a length ends with its connection. When a process is
killed, the kernel closes its connections in an orderly way, as if the answer were complete. So
while such an answer is being written, its connection is set to be reset by any close.
"""

from typing import Any

from twisted.web.server import Request

from rainsail.runtime.sockets import close_in_order, reset_at_close

CONTENT_LENGTH = b"content-length"
CHUNKS_SINCE = b"HTTP/1.1"


class UnframedAnswerRequest(Request):
    """Resets the connection if the process ends before an answer without a length was sent.

    Once the kernel has all data of a finished answer, the close is orderly again, as it marks the
    answer's end.
    """

    def write(self, data: Any) -> None:
        """Write a piece of the answer; its head is sent with the first one."""
        if not self.startedWriting and self._ends_by_close():
            reset_at_close(self._connection())
        super().write(data)

    def finish(self) -> None:
        """End the answer."""
        if self._ends_by_close():
            _close_in_order_when_written(self._connection())
        super().finish()

    def _ends_by_close(self) -> bool:
        has_length = self.responseHeaders.hasHeader(CONTENT_LENGTH)
        return self.clientproto < CHUNKS_SINCE and not has_length

    def _connection(self) -> Any:
        return getattr(self.channel, "transport", None)


def _close_in_order_when_written(connection: Any) -> None:
    """Make the close orderly if all data has been passed to the kernel by then."""
    if connection is None:
        return
    close = connection.connectionLost

    def connection_lost(reason: Any) -> None:
        # Twisted has no callback for the moment when all data has been passed to the kernel.
        if not connection.dataBuffer and not getattr(connection, "_tempDataBuffer", ()):
            close_in_order(connection)
        close(reason)

    connection.connectionLost = connection_lost
