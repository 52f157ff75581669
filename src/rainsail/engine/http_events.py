"""An engine's event stream over HTTP: load reports and cache events."""

from collections.abc import Callable
from typing import Any

from pydantic import ValidationError
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

from rainsail.engine.http_stream import StreamWatch, describe_failure
from rainsail.engine.interface import CacheEvent, LoadReport
from rainsail.engine.protocol import CACHE_EVENT, CACHE_EVENT_RECORD, LOAD_EVENT, LOAD_REPORT
from rainsail.engine.sse import ServerSentEvent, SseError, SseParser
from rainsail.errors import Fault, FaultCode

EVENTS_STEP = "engine.events"


class EngineEventStream(TwistedProtocol):
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
        self.last_read_s = 0.0
        self._address = address
        self._watch = watch
        self._parser = SseParser(max_frame_bytes)
        self._on_load = on_load
        self._on_cache = on_cache
        self._on_lost = on_lost
        self._open = True
        self._abort: Callable[[], None] | None = None
        watch.add(self)

    def set_abort(self, abort: Callable[[], None]) -> None:
        """Set what gives up the request before its response has come."""
        self._abort = abort

    def connectionMade(self) -> None:
        """The response's headers have come."""
        self._abort = None
        if not self._open:
            self._drop_connection()

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of the body."""
        self.last_read_s = self._watch.now_s()
        try:
            for event in self._parser.feed(data):
                self._take(event)
        except (SseError, ValidationError) as error:
            self._drop_connection()
            self.lose(f"malformed event: {error}")

    def _take(self, event: ServerSentEvent) -> None:
        if not self._open:
            return
        if event.name == LOAD_EVENT:
            self._on_load(LOAD_REPORT.validate_json(event.data))
        elif event.name == CACHE_EVENT:
            self._on_cache(CACHE_EVENT_RECORD.validate_json(event.data))

    def connectionLost(self, reason: Failure = Failure(ConnectionError("closed"))) -> None:
        """The body is over."""
        self.lose(f"the stream broke off: {describe_failure(reason)}")

    def lose(self, detail: str) -> None:
        """Tell the subscriber that nothing more comes."""
        if self._close():
            fault = Fault(FaultCode.UNAVAILABLE, EVENTS_STEP, detail, self._address)
            self._on_lost(fault)

    def time_out(self) -> None:
        """Nothing was read within the timeout."""
        self.lose("nothing was read within the timeout")
        self._give_up()

    def drop(self) -> None:
        """End the subscription."""
        if self._close():
            self._give_up()

    def _close(self) -> bool:
        if not self._open:
            return False
        self._open = False
        self._watch.remove(self)
        return True

    def _give_up(self) -> None:
        abort, self._abort = self._abort, None
        if abort is not None:
            abort()
        else:
            self._drop_connection()

    def _drop_connection(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()
