"""One SSE response from an engine: decodes received bytes to records for a listener."""

from collections.abc import Callable

from rainsail.engine.interface import AttemptListener, EndReason, EngineAttemptEnd
from rainsail.engine.protocol import DONE_DATA, decode_frame
from rainsail.engine.sse import SseError, SseParser
from rainsail.engine.watched_stream import StreamWatch, WatchedStream


class AttemptStream(WatchedStream):
    """Receives an attempt's response body; the listener gets exactly one end.

    States: waiting for the response, reading (``connectionMade``), ended. ``pause`` is allowed in
    all of them. A paused stream does not time out, as it is not read.
    """

    def __init__(
        self,
        attempt_id: str,
        listener: AttemptListener,
        watch: StreamWatch,
        max_frame_bytes: int,
        on_close: Callable[["AttemptStream"], None],
    ) -> None:
        super().__init__(watch)
        self.attempt_id = attempt_id
        self._listener = listener
        self._parser = SseParser(max_frame_bytes)
        self._on_close = on_close
        self._chunks = 0
        self._paused = False

    # --- events of the connection ---------------------------------------------------------

    def connectionMade(self) -> None:
        """The response's headers were received and its body follows."""
        super().connectionMade()
        if self._is_open and self._paused:
            self._transport().pauseProducing()

    def dataReceived(self, data: bytes) -> None:
        """Decode received bytes of the body."""
        if not self._is_open:
            return
        self.last_read_s = self._watch.now_s()
        attempt_id = self.attempt_id
        try:
            for frame in self._parser.feed_data(data):
                if frame == DONE_DATA:
                    continue
                record = decode_frame(attempt_id, frame)
                if type(record) is EngineAttemptEnd:
                    self.end(record)
                    return
                self._chunks += 1
                self._listener.on_chunk(record)  # type: ignore[arg-type]
                if not self._is_open:
                    return
        except (ValueError, SseError) as error:
            self._drop_connection()
            self.lose(f"the engine sent a malformed stream: {error}")

    # --- ends -----------------------------------------------------------------------------

    def end(self, end: EngineAttemptEnd) -> None:
        """Pass the attempt's end to the listener, unless the stream has ended already."""
        if self._close():
            self._listener.on_end(end)

    def lose(self, detail: str) -> None:
        """End as LOST: the connection broke after the request may have reached the engine."""
        self.end(EngineAttemptEnd(self.attempt_id, EndReason.LOST, self._chunks, 0, 0, detail))

    def refuse(self, detail: str, retry_after_s: float = 0.0) -> None:
        """End as REFUSED: the attempt was certainly not run."""
        self.end(
            EngineAttemptEnd(self.attempt_id, EndReason.REFUSED, 0, 0, 0, detail, retry_after_s)
        )

    def _close(self) -> bool:
        is_first = super()._close()
        if is_first:
            self._on_close(self)
        return is_first

    # --- back-pressure --------------------------------------------------------------------

    def pause(self) -> None:
        """Stop reading."""
        if self._paused or not self._is_open:
            return
        self._paused = True
        self._watch.remove(self)
        if self._transport() is not None:
            self._transport().pauseProducing()

    def unpause(self) -> None:
        """Resume reading."""
        if not self._paused or not self._is_open:
            return
        self._paused = False
        self._watch.add(self)
        if self._transport() is not None:
            self._transport().resumeProducing()
