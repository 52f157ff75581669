"""The base class of HTTP streams from engines, with read timeouts.

``StreamWatch`` applies a read timeout to all open streams with a single timer. The subclasses in
``http_stream`` and ``http_events`` decode the content.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from rainsail.runtime.clock import Clock, Timer

_CHECKS_PER_TIMEOUT = 6


def describe_failure(failure: Failure) -> str:
    """Return the first cause of a connection's failure, as one line."""
    reasons = getattr(failure.value, "reasons", None)
    if reasons:
        return describe_failure(reasons[0])
    return failure.getErrorMessage() or str(failure.type)


class StreamWatch:
    """Times out streams without data for ``timeout_s``."""

    def __init__(self, clock: Clock, timeout_s: float) -> None:
        self._clock = clock
        self._timeout_s = timeout_s
        self._streams: dict[WatchedStream, None] = {}
        self._timer: Timer | None = None

    def now_s(self) -> float:
        """Return the clock's time in seconds."""
        return self._clock.seconds()

    def add(self, stream: "WatchedStream") -> None:
        """Start the read timeout of a stream."""
        stream.last_read_s = self._clock.seconds()
        self._streams[stream] = None
        self._schedule()

    def remove(self, stream: "WatchedStream") -> None:
        """Stop the read timeout of a stream."""
        self._streams.pop(stream, None)

    def _schedule(self) -> None:
        if self._timer is None and self._streams:
            period_s = self._timeout_s / _CHECKS_PER_TIMEOUT
            self._timer = self._clock.callLater(period_s, self._check)

    def _check(self) -> None:
        self._timer = None
        oldest_s = self._clock.seconds() - self._timeout_s
        silent = [stream for stream in self._streams if stream.last_read_s < oldest_s]
        for stream in silent:
            self.remove(stream)
            stream.time_out()
        self._schedule()


class WatchedStream(TwistedProtocol):
    """Receives a response's body until it ends, is dropped, or times out."""

    def __init__(self, watch: StreamWatch) -> None:
        self.last_read_s = 0.0
        self._watch = watch
        self._is_open = True
        self._abort: Callable[[], None] | None = None
        watch.add(self)

    def lose(self, detail: str) -> None:
        """End the stream and notify the listener, at most once."""
        raise NotImplementedError

    def set_abort(self, abort: Callable[[], None]) -> None:
        """Set the function that cancels the request before its response arrives."""
        self._abort = abort

    def connectionMade(self) -> None:
        """The response's headers were received and its body follows."""
        self._abort = None
        if not self._is_open:
            self._drop_connection()

    def connectionLost(self, reason: Failure = Failure(ConnectionError("closed"))) -> None:
        """The connection or the body has ended; a stream that is still open was cut short."""
        self.lose(f"the stream broke off: {describe_failure(reason)}")

    def time_out(self) -> None:
        """End the stream because no data was read within the timeout."""
        self.lose("nothing was read within the timeout")
        self._abort_or_disconnect()

    def drop(self) -> None:
        """Close the stream without notifying the listener."""
        if self._close():
            self._abort_or_disconnect()

    def _close(self) -> bool:
        """Mark the stream as ended; return False if it had ended already."""
        if not self._is_open:
            return False
        self._is_open = False
        self._watch.remove(self)
        return True

    def _abort_or_disconnect(self) -> None:
        abort, self._abort = self._abort, None
        if abort is not None:
            abort()
        else:
            self._drop_connection()

    def _drop_connection(self) -> None:
        transport = self._transport()
        if transport is not None:
            transport.loseConnection()

    def _transport(self) -> Any:
        return self.transport
