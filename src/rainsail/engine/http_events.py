"""An engine's event stream over HTTP: load reports and cache events."""

from collections.abc import Callable

from pydantic import ValidationError

from rainsail.engine.interface import CacheEvent, LoadReport
from rainsail.engine.protocol import CACHE_EVENT, CACHE_EVENT_RECORD, LOAD_EVENT, LOAD_REPORT
from rainsail.engine.sse import ServerSentEvent, SseError, SseParser
from rainsail.engine.watched_stream import StreamWatch, WatchedStream
from rainsail.errors import Fault, FaultCode

EVENTS_STEP = "engine.events"


class EngineEventStream(WatchedStream):
    """Receives an event stream; ``on_lost`` is called at most once, never after ``drop``."""

    def __init__(
        self,
        address: str,
        watch: StreamWatch,
        max_frame_bytes: int,
        on_load: Callable[[LoadReport], None],
        on_cache: Callable[[CacheEvent], None],
        on_lost: Callable[[Fault], None],
    ) -> None:
        super().__init__(watch)
        self._address = address
        self._parser = SseParser(max_frame_bytes)
        self._on_load = on_load
        self._on_cache = on_cache
        self._on_lost = on_lost

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes of the body."""
        self.last_read_s = self._watch.now_s()
        try:
            for event in self._parser.feed(data):
                self._take(event)
        except (SseError, ValidationError) as error:
            self._drop_connection()
            self.lose(f"malformed event: {error}")

    def _take(self, event: ServerSentEvent) -> None:
        if not self._is_open:
            return
        if event.name == LOAD_EVENT:
            self._on_load(LOAD_REPORT.validate_json(event.data))
        elif event.name == CACHE_EVENT:
            self._on_cache(CACHE_EVENT_RECORD.validate_json(event.data))

    def lose(self, detail: str) -> None:
        """End the stream and notify the subscriber."""
        if self._close():
            fault = Fault(FaultCode.UNAVAILABLE, EVENTS_STEP, detail, self._address)
            self._on_lost(fault)
