"""``GET /v1/watch``: chunked JSON lines with back-pressure from the connection."""

from typing import Any

from expression import Error, Ok, Result
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from rainsail.control.http_bodies import answer_fault, query_integer, query_text
from rainsail.control.operator_gate import OperatorGate
from rainsail.control.resource_json import kind_from_text
from rainsail.control.settings import ControlSettings
from rainsail.control.watcher import Watcher, WatchHub
from rainsail.errors import Fault
from rainsail.resources.specs import Kind
from rainsail.runtime.clock import Clock
from rainsail.state.interface import ReplicatedReader


@implementer(IPushProducer)
class HttpLineSink:
    """Writes a watch's lines to a request; the connection pauses and resumes the watcher."""

    def __init__(self, request: Any, clock: Clock, drain_s: float) -> None:
        self.finished: Deferred[bytes] = Deferred()
        self._request = request
        self._clock = clock
        self._drain_s = drain_s
        self._watcher: Watcher | None = None
        self._gone = False

    def attach(self, watcher: Watcher) -> None:
        """Connect the watcher to the HTTP connection's producer and close events."""
        self._watcher = watcher
        self._request.registerProducer(self, True)
        self._request.notifyFinish().addBoth(self._connection_over)

    def write_line(self, line: bytes) -> None:
        """Write one line; the connection may pause the watcher meanwhile."""
        if not self._gone:
            self._request.write(line)

    def end(self, disconnect: bool) -> None:
        """Finish the response; with ``disconnect`` the connection is aborted after ``drain_s``."""
        if self._gone:
            return
        channel = self._request.channel
        self._request.unregisterProducer()
        if disconnect:
            self._clock.callLater(self._drain_s, _abort, channel)
        self.finished.callback(b"")

    def pauseProducing(self) -> None:
        """Pause the watcher, because the connection's buffer is full."""
        if self._watcher is not None:
            self._watcher.pause()

    def resumeProducing(self) -> None:
        """Resume the watcher, because the connection's buffer has drained."""
        if self._watcher is not None:
            self._watcher.resume()

    def stopProducing(self) -> None:
        """Stop the watcher, because the connection is lost."""
        if self._watcher is not None:
            self._watcher.stop()

    def _connection_over(self, _: Any) -> None:
        self._gone = True
        if self._watcher is not None:
            self._watcher.stop()


def _abort(channel: Any) -> None:
    """Abort the connection unless it is closed already."""
    if channel.transport is not None:
        channel.transport.abortConnection()


class WatchRoutes:
    """Adds the watch route to a klein application."""

    def __init__(
        self,
        app: Klein,
        gate: OperatorGate,
        state: ReplicatedReader,
        hub: WatchHub,
        clock: Clock,
        settings: ControlSettings,
    ) -> None:
        self._gate = gate
        self._state = state
        self._hub = hub
        self._clock = clock
        self._settings = settings
        app.route("/v1/watch", methods=["GET"])(self._watch)

    def _watch(self, request: Any) -> Any:
        wanted = self._wanted(request)
        if wanted.is_error():
            return answer_fault(request, wanted.error)
        revision, kinds = wanted.ok
        request.setHeader(b"content-type", b"application/x-ndjson")
        sink = HttpLineSink(request, self._clock, self._settings.watch_drain_s)
        watcher = self._hub.watch(sink, revision, kinds)
        sink.attach(watcher)
        watcher.start()
        return sink.finished

    def _wanted(self, request: Any) -> Result[tuple[int, tuple[Kind, ...]], Fault]:
        caller = self._gate.operator(request)
        if caller.is_error():
            return Error(caller.error)
        revision = query_integer(request, "revision", self._state.revision)
        if revision.is_error():
            return Error(revision.error)
        text = query_text(request, "kinds") or query_text(request, "kind")
        kinds = []
        for name in [part for part in text.split(",") if part]:
            kind = kind_from_text(name)
            if kind.is_error():
                return Error(kind.error)
            kinds.append(kind.ok)
        return Ok((revision.ok, tuple(kinds)))
