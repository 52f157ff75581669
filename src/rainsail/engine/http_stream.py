"""One SSE response from an engine: received bytes to a listener's records.

``StreamWatch`` gives every open stream a read timeout with one timer for all of them.
"""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from rainsail.engine.interface import AttemptEnd, AttemptListener, EndReason
from rainsail.engine.protocol import DONE_DATA, decode_frame
from rainsail.engine.sse import SseError, SseParser
from rainsail.runtime.clock import Clock, Timer

_CHECKS_PER_TIMEOUT = 6


def describe_failure(failure: Failure) -> str:
    """Return what went wrong on a connection: the first cause, in one line."""
    reasons = getattr(failure.value, "reasons", None)
    if reasons:
        return describe_failure(reasons[0])
    return failure.getErrorMessage() or str(failure.type)


class WatchedStream(Protocol):
    """A stream that the watch may time out."""

    last_read_s: float

    def time_out(self) -> None:
        """Nothing was read within the timeout."""
        ...


class StreamWatch:
    """Times out streams that have been silent for ``timeout_s``."""

    def __init__(self, clock: Clock, timeout_s: float) -> None:
        self._clock = clock
        self._timeout_s = timeout_s
        self._streams: dict[WatchedStream, None] = {}
        self._timer: Timer | None = None

    def now_s(self) -> float:
        """Return the clock's time."""
        return self._clock.seconds()

    def add(self, stream: WatchedStream) -> None:
        """Watch a stream from now on."""
        stream.last_read_s = self._clock.seconds()
        self._streams[stream] = None
        self._schedule()

    def remove(self, stream: WatchedStream) -> None:
        """Stop watching a stream."""
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


class AttemptStream(TwistedProtocol):
    """Receives an attempt's response body; the listener hears exactly one end.

    States: waiting for the response, reading (``connectionMade``), ended. ``pause`` may come in
    any of them. A paused stream is not timed out: it is not read on purpose.
    """

    def __init__(
        self,
        attempt_id: str,
        listener: AttemptListener,
        watch: StreamWatch,
        max_frame_bytes: int,
        on_close: Callable[["AttemptStream"], None],
    ) -> None:
        self.attempt_id = attempt_id
        self.last_read_s = 0.0
        self._listener = listener
        self._watch = watch
        self._parser = SseParser(max_frame_bytes)
        self._on_close = on_close
        self._chunks = 0
        self._paused = False
        self._ended = False
        self._abort: Callable[[], None] | None = None
        watch.add(self)

    def set_abort(self, abort: Callable[[], None]) -> None:
        """Set what gives up the request before its response has come."""
        self._abort = abort

    # --- from the connection --------------------------------------------------------------

    def connectionMade(self) -> None:
        """The response's headers have come and its body follows."""
        self._abort = None
        if self._ended:
            self._drop_connection()
        elif self._paused:
            self._transport().pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of the body."""
        if self._ended:
            return
        self.last_read_s = self._watch.now_s()
        attempt_id = self.attempt_id
        try:
            for frame in self._parser.feed_data(data):
                if frame == DONE_DATA:
                    continue
                record = decode_frame(attempt_id, frame)
                if type(record) is AttemptEnd:
                    self.end(record)
                    return
                self._chunks += 1
                self._listener.on_chunk(record)  # type: ignore[arg-type]
                if self._ended:
                    return
        except (ValueError, SseError) as error:
            self._drop_connection()
            self.lose(f"the engine sent a malformed stream: {error}")

    def connectionLost(self, reason: Failure = Failure(ConnectionError("closed"))) -> None:
        """The body is over; without the attempt's end before, it was cut short."""
        self.lose(f"the stream broke off: {describe_failure(reason)}")

    # --- ends -----------------------------------------------------------------------------

    def end(self, end: AttemptEnd) -> None:
        """Give the listener the attempt's end, once."""
        if self._close():
            self._listener.on_end(end)

    def lose(self, detail: str) -> None:
        """The link broke after the request may have reached the engine."""
        self.end(AttemptEnd(self.attempt_id, EndReason.LOST, self._chunks, 0, 0, detail))

    def refuse(self, detail: str, retry_after_s: float = 0.0) -> None:
        """The attempt was certainly not run."""
        self.end(AttemptEnd(self.attempt_id, EndReason.REFUSED, 0, 0, 0, detail, retry_after_s))

    def time_out(self) -> None:
        """Nothing was read within the timeout."""
        self.lose("nothing was read within the timeout")
        self._give_up()

    def drop(self) -> None:
        """Close the link; the listener hears nothing more."""
        if self._close():
            self._give_up()

    def _close(self) -> bool:
        if self._ended:
            return False
        self._ended = True
        self._watch.remove(self)
        self._on_close(self)
        return True

    def _give_up(self) -> None:
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

    # --- back-pressure --------------------------------------------------------------------

    def pause(self) -> None:
        """Stop reading."""
        if self._paused or self._ended:
            return
        self._paused = True
        self._watch.remove(self)
        if self._transport() is not None:
            self._transport().pauseProducing()

    def unpause(self) -> None:
        """Read again."""
        if not self._paused or self._ended:
            return
        self._paused = False
        self._watch.add(self)
        if self._transport() is not None:
            self._transport().resumeProducing()
